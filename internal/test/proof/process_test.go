package proof

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// patience bounds each wait of a test. It is generous because the machine
	// may be busy; only a failure reaches it.
	patience = 60 * time.Second
	// pollEvery is the pause between two looks at a condition.
	pollEvery = 20 * time.Millisecond
	// shownLines is how many of the last lines of a process a failure prints.
	shownLines = 40
	// firstPort and portCount are below the ports that the system gives out.
	firstPort = 15000
	portCount = 15000
)

// programs is the directory that TestMain made and removes.
var programs string

// build builds the programs once in a test run, and only if a test needs them.
var build = sync.OnceValue(func() error {
	args := append([]string{"build", "-o", programs + string(filepath.Separator)}, raceFlags...)
	command := exec.Command("go", append(args, "../../../cmd/chestnutpond", "../../../cmd/standins")...)
	if out, err := command.CombinedOutput(); err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	return nil
})

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "proof")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	programs = dir
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// terminate asks for a planned stop.
const terminate = syscall.SIGTERM

// process is one program that this test started.
type process struct {
	name string
	cmd  *exec.Cmd
	// output is the file with both output streams.
	output string
	// done is closed when the process has ended; err is set before.
	done chan struct{}
	err  error
}

// start runs a program until the test ends. It also ends with the test binary.
func start(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	assert.NilError(t, build())
	p := &process{name: name, output: filepath.Join(t.TempDir(), "output"), done: make(chan struct{})}
	file, err := os.Create(p.output)
	assert.NilError(t, err)
	p.cmd = exec.Command(filepath.Join(programs, program), args...)
	p.cmd.Stdout, p.cmd.Stderr = file, file
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	assert.NilError(t, p.cmd.Start())
	go func() {
		p.err = p.cmd.Wait()
		_ = file.Close()
		close(p.done)
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGKILL)
		<-p.done
		for _, fault := range []string{"DATA RACE", "panic: "} {
			assert.Check(t, !strings.Contains(p.text(), fault), "%s: %s", name, fault)
		}
		if t.Failed() {
			t.Logf("last lines of %s:\n%s", name, p.tail())
		}
	})
	return p
}

// signal sends through the process's own handle; an ended process gets none.
func (p *process) signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill(t *testing.T) {
	t.Helper()
	p.signal(syscall.SIGKILL)
	p.wait(t)
}

// terminate asks for a planned stop and requires a clean end.
func (p *process) terminate(t *testing.T) {
	t.Helper()
	p.signal(terminate)
	p.wait(t)
	assert.NilError(t, p.err, "%s", p.name)
}

func (p *process) wait(t *testing.T) {
	t.Helper()
	select {
	case <-p.done:
	case <-time.After(patience):
		t.Fatalf("%s did not end within %s", p.name, patience)
	}
}

func (p *process) pause()  { p.signal(syscall.SIGSTOP) }
func (p *process) resume() { p.signal(syscall.SIGCONT) }

func (p *process) text() string {
	data, _ := os.ReadFile(p.output)
	return string(data)
}

func (p *process) tail() string {
	lines := strings.Split(p.text(), "\n")
	return strings.Join(lines[max(0, len(lines)-shownLines):], "\n")
}

// until polls for a condition; the condition returns what is still missing.
func until(t *testing.T, what string, missing func() string) {
	t.Helper()
	last := ""
	for begin := time.Now(); time.Since(begin) < patience; time.Sleep(pollEvery) {
		if last = missing(); last == "" {
			return
		}
	}
	t.Fatalf("%s: not within %s: %s", what, patience, last)
}

// ports hands out loopback addresses that were free a moment ago.
type ports struct {
	mu   sync.Mutex
	next int
}

// addresses begins at a place that differs between test binaries.
var addresses = &ports{next: os.Getpid() * 97 % portCount}

func (p *ports) free(t *testing.T) string {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+p.next)
		p.next = (p.next + 1) % portCount
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}
