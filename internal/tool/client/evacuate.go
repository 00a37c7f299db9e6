package client

import (
	"context"
	"net/http"
	"net/url"

	"github.com/cenkalti/backoff/v5"
	"github.com/urfave/cli/v3"

	"github.com/chestnutpond/chestnutpond"
)

const flagUndo = "undo"

func evacuateCommand() *cli.Command {
	return &cli.Command{
		Name:      "evacuate",
		Usage:     "start no new work in an availability zone, or use it again",
		ArgsUsage: "ZONE",
		Description: `From a few seconds after the answer no job and no request starts in the zone,
until the request is revoked with --undo. Running jobs and open requests there end
normally; a job that is placed and has not started is placed elsewhere; guarantees
move to other zones if they fit. Needs the token of an operator. It is harmless to
repeat the command. status shows the zones and what still runs there.

` + exitCodes,
		Flags:  commonFlags(&cli.BoolFlag{Name: flagUndo, Usage: "revoke the request for the zone"}),
		Action: runEvacuate,
	}
}

// evacuation is the last request for a zone.
type evacuation struct {
	Outcome   chestnutpond.Outcome `json:"outcome"`
	Zone      string               `json:"zone"`
	Evacuated bool                 `json:"evacuated"`
	Offset    int64                `json:"offset"`
	Since     value                `json:"since"`
	Operator  string               `json:"operator"`
}

// runEvacuate sends the request once and finds out what became of it.
func runEvacuate(ctx context.Context, cmd *cli.Command) error {
	s, err := newSession(cmd)
	if err != nil {
		return err
	}
	if cmd.Args().Len() != 1 || cmd.Args().First() == "" {
		return failf(ExitFailed, "evacuate: one zone is needed")
	}
	zone, undo := cmd.Args().First(), cmd.Bool(flagUndo)
	method := http.MethodPut
	if undo {
		method = http.MethodDelete
	}
	r, err := s.api.do(ctx, call{method: method, path: "/v1/evacuations", query: url.Values{"zone": {zone}}})
	switch {
	case err != nil && !mayHaveRun(err):
		return callError("evacuate", err)
	case err != nil:
		s.notef("%v\n", err)
		return s.resolveEvacuation(ctx, zone, undo)
	case r.status == http.StatusGatewayTimeout:
		return s.resolveEvacuation(ctx, zone, undo)
	case r.status != http.StatusOK:
		return refusal("evacuate", r)
	}
	var e evacuation
	if err := r.decode("evacuate", &e); err != nil {
		return s.resolveEvacuation(ctx, zone, undo)
	}
	return s.printEvacuation(e)
}

// resolveEvacuation asks whether the zone is as requested until it is or the tries are
// used up.
func (s *session) resolveEvacuation(ctx context.Context, zone string, undo bool) error {
	ask := func() (evacuation, error) {
		r, err := s.api.do(ctx, call{method: http.MethodGet, path: "/v1/evacuations", repeatable: true})
		if err != nil {
			return evacuation{}, err
		}
		var all struct {
			Evacuations []evacuation `json:"evacuations"`
		}
		if r.status != http.StatusOK {
			return evacuation{}, refusal("evacuate", r)
		}
		if err := r.decode("evacuate", &all); err != nil {
			return evacuation{}, err
		}
		for _, e := range all.Evacuations {
			if e.Zone == zone && e.Evacuated == !undo {
				return e, nil
			}
		}
		return evacuation{}, failf(ExitUnknown, "evacuate: not known yet")
	}
	e, err := backoff.Retry(ctx, ask, backoff.WithBackOff(delays()), backoff.WithMaxTries(resolveTries))
	if err != nil {
		return failf(ExitUnknown, "evacuate: unknown: the request for zone %s may take effect; repeat the command until it is confirmed", zone)
	}
	return s.printEvacuation(e)
}

// printEvacuation prints the state of a zone.
func (s *session) printEvacuation(e evacuation) error {
	switch {
	case s.json():
		s.printJSON(e)
	case e.Evacuated:
		s.printf("zone %s is evacuated since %s, by %s, at offset %d\n", e.Zone, e.Since, e.Operator, e.Offset)
	default:
		s.printf("zone %s is in use\n", e.Zone)
	}
	return nil
}
