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
const findDialer = 500 * time.Millisecond

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
// work.
func (b *fabric) forsake(t *testing.T, selected func(from, to *node) bool) {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	for p, old := range b.links {
		if p.from != p.to && selected(p.from, p.to) {
			b.links[p] = newLink(t, p.from.name+" anew to "+p.to.name, p.to.inner)
			old.silence(t)
		}
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
	for begin := time.Now(); time.Since(begin) < findDialer; time.Sleep(pollEvery) {
		socket := socketOf(conn)
		for _, n := range b.nodes {
			if socket != "" && n.holds(socket) {
				return n
			}
		}
	}
	return nil
}

// socketOf returns the name that the kernel gives to the other end of a loopback
// connection; empty if there is none.
func socketOf(conn net.Conn) string {
	table, _ := os.ReadFile("/proc/self/net/tcp")
	ends := kernelForm(conn.RemoteAddr()) + " " + kernelForm(conn.LocalAddr())
	_, line, _ := strings.Cut(string(table), ends)
	// State, queues, timer, retransmissions, user and timeout stand before it.
	if fields := strings.Fields(line); len(fields) > 6 && fields[6] != "0" {
		return "socket:[" + fields[6] + "]"
	}
	return ""
}

// kernelForm is an address on 127.0.0.1 as the table of connections shows it.
func kernelForm(address net.Addr) string {
	return fmt.Sprintf("0100007F:%04X", address.(*net.TCPAddr).Port)
}

// holds reports whether the process has the socket open.
func (n *node) holds(socket string) bool {
	files := fmt.Sprintf("/proc/%d/fd", n.pid.Load())
	all, _ := os.ReadDir(files)
	for _, f := range all {
		if name, _ := os.Readlink(filepath.Join(files, f.Name())); name == socket {
			return true
		}
	}
	return false
}
