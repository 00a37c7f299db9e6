package proof

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// findDialer bounds the search for the process behind a connection: the kernel
// may list a new connection only at the second look.
const findDialer = 2 * time.Second

// pair is the path from a process that dials to the one that it dials.
type pair struct{ from, to *node }

// fabric carries the connections of the inner protocol. A front stands before
// each process at the address that the others are told. It finds out which
// process dialed and passes the connection through the link of that pair, so
// that a fault can be put on one direction between two processes.
type fabric struct {
	nodes []*node

	mu    sync.Mutex
	links map[pair]*link

	// scan guards the newest scan of the connections of all processes.
	scan    sync.Mutex
	scanned time.Time
	owners  map[string]*node
}

// newFabric puts a front before each process.
func newFabric(t *testing.T, nodes []*node) *fabric {
	t.Helper()
	b := &fabric{nodes: nodes, links: map[pair]*link{}}
	for _, to := range nodes {
		for _, from := range nodes {
			b.links[pair{from, to}] = newLink(t, from.name+" to "+to.name, to.inner)
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		to.advertise = listener.Addr().String()
		go (&front{fabric: b, to: to, listener: listener}).loop()
	}
	return b
}

// between returns the links of the pairs that the condition selects.
func (b *fabric) between(selected func(from, to *node) bool) []*link {
	b.mu.Lock()
	defer b.mu.Unlock()
	var links []*link
	for p, l := range b.links {
		if p.from != p.to && selected(p.from, p.to) {
			links = append(links, l)
		}
	}
	return links
}

// forsake makes the connections of the selected pairs silent for good. New ones
// work, from the first on.
func (b *fabric) forsake(t *testing.T, selected func(from, to *node) bool) {
	t.Helper()
	fresh := map[pair]*link{}
	for _, to := range b.nodes {
		for _, from := range b.nodes {
			if from != to && selected(from, to) {
				fresh[pair{from, to}] = newLink(t, from.name+" anew to "+to.name, to.inner)
			}
		}
	}
	var old []*link
	b.mu.Lock()
	for p, l := range fresh {
		old = append(old, b.links[p])
		b.links[p] = l
	}
	b.mu.Unlock()
	for _, l := range old {
		l.silence(t)
	}
}

// front accepts the connections to one process.
type front struct {
	fabric   *fabric
	to       *node
	listener net.Listener
}

func (r *front) loop() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go (&carried{front: r, client: client}).run()
	}
}

// carried is one connection through a front.
type carried struct {
	front  *front
	client net.Conn
}

// run passes the connection on until either side closes it.
func (c *carried) run() {
	defer c.client.Close()
	from := c.front.fabric.dialer(c.client)
	if from == nil {
		return
	}
	c.front.fabric.mu.Lock()
	l := c.front.fabric.links[pair{from, c.front.to}]
	c.front.fabric.mu.Unlock()
	target, err := net.Dial("tcp", l.address())
	if err != nil {
		return
	}
	defer target.Close()
	ended := make(chan struct{}, 2)
	go (&relay{c.client, target, ended}).run()
	go (&relay{target, c.client, ended}).run()
	<-ended
}

// relay copies one direction.
type relay struct {
	to, from net.Conn
	ended    chan<- struct{}
}

func (r *relay) run() {
	_, _ = io.Copy(r.to, r.from)
	r.ended <- struct{}{}
}

// dialer returns the process that opened a connection; nil if it closed it.
func (b *fabric) dialer(conn net.Conn) *node {
	ends := kernelForm(conn.RemoteAddr()) + " " + kernelForm(conn.LocalAddr())
	for begin := time.Now(); time.Since(begin) < findDialer; time.Sleep(pollEvery) {
		if n := b.owner(ends, time.Now()); n != nil {
			return n
		}
	}
	return nil
}

// owner looks a connection up in a scan that began after the given time. One scan
// serves all that wait for it: many connections come at once when a fault begins.
func (b *fabric) owner(ends string, after time.Time) *node {
	b.scan.Lock()
	defer b.scan.Unlock()
	if !b.scanned.After(after) {
		b.scanned = time.Now()
		b.owners = b.findOwners()
	}
	return b.owners[ends]
}

// findOwners returns the processes by the ends of their connections, as the
// kernel shows them. A socket has the same number in its table of connections and
// in the open files of a process.
func (b *fabric) findOwners() map[string]*node {
	sockets := map[string]*node{}
	for _, n := range b.nodes {
		files := fmt.Sprintf("/proc/%d/fd", n.pid.Load())
		all, _ := os.ReadDir(files)
		for _, f := range all {
			name, _ := os.Readlink(filepath.Join(files, f.Name()))
			if number, ok := strings.CutPrefix(name, "socket:["); ok {
				sockets[strings.TrimSuffix(number, "]")] = n
			}
		}
	}
	owners := map[string]*node{}
	table, _ := os.ReadFile("/proc/self/net/tcp")
	for line := range strings.Lines(string(table)) {
		// Number, both ends, state, queues, timer, retransmissions, user and
		// timeout stand before the socket.
		if fields := strings.Fields(line); len(fields) > 9 && sockets[fields[9]] != nil {
			owners[fields[1]+" "+fields[2]] = sockets[fields[9]]
		}
	}
	return owners
}

// kernelForm is an address on 127.0.0.1 as the table of connections shows it.
func kernelForm(address net.Addr) string {
	return fmt.Sprintf("0100007F:%04X", address.(*net.TCPAddr).Port)
}
