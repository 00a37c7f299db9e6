package client

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"os"

	"github.com/cenkalti/backoff/v5"
	"github.com/urfave/cli/v3"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/conf/jobdoc"
)

const (
	flagKind         = "kind"
	flagRegion       = "region"
	flagAccelerators = "accelerators"
	flagAdjacency    = "adjacency"
	flagDeclared     = "declared"
	flagPayload      = "payload"
	flagCaller       = "caller"
	flagKey          = "key"
	flagGraph        = "graph"

	// submitTries bounds the sendings of one job with the same key.
	submitTries = 5
	// maxPayload is the greatest payload that a document can allow, in bytes.
	maxPayload = 1 << 20
)

// jobRequest is the body of a submission.
type jobRequest struct {
	Kind         string `json:"kind"`
	Region       string `json:"region"`
	Accelerators int    `json:"accelerators"`
	Adjacency    string `json:"adjacency"`
	// Declared is a duration such as 2h0m0s, empty if not stated.
	Declared string `json:"declared,omitempty"`
	Payload  []byte `json:"payload,omitempty"`
	Caller   string `json:"caller,omitempty"`
}

// jobAnswer is the answer to a submission or a cancellation.
type jobAnswer struct {
	Outcome chestnutpond.Outcome  `json:"outcome"`
	ID      chestnutpond.JobID    `json:"id"`
	State   chestnutpond.JobState `json:"state,omitempty"`
	// Key is the identity that the job was submitted with; the entry does not
	// send it.
	Key string `json:"key,omitempty"`
}

func submitCommand() *cli.Command {
	return &cli.Command{
		Name:  "submit",
		Usage: "submit a job",
		Description: `Sends a job with an Idempotency-Key and prints the key first. The same account
and key always give the same job, so the command repeats by itself, with the
same key, while it does not know whether the job was accepted; a later run with
--key KEY is as safe. A job is one gang of accelerators, which the flags describe, or
a graph of tasks from a file.

` + exitCodes,
		Flags: commonFlags(
			&cli.StringFlag{Name: flagGraph, Usage: "file with a graph of tasks, which names its kind; - is the standard input"},
			&cli.StringFlag{Name: flagKind, Usage: "kind of the job, from the service document; needed without --graph"},
			&cli.StringFlag{Name: flagRegion, Usage: "region that the job runs in; needed without --graph"},
			&cli.IntFlag{Name: flagAccelerators, Value: 1, Usage: "accelerators of the whole gang"},
			&cli.StringFlag{Name: flagAdjacency, Value: string(chestnutpond.AdjacencyWorker), Usage: "worker, rack or zone"},
			&cli.DurationFlag{Name: flagDeclared, HideDefault: true, Usage: "expected run time, such as 2h"},
			&cli.StringFlag{Name: flagPayload, Usage: "file with the payload; - is the standard input"},
			&cli.StringFlag{Name: flagCaller, Usage: "name of the one who asks, within the account"},
			&cli.StringFlag{Name: flagKey, Usage: "identity of the job; a random one if not given"},
		),
		Action: runSubmit,
	}
}

// runSubmit sends a job until its outcome is known.
func runSubmit(ctx context.Context, cmd *cli.Command) error {
	s, err := newSession(cmd)
	if err != nil {
		return err
	}
	body, form, err := submission(cmd)
	if err != nil {
		return err
	}
	key := cmd.String(flagKey)
	if key == "" {
		key = newKey()
	}
	s.notef("key %s\n", key)
	answer, err := s.submit(ctx, key, form, body)
	if err != nil {
		if exit := cli.ExitCoder(nil); errors.As(err, &exit) && exit.ExitCode() == ExitUnknown {
			return failf(ExitUnknown, "%v: the job may be accepted; repeat the same command with --key %s, which gives at most one job", err, key)
		}
		return err
	}
	answer.Key = key
	if s.json() {
		s.printJSON(answer)
		return nil
	}
	s.printf("accepted as job %s\n", answer.ID)
	return nil
}

// The forms of a submission's body.
const (
	formGang  = "application/json"
	formGraph = "application/yaml"
)

// gangFlags describe a gang of accelerators.
var gangFlags = []string{flagKind, flagRegion, flagAccelerators, flagAdjacency, flagDeclared, flagPayload, flagCaller}

// submission returns the body that the flags describe, and its form.
func submission(cmd *cli.Command) ([]byte, string, error) {
	if !cmd.IsSet(flagGraph) {
		body, err := gang(cmd)
		return body, formGang, err
	}
	for _, name := range gangFlags {
		if cmd.IsSet(name) {
			return nil, "", failf(ExitFailed, "submit: --%s is not used with --%s; the file says it", name, flagGraph)
		}
	}
	body, err := readGraph(cmd)
	return body, formGraph, err
}

// readGraph returns the graph of tasks that a flag names, once it is known to be valid.
func readGraph(cmd *cli.Command) ([]byte, error) {
	name := cmd.String(flagGraph)
	body, err := readFile(cmd, name, jobdoc.MaxBytes)
	if err != nil {
		return nil, err
	}
	if _, err := jobdoc.Parse(name, body); err != nil {
		return nil, failf(ExitRejected, "%s: %v", cmd.Name, err)
	}
	return body, nil
}

