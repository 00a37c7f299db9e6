package launch

import (
	"context"
	"crypto/tls"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// askTimeout bounds the question for the last incarnation. It delays a start
// only while an entry does not answer.
const askTimeout = 500 * time.Millisecond

// nextIncarnation returns an incarnation above all that the entries know of the
// name. Without an answer it is the wall clock in milliseconds, which is enough
// unless the clock went back since the last start.
func nextIncarnation(ctx context.Context, name string, entries []string, creds *tls.Config) int64 {
	actx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var done sync.WaitGroup
	answers := make([]int64, len(entries))
	for i, address := range entries {
		done.Add(1)
		q := &question{name: name, address: address, creds: creds, answer: &answers[i], done: &done}
		go q.run(actx)
	}
	done.Wait()
	next := time.Now().UnixMilli()
	for _, last := range answers {
		next = max(next, last+1)
	}
	return next
}

// question asks one entry for the last incarnation of a name.
type question struct {
	name    string
	address string
	creds   *tls.Config
	answer  *int64
	done    *sync.WaitGroup
}

func (q *question) run(ctx context.Context) {
	defer q.done.Done()
	creds := insecure.NewCredentials()
	if q.creds != nil {
		creds = credentials.NewTLS(q.creds)
	}
	conn, err := grpc.NewClient("passthrough:///"+q.address, grpc.WithTransportCredentials(creds))
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	reply, err := inner.NewEntryClient(conn).LastIncarnation(ctx, &inner.LastIncarnationRequest{Name: q.name})
	if err == nil {
		*q.answer = reply.GetIncarnation()
	}
}
