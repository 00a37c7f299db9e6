package scale

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// patience bounds each wait. Only a failure reaches it.
	patience  = 90 * time.Second
	pollEvery = 20 * time.Millisecond
	// tick is the unit of processor time in /proc/PID/stat.
	tick = 10 * time.Millisecond
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

// usage is what a process has used since its start.
type usage struct {
	cpu time.Duration
	// read and written are bytes of read and write calls; writes counts the
	// write calls.
	read, written, writes int64
	// resident and peak are bytes of memory now and at most.
	resident, peak int64
}

// since returns what was used after an earlier reading; memory stays absolute.
func (u usage) since(old usage) usage {
	u.cpu -= old.cpu
	u.read -= old.read
	u.written -= old.written
	u.writes -= old.writes
	return u
}

func (u usage) bytes() int64 { return u.read + u.written }

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
	past usage
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
	last, _ := read(cmd.Process.Pid)
	_ = cmd.Process.Signal(s)
	<-done
	p.mu.Lock()
	defer p.mu.Unlock()
	p.past.cpu += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	p.past.read += last.read
	p.past.written += last.written
	p.past.writes += last.writes
}

func (p *process) text() string {
	data, _ := os.ReadFile(p.output)
	return string(data)
}

// usage returns what all incarnations have used.
func (p *process) usage(t *testing.T) usage {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	u, err := read(p.cmd.Process.Pid)
	assert.NilError(t, err, "%s", p.name)
	u.cpu += p.past.cpu
	u.read += p.past.read
	u.written += p.past.written
	u.writes += p.past.writes
	return u
}

// read reads the counters of a process from /proc.
func read(pid int) (usage, error) {
	var u usage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	// The name in parentheses may have spaces; utime and stime are the 12th and
	// 13th fields after it.
	rest := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	if len(rest) < 13 {
		return u, fmt.Errorf("stat of %d is %q", pid, stat)
	}
	u.cpu = time.Duration(number(rest[11])+number(rest[12])) * tick
	values, err := pairs(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return u, err
	}
	u.read, u.written, u.writes = values["rchar"], values["wchar"], values["syscw"]
	values, err = pairs(fmt.Sprintf("/proc/%d/status", pid))
	u.resident, u.peak = values["VmRSS"]<<10, values["VmHWM"]<<10
	return u, err
}

// pairs reads the lines "key: number" of a file.
func pairs(path string) (map[string]int64, error) {
	data, err := os.ReadFile(path)
	values := map[string]int64{}
	for line := range strings.Lines(string(data)) {
		key, value, _ := strings.Cut(line, ":")
		if fields := strings.Fields(value); len(fields) > 0 {
			values[key] = number(fields[0])
		}
	}
	return values, err
}

func number(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
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
