package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of a case: what was sent, answered and run, with the milliseconds since its
// beginning.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, began: time.Now()}, nil
}

// add writes a line.
func (r *record) add(format string, args ...any) {
	line := fmt.Sprintf("%8d ms  %s\n", time.Since(r.began).Milliseconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	// The record is all that is left of a case; a line that cannot be written is shown.
	if _, err := r.file.WriteString(line); err != nil {
		fmt.Fprint(os.Stderr, line)
	}
}
