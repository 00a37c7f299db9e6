package scale

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond/internal/test/procfs"
)

const (
	// patience bounds each wait. Only a failure reaches it.
	patience  = 90 * time.Second
	pollEvery = 20 * time.Millisecond
)

// programs is the directory of the built programs.
var programs string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "scale")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	programs = dir
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// build builds the programs without the race detector, whose memory would be
// measured too.
var build = sync.OnceValue(func() error {
	command := exec.Command("go", "build", "-o", programs+string(filepath.Separator),
		"../../../cmd/chestnutpond", "../../../cmd/standins")
	if out, err := command.CombinedOutput(); err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	return nil
})

// process is one program that this test started, over all its restarts.
type process struct {
	name, program string
	args          []string
	output        string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	// past is what the ended incarnations used. Their bytes are those read just
	// before the end.
	past procfs.Usage
}

func launch(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	assert.NilError(t, build())
	p := &process{name: name, program: program, args: args, output: filepath.Join(t.TempDir(), name)}
	assert.NilError(t, p.start())
	t.Cleanup(func() {
		p.end(syscall.SIGKILL)
		if t.Failed() {
			text := p.text()
			t.Logf("end of the output of %s:\n%s", name, text[max(0, len(text)-500):])
		}
	})
	return p
}

func (p *process) start() error {
	file, err := os.OpenFile(p.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(programs, p.program), p.args...)
	cmd.Stdout, cmd.Stderr = file, file
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done = cmd, done
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = file.Close()
		close(done)
	}()
	return nil
}

// end signals the process through its own handle and waits for its end.
func (p *process) end(s syscall.Signal) {
	p.mu.Lock()
	cmd, done := p.cmd, p.done
	p.mu.Unlock()
	last, _ := procfs.Read(cmd.Process.Pid)
	_ = cmd.Process.Signal(s)
	<-done
	p.mu.Lock()
	defer p.mu.Unlock()
	last.CPU = cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	p.past = p.past.Plus(last)
}

func (p *process) text() string {
	data, _ := os.ReadFile(p.output)
	return string(data)
}

// usage returns what all incarnations have used.
func (p *process) usage(t *testing.T) procfs.Usage {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	u, err := procfs.Read(p.cmd.Process.Pid)
	assert.NilError(t, err, "%s", p.name)
	return u.Plus(p.past)
}

// until polls for a condition, which returns what is missing.
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
