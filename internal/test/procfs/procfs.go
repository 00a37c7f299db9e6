// Package procfs reads from the operating system what a process has used:
// processor time, bytes of its read and write calls, and memory. Measurements
// take them because they need no help of the process measured.
package procfs

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// tick is the unit of the processor times in /proc.
const tick = 10 * time.Millisecond

// Usage is what a process has used since its start.
type Usage struct {
	CPU time.Duration
	// Read and Written are bytes of read and write calls; Writes counts the
	// write calls.
	Read, Written, Writes int64
	// Resident and Peak are bytes of memory now and at most.
	Resident, Peak int64
}

// Since returns what was used after an earlier reading; memory stays absolute.
func (u Usage) Since(old Usage) Usage {
	u.CPU -= old.CPU
	u.Read -= old.Read
	u.Written -= old.Written
	u.Writes -= old.Writes
	return u
}

// Plus adds what an earlier incarnation of the process used; memory stays that
// of u.
func (u Usage) Plus(past Usage) Usage {
	u.CPU += past.CPU
	u.Read += past.Read
	u.Written += past.Written
	u.Writes += past.Writes
	return u
}

// Bytes returns the bytes read and written.
func (u Usage) Bytes() int64 { return u.Read + u.Written }

// Read reads the counters of a process from /proc. It fails when the process has
// ended.
func Read(pid int) (Usage, error) {
	var u Usage
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
	u.CPU = time.Duration(number(rest[11])+number(rest[12])) * tick
	values, err := pairs(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return u, err
	}
	u.Read, u.Written, u.Writes = values["rchar"], values["wchar"], values["syscw"]
	values, err = pairs(fmt.Sprintf("/proc/%d/status", pid))
	u.Resident, u.Peak = values["VmRSS"]<<10, values["VmHWM"]<<10
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
