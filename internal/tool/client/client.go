// Package client is the command line of callers and operators: check, publish,
// evacuate, submit, where, cancel, status, timeline and explain.
//
// All but check and explain talk to the HTTP server of an entry. Several entries may be
// given. The next one is tried when a connection fails and nothing was sent,
// when the entry proves that nothing ran, or when the call has an identity that
// makes it safe to repeat. The exit code tells a script what happened; above all
// it tells "not run" from "unknown".
package client

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/chestnutpond/chestnutpond"
)

// The exit codes of the commands.
const (
	// ExitFailed is a wrong command line, or an entry that cannot be reached or
	// understood; nothing ran.
	ExitFailed = 1
	// ExitRejected is wrong input; nothing ran.
	ExitRejected = 2
	// ExitLost means that another publication, or another request for the zone, came first.
	ExitLost = 3
	// ExitUnknown means that the command may have taken effect.
	ExitUnknown = 4
	// ExitNotRun means that the system refused for now; nothing ran.
	ExitNotRun = 5
	// ExitWaits means that a job would wait if it were submitted.
	ExitWaits = 6
	// ExitNever means that a job could never run on the workers that are known.
	ExitNever = 7
)

const exitCodes = `Exit codes: 0 done; 1 wrong command line or no entry reached, nothing ran;
2 rejected, nothing ran; 3 lost to another operator's; 4 unknown, it may have
taken effect; 5 not run, may be repeated later.`

const (
	flagAddress = "address"
	flagToken   = "token"
	flagOutput  = "output"

	outputTable = "table"
	outputJSON  = "json"

	// TokenVariable is the environment variable of the bearer token. It keeps the
	// token out of the list of processes.
	TokenVariable = "CHESTNUTPOND_TOKEN"
	// AddressVariable is the environment variable of the addresses.
	AddressVariable = "CHESTNUTPOND_ADDRESS"
	// DefaultAddress is the entry that is asked if none is given.
	DefaultAddress = "http://127.0.0.1:8080"
)

// Commands returns the subcommands.
func Commands() []*cli.Command {
	return []*cli.Command{
		checkCommand(),
		publishCommand(),
		evacuateCommand(),
		submitCommand(),
		whereCommand(),
		cancelCommand(),
		statusCommand(),
		timelineCommand(),
		explainCommand(),
	}
}

// NoCommand is the action of the program without a subcommand: it shows the help
// and refuses any argument. The library would exit with code 3 for a wrong
// subcommand, which is ExitLost here.
func NoCommand(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return failf(ExitFailed, "there is no command %q; help lists them", cmd.Args().First())
	}
	return cli.ShowRootCommandHelp(cmd)
}

// commonFlags returns the flags of every command that calls an entry.
func commonFlags(more ...cli.Flag) []cli.Flag {
	return append(more,
		&cli.StringSliceFlag{
			Name: flagAddress, Value: []string{DefaultAddress}, Sources: cli.EnvVars(AddressVariable),
			Usage: "base URL of an entry; may be given several times",
		},
		&cli.StringFlag{
			Name: flagToken, Sources: cli.EnvVars(TokenVariable), HideDefault: true,
			Usage: "bearer token of an account or an operator; the environment variable keeps it out of the list of processes",
		},
		&cli.StringFlag{
			Name: flagOutput, Value: outputTable, Usage: "table or json",
			Validator: func(s string) error {
				if s != outputTable && s != outputJSON {
					return fmt.Errorf("output is %q; allowed: table, json", s)
				}
				return nil
			},
		},
	)
}

// session is one run of a command.
type session struct {
	cmd *cli.Command
	api *api
}

// newSession reads the common flags.
func newSession(cmd *cli.Command) (*session, error) {
	addresses := cmd.StringSlice(flagAddress)
	for _, a := range addresses {
		u, err := url.Parse(a)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || u.RawQuery != "" {
			return nil, failf(ExitFailed, "address is %q; allowed: a URL with http or https and a host, such as %s", a, DefaultAddress)
		}
	}
	return &session{cmd: cmd, api: newAPI(addresses, cmd.String(flagToken))}, nil
}

// json reports whether the output is JSON.
func (s *session) json() bool { return s.cmd.String(flagOutput) == outputJSON }

// printf writes to the standard output.
func (s *session) printf(format string, args ...any) {
	// An error means that the reader is gone.
	_, _ = fmt.Fprintf(s.cmd.Root().Writer, format, args...)
}

// notef writes a note for people to the standard error.
func (s *session) notef(format string, args ...any) {
	_, _ = fmt.Fprintf(s.cmd.Root().ErrWriter, format, args...)
}

// failf returns an error with an exit code.
func failf(code int, format string, args ...any) error {
	return cli.Exit(fmt.Sprintf(format, args...), code)
}

// callError returns the error of a call that got no reply.
func callError(what string, err error) error {
	if notSent := (*notSentError)(nil); errors.As(err, &notSent) {
		return failf(ExitFailed, "%s: not sent, nothing ran: %v", what, err)
	}
	return failf(ExitUnknown, "%s: unknown: %v", what, err)
}

// refusal returns the error of a reply that is none of the good ones.
func refusal(what string, r reply) error {
	body := r.failure()
	var text strings.Builder
	fmt.Fprintf(&text, "%s: %s", what, body.Outcome)
	if body.Reason != "" {
		fmt.Fprintf(&text, " (%s)", body.Reason)
	}
	if body.Detail != "" {
		fmt.Fprintf(&text, ": %s", body.Detail)
	}
	switch body.Outcome {
	case chestnutpond.OutcomeRejected, chestnutpond.OutcomeDuplicate:
		return failf(ExitRejected, "%s", text.String())
	case chestnutpond.OutcomeLost:
		return failf(ExitLost, "%s", text.String())
	case chestnutpond.OutcomeNotRun:
		if after := r.header.Get("Retry-After"); after != "" {
			fmt.Fprintf(&text, "; may be repeated after %s s", after)
		}
		return failf(ExitNotRun, "%s", text.String())
	case chestnutpond.OutcomeUnknown:
		return failf(ExitUnknown, "%s", text.String())
	}
	return failf(ExitUnknown, "%s: unknown: the entry answered status %d, which this program does not know", what, r.status)
}
