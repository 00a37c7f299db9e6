package client

import (
	"context"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/urfave/cli/v3"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/conf/svcdoc"
)

const (
	flagBase  = "base"
	flagID    = "id"
	flagQuery = "query"

	// resolveTries bounds the questions after a publication without an answer.
	resolveTries = 5
	// firstDelay and maxDelay bound the delay between tries.
	firstDelay = 200 * time.Millisecond
	maxDelay   = 2 * time.Second
)

func publishCommand() *cli.Command {
	return &cli.Command{
		Name:      "publish",
		Usage:     "publish a service document against a base version",
		ArgsUsage: "FILE",
		Description: `Checks the document, then publishes it if the version in force is still the
base. Says "published" with the new version, "lost" with the version that came
first, or "unknown" with the way to find out. The id makes it safe to repeat the
same command.

` + exitCodes,
		Flags: commonFlags(
			&cli.Int64Flag{Name: flagBase, Value: -1, HideDefault: true, Usage: "version that the document was edited from, as status prints it; 0 for the first"},
			&cli.StringFlag{Name: flagID, Usage: "identity of the publication; a random one if not given"},
			&cli.StringFlag{Name: flagQuery, Usage: "publish nothing, tell what became of the publication with this id"},
		),
		Action: runPublish,
	}
}

// publication is the answer about a publication.
type publication struct {
	Outcome chestnutpond.Outcome `json:"outcome"`
	Version int64                `json:"version"`
	ID      string               `json:"id"`
}

// runPublish reads the document and publishes it.
func runPublish(ctx context.Context, cmd *cli.Command) error {
	s, err := newSession(cmd)
	if err != nil {
		return err
	}
	if id := cmd.String(flagQuery); id != "" {
		p, err := s.query(ctx, id)
		if err != nil {
			return err
		}
		return s.printPublication(p)
	}
	base := cmd.Int64(flagBase)
	if cmd.Args().Len() != 1 || base < 0 {
		return failf(ExitFailed, "publish: one file and --base N are needed")
	}
	name := cmd.Args().First()
	data, err := os.ReadFile(name)
	if err != nil {
		return failf(ExitFailed, "publish: %v", err)
	}
	if _, err := svcdoc.Parse(name, data); err != nil {
		return failf(ExitRejected, "%v", err)
	}
	id := cmd.String(flagID)
	if id == "" {
		id = newKey()
	}
	return s.publish(ctx, id, base, data)
}

// publish sends the document once and finds out what became of it.
func (s *session) publish(ctx context.Context, id string, base int64, data []byte) error {
	s.notef("publication %s\n", id)
	query := url.Values{"base": {strconv.FormatInt(base, 10)}, "id": {id}}
	r, err := s.api.do(ctx, call{
		method: http.MethodPut, path: "/v1/document", query: query, body: data,
		header: http.Header{"Content-Type": {"application/yaml"}},
	})
	switch {
	case err != nil && !mayHaveRun(err):
		return callError("publish", err)
	case err != nil:
		s.notef("%v\n", err)
		return s.resolve(ctx, id)
	case r.status == http.StatusGatewayTimeout:
		return s.resolve(ctx, id)
	case r.status != http.StatusOK && r.status != http.StatusConflict:
		return refusal("publish", r)
	}
	p := publication{ID: id}
	if err := r.decode("publish", &p); err != nil {
		return s.resolve(ctx, id)
	}
	p.ID = id
	return s.printPublication(p)
}

// resolve asks what became of a publication until it is known or the tries are
// used up.
func (s *session) resolve(ctx context.Context, id string) error {
	unknown := publication{Outcome: chestnutpond.OutcomeUnknown, ID: id}
	ask := func() (publication, error) {
		p, err := s.query(ctx, id)
		if err == nil && p.Outcome == chestnutpond.OutcomeUnknown {
			err = failf(ExitUnknown, "publish: not known yet")
		}
		return p, err
	}
	p, err := backoff.Retry(ctx, ask, backoff.WithBackOff(delays()), backoff.WithMaxTries(resolveTries))
	if err != nil {
		p = unknown
	}
	return s.printPublication(p)
}

// query asks once what became of a publication.
func (s *session) query(ctx context.Context, id string) (publication, error) {
	r, err := s.api.do(ctx, call{method: http.MethodGet, path: "/v1/publications/" + url.PathEscape(id), repeatable: true})
	if err != nil {
		return publication{}, failf(ExitFailed, "publish: no entry can tell what became of publication %s: %v", id, err)
	}
	p := publication{ID: id}
	switch r.status {
	case http.StatusOK:
		err = r.decode("publish", &p)
		p.ID = id
		return p, err
	case http.StatusGatewayTimeout:
		p.Outcome = chestnutpond.OutcomeUnknown
		return p, nil
	}
	return publication{}, refusal("publish", r)
}

// printPublication prints the outcome and returns the error with its exit code.
func (s *session) printPublication(p publication) error {
	if s.json() {
		s.printJSON(p)
	}
	switch p.Outcome {
	case chestnutpond.OutcomePublished:
		if !s.json() {
			s.printf("published as version %d\n", p.Version)
		}
		return nil
	case chestnutpond.OutcomeLost:
		return failf(ExitLost, "publish: lost: version %d came first; fetch it, merge your change and publish with --base %d", p.Version, p.Version)
	}
	return failf(ExitUnknown, "publish: unknown: the document may be published; find out with: publish --query %s; "+
		"repeating the same command with --id %s takes effect at most once", p.ID, p.ID)
}

// delays returns the delays between tries, which grow and are jittered.
func delays() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstDelay
	b.MaxInterval = maxDelay
	return b
}
