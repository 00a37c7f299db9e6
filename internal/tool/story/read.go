// Package story tells from the logs of several processes what happened to a job.
//
// Read takes JSON lines as the processes write them, also behind a prefix that a
// collector puts in front. A Log finds the lines about a job, and those about
// what the processes on its way believed meanwhile: who led, whether the store
// could be reached, and what became of the workers that ran it. Lines that cannot
// be read are counted and left out.
package story

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/chestnutpond/chestnutpond"
)

// Error is the class of this package's errors.
var Error = errs.Class("story")

// maxLine bounds a line in bytes. Longer ones count as unreadable.
const maxLine = 1 << 20

// Line is one line of a log.
type Line struct {
	// Process is the name in the line, or else the source that it was read from.
	Process string
	// Boot counts the starts of the process that the log shows.
	Boot int64
	// Sequence is the number of the line among those of its process and boot.
	Sequence int64
	At       time.Time
	Level    string
	// Part is the prefix of the message, Text the rest.
	Part, Text string
	Job        chestnutpond.JobID
	// Task and Run name the run that the line is about; empty and 0 if none.
	Task string
	Run  int64
	// fields has all other attributes as text.
	fields map[string]string
}

// Field returns an attribute, or the empty string.
func (l *Line) Field(name string) string { return l.fields[name] }

// Log is a set of lines.
type Log struct {
	Lines []Line
	// Unreadable is the number of lines that were left out.
	Unreadable int

	// boots and counts are the newest boot of each process and the number of its
	// lines.
	boots  map[string]int64
	counts map[string]int64
}

// NewLog returns a log without lines.
func NewLog() *Log { return &Log{boots: map[string]int64{}, counts: map[string]int64{}} }

// Read adds the lines of a reader. The lines of one process must be in order. The
// error is that of the reader.
func (l *Log) Read(r io.Reader, source string) error {
	in := bufio.NewReaderSize(r, maxLine)
	for {
		text, err := in.ReadSlice('\n')
		switch {
		case err == nil:
			l.add(text, source)
		case errors.Is(err, io.EOF):
			l.add(text, source)
			return nil
		case errors.Is(err, bufio.ErrBufferFull):
			l.Unreadable++
			if err := skipLine(in); err != nil && !errors.Is(err, io.EOF) {
				return Error.Wrap(err)
			}
		default:
			return Error.Wrap(err)
		}
	}
}

// skipLine reads up to the end of a line.
func skipLine(in *bufio.Reader) error {
	for {
		_, err := in.ReadSlice('\n')
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// add takes one line of text.
func (l *Log) add(text []byte, source string) {
	text = bytes.TrimSpace(text)
	if len(text) == 0 {
		return
	}
	line, err := parse(text, source)
	if err != nil {
		l.Unreadable++
		return
	}
	if line.Text == "process starts" {
		l.boots[line.Process]++
		l.counts[line.Process] = 0
	}
	l.counts[line.Process]++
	line.Boot, line.Sequence = l.boots[line.Process], l.counts[line.Process]
	l.Lines = append(l.Lines, line)
}

// parse reads a line. What stands before the first brace is a collector's prefix.
func parse(text []byte, source string) (Line, error) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return Line{}, Error.New("no JSON object")
	}
	var values map[string]any
	decoder := json.NewDecoder(bytes.NewReader(text[begin:]))
	decoder.UseNumber()
	if err := decoder.Decode(&values); err != nil {
		return Line{}, Error.Wrap(err)
	}
	fields := map[string]string{}
	for name, value := range values {
		fields[name] = asText(value)
	}
	at, err := time.Parse(time.RFC3339Nano, fields["time"])
	if err != nil {
		return Line{}, Error.Wrap(err)
	}
	line := Line{
		Process: fields["process"], At: at, Level: fields["level"], Text: fields["msg"],
		Job: chestnutpond.JobID(fields["job"]), Task: fields["task"], fields: fields,
	}
	if line.Process == "" {
		line.Process = source
	}
	if part, rest, ok := strings.Cut(line.Text, ": "); ok {
		line.Part, line.Text = part, rest
	}
	if ref, err := chestnutpond.ParseTaskRef(line.Task); err == nil {
		line.Job = ref.Job
	}
	if n, err := json.Number(fields["run"]).Int64(); err == nil {
		line.Run = n
	}
	for _, name := range []string{"time", "level", "msg", "process", "job", "task", "run"} {
		delete(fields, name)
	}
	return line, nil
}

// asText returns the value of an attribute as text.
func asText(value any) string {
	switch v := value.(type) {
	case string:
		return v
	case json.Number:
		return v.String()
	}
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(text)
}

// Detail returns the text of the line with its attributes, in order of their
// names.
func (l *Line) Detail() string {
	parts := []string{l.Part + ": " + l.Text}
	if l.Part == "" {
		parts[0] = l.Text
	}
	if l.Task != "" {
		parts = append(parts, "task="+l.Task)
	}
	if l.Run > 0 {
		parts = append(parts, fmt.Sprintf("run=%d", l.Run))
	}
	names := make([]string, 0, len(l.fields))
	for name, value := range l.fields {
		if value != "" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		parts = append(parts, name+"="+l.fields[name])
	}
	return strings.Join(parts, " ")
}