// gang returns the body of a gang that the flags describe.
func gang(cmd *cli.Command) ([]byte, error) {
	for _, name := range []string{flagKind, flagRegion} {
		if cmd.String(name) == "" {
			return nil, failf(ExitFailed, "submit: --%s is needed without --%s", name, flagGraph)
		}
	}
	q := jobRequest{
		Kind:         cmd.String(flagKind),
		Region:       cmd.String(flagRegion),
		Accelerators: cmd.Int(flagAccelerators),
		Adjacency:    cmd.String(flagAdjacency),
		Caller:       cmd.String(flagCaller),
	}
	if q.Accelerators < 1 {
		return nil, failf(ExitRejected, "submit: accelerators is %d; allowed: at least 1", q.Accelerators)
	}
	if !chestnutpond.Adjacency(q.Adjacency).Valid() {
		return nil, failf(ExitRejected, "submit: adjacency is %q; allowed: worker, rack, zone", q.Adjacency)
	}
	if d := cmd.Duration(flagDeclared); d < 0 {
		return nil, failf(ExitRejected, "submit: declared is %s; allowed: a duration above 0", d)
	} else if d > 0 {
		q.Declared = d.String()
	}
	if name := cmd.String(flagPayload); name != "" {
		payload, err := readFile(cmd, name, maxPayload)
		if err != nil {
			return nil, err
		}
		q.Payload = payload
	}
	return json.Marshal(q)
}

// readFile returns the content of a file, or of the standard input, of at most so
// many bytes.
func readFile(cmd *cli.Command, name string, limit int) ([]byte, error) {
	in := cmd.Root().Reader
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, failf(ExitFailed, "%s: %v", cmd.Name, err)
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	data, err := io.ReadAll(io.LimitReader(in, int64(limit)+1))
	if err != nil {
		return nil, failf(ExitFailed, "%s: %v", cmd.Name, err)
	}
	if len(data) > limit {
		return nil, failf(ExitRejected, "%s: the payload is too large; allowed: at most %d bytes", cmd.Name, limit)
	}
	return data, nil
}

// submit sends the job with the same key while the outcome is unknown. Once one
// sending was unknown, a later refusal proves nothing about it, so the outcome
// stays unknown until a sending is accepted.
func (s *session) submit(ctx context.Context, key, form string, body []byte) (jobAnswer, error) {
	unknown := false
	try := func() (jobAnswer, error) {
		answer, err := s.submitOnce(ctx, key, form, body)
		if err == nil {
			return answer, nil
		}
		unknown = unknown || exitCode(err) == ExitUnknown
		if !unknown {
			return answer, backoff.Permanent(err)
		}
		s.notef("%v\n", err)
		return answer, failf(ExitUnknown, "submit: unknown")
	}
	answer, err := backoff.Retry(ctx, try, backoff.WithBackOff(delays()), backoff.WithMaxTries(submitTries))
	if err != nil && unknown {
		return answer, failf(ExitUnknown, "submit: unknown")
	}
	return answer, err
}

// exitCode returns the exit code of an error of this package.
func exitCode(err error) int {
	if exit := cli.ExitCoder(nil); errors.As(err, &exit) {
		return exit.ExitCode()
	}
	return ExitFailed
}

// submitOnce sends the job to the first entry that answers.
func (s *session) submitOnce(ctx context.Context, key, form string, body []byte) (jobAnswer, error) {
	r, err := s.api.do(ctx, call{
		method: http.MethodPost, path: "/v1/jobs", body: body, repeatable: true,
		header: http.Header{"Content-Type": {form}, "Idempotency-Key": {key}},
	})
	if err != nil {
		return jobAnswer{}, callError("submit", err)
	}
	var answer jobAnswer
	if r.status != http.StatusAccepted {
		return answer, refusal("submit", r)
	}
	if err := r.decode("submit", &answer); err != nil {
		return answer, callError("submit", err)
	}
	return answer, nil
}

func cancelCommand() *cli.Command {
	return &cli.Command{
		Name:      "cancel",
		Usage:     "cancel a job",
		ArgsUsage: "ID",
		Description: `A cancelled job does not start again; one that runs is being stopped. Cancelling
twice has the same effect as once.

` + exitCodes,
		Flags:  commonFlags(),
		Action: runCancel,
	}
}

// runCancel cancels one job.
func runCancel(ctx context.Context, cmd *cli.Command) error {
	s, err := newSession(cmd)
	if err != nil {
		return err
	}
	if cmd.Args().Len() != 1 || cmd.Args().First() == "" {
		return failf(ExitFailed, "cancel: one job id is needed")
	}
	r, err := s.api.do(ctx, call{method: http.MethodDelete, path: "/v1/jobs/" + url.PathEscape(cmd.Args().First()), repeatable: true})
	if err != nil {
		return callError("cancel", err)
	}
	if r.status != http.StatusOK {
		return refusal("cancel", r)
	}
	var answer jobAnswer
	if err := r.decode("cancel", &answer); err != nil {
		return err
	}
	if s.json() {
		s.printJSON(answer)
		return nil
	}
	s.printf("cancelled job %s, now %s\n", answer.ID, answer.State)
	return nil
}

// mayHaveRun reports whether a call without a reply may have taken effect.
func mayHaveRun(err error) bool {
	notSent := (*notSentError)(nil)
	return !errors.As(err, &notSent)
}

// newKey returns a random identity.
func newKey() string { return rand.Text() }
