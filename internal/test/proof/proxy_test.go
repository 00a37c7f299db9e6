package proof

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// link is a TCP path between two processes with a proxy on it.
type link struct {
	proxy *toxiproxy.Proxy
	// listen is the proxy's address, which the proxy writes anew as it starts.
	listen string
}

// proxies is the parent that the proxies need; its API is never served.
var proxies = toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())

// newLink puts a proxy in front of the address.
func newLink(t *testing.T, name, target string) *link {
	t.Helper()
	l := &link{}
	until(t, "listener of "+name, func() string {
		// Another process may take the port first.
		l.listen = addresses.free(t)
		l.proxy = toxiproxy.NewProxy(proxies, name, l.listen, target)
		if err := l.proxy.Start(); err != nil {
			return err.Error()
		}
		return ""
	})
	t.Cleanup(l.proxy.Stop)
	return l
}

func (l *link) address() string { return l.listen }

// cut breaks every connection and refuses new ones.
func (l *link) cut() { l.proxy.Stop() }

// restore ends a cut.
func (l *link) restore(t *testing.T) {
	t.Helper()
	assert.NilError(t, l.proxy.Start())
}

// silence lets connections stand and passes no data, in both directions.
func (l *link) silence(t *testing.T) {
	t.Helper()
	for _, stream := range []string{"upstream", "downstream"} {
		l.toxic(t, fmt.Sprintf(`{"name": "silent_%s", "type": "timeout", "stream": %q, "attributes": {"timeout": 0}}`, stream, stream))
	}
}

// slow delays the data of both directions.
func (l *link) slow(t *testing.T, d time.Duration) {
	t.Helper()
	for _, stream := range []string{"upstream", "downstream"} {
		l.toxic(t, fmt.Sprintf(`{"name": "slow_%s", "type": "latency", "stream": %q, "attributes": {"latency": %d}}`,
			stream, stream, d.Milliseconds()))
	}
}

// heal removes silence and delay.
func (l *link) heal(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	l.proxy.Toxics.ResetToxics(ctx)
}

func (l *link) toxic(t *testing.T, definition string) {
	t.Helper()
	_, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(definition))
	assert.NilError(t, err)
}
