package proof

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// echo answers what it reads on each connection.
type echo struct{ listener net.Listener }

func (e *echo) loop() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		go (&relay{conn, conn, make(chan struct{}, 1)}).run()
	}
}

// exchange sends a byte and waits for its return.
func exchange(conn net.Conn) error {
	if err := conn.SetDeadline(time.Now().Add(time.Second)); err != nil {
		return err
	}
	if _, err := conn.Write([]byte{1}); err != nil {
		return err
	}
	_, err := conn.Read(make([]byte, 1))
	return err
}

// Guards against a fabric whose faults do nothing, or strike other pairs: the
// dialing process of a connection must be found, and only its link be cut.
func TestFabric(t *testing.T) {
	listener, err := net.Listen("tcp", addresses.free(t))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go (&echo{listener}).loop()
	self, other := &node{name: "self"}, &node{name: "other", inner: listener.Addr().String()}
	self.pid.Store(int64(os.Getpid()))
	b := newFabric(t, []*node{self, other})
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", other.advertise)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	there := b.between(func(from, _ *node) bool { return from == self })
	back := b.between(func(from, _ *node) bool { return from == other })
	assert.Equal(t, len(there)+len(back), 2)

	back[0].cut()
	old := dial()
	assert.NilError(t, exchange(old))
	b.forsake(t, func(from, _ *node) bool { return from == self })
	err = exchange(old)
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
	fresh := dial()
	assert.NilError(t, exchange(fresh))
	for _, l := range b.between(func(from, _ *node) bool { return from == self }) {
		l.cut()
	}
	assert.Assert(t, exchange(fresh) != nil)
	assert.Assert(t, exchange(dial()) != nil)
}
