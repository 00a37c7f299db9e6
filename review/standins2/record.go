package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of a case, which is also printed. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now()}, nil
}

// note writes a line with the time since the beginning and who did something.
func (r *record) note(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f %-12s %s\n", time.Since(r.began).Seconds(), who, fmt.Sprintf(format, args...))
	// The record is a report for readers; without it the exit code still counts.
	_, _ = r.file.WriteString(line)
	fmt.Print(line)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.file.Close()
}
