package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/chestnutpond/chestnutpond"
)

// value is a number, text or boolean that is only printed.
type value string

// UnmarshalJSON implements json.Unmarshaler. null is the empty value.
func (v *value) UnmarshalJSON(data []byte) error {
	if string(data) == "null" {
		*v = ""
		return nil
	}
	var text string
	if err := json.Unmarshal(data, &text); err == nil {
		*v = value(text)
		return nil
	}
	*v = value(data)
	return nil
}

// status is what an entry knows, as far as the token may see it.
type status struct {
	Entry         string          `json:"entry"`
	Service       string          `json:"service"`
	ConfigVersion int64           `json:"config_version"`
	Log           logState        `json:"log"`
	Regions       []regionState   `json:"regions"`
	Accounts      []accountState  `json:"accounts"`
	Jobs          []job           `json:"jobs"`
	Upstreams     []upstreamState `json:"upstreams"`
	Entries       []entryState    `json:"entries"`
	// Evacuations are the zones under evacuation.
	Evacuations []evacuationState `json:"evacuations"`
}

type logState struct {
	Available  bool  `json:"available"`
	NextOffset int64 `json:"next_offset"`
}

type regionState struct {
	Region    string `json:"region"`
	Scheduler string `json:"scheduler"`
	Term      int64  `json:"term"`
}

type accountState struct {
	Account    string `json:"account"`
	Region     string `json:"region"`
	Guaranteed value  `json:"guaranteed"`
	Used       value  `json:"used"`
	Borrowed   value  `json:"borrowed"`
	Waiting    value  `json:"waiting"`
	Covered    value  `json:"covered"`
	Debt       value  `json:"debt"`
}

type upstreamState struct {
	Name         string `json:"name"`
	Region       string `json:"region"`
	Zone         string `json:"zone"`
	Rack         string `json:"rack"`
	State        string `json:"state"`
	Slots        value  `json:"slots"`
	Busy         value  `json:"busy"`
	Accelerators value  `json:"accelerators"`
	Free         value  `json:"free"`
}

type evacuationState struct {
	Zone      string   `json:"zone"`
	Since     value    `json:"since"`
	Offset    value    `json:"offset"`
	Operator  string   `json:"operator"`
	Jobs      value    `json:"jobs"`
	Requests  value    `json:"requests"`
	Uncovered []string `json:"uncovered"`
}

type entryState struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	Zone   string `json:"zone"`
}

// job is one job as an entry shows it.
type job struct {
	ID           chestnutpond.JobID    `json:"id"`
	Account      string                `json:"account"`
	Caller       string                `json:"caller"`
	Kind         string                `json:"kind"`
	Class        string                `json:"class"`
	Region       string                `json:"region"`
	State        chestnutpond.JobState `json:"state"`
	Attempt      int64                 `json:"attempt"`
	Accelerators int                   `json:"accelerators"`
	Adjacency    string                `json:"adjacency"`
	Members      []member              `json:"members"`
	// Waiting says what a queued job waits for and why.
	Waiting    value `json:"waiting"`
	Guaranteed value `json:"guaranteed"`
	Result     value `json:"result"`
	Reason     value `json:"reason"`
}

type member struct {
	Member       int    `json:"member"`
	Worker       string `json:"worker"`
	Accelerators []int  `json:"accelerators"`
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:      "status",
		Usage:     "show accounts, jobs and upstreams, or single jobs",
		ArgsUsage: "[ID...]",
		Description: `Without an id: for each account its guarantee, use and debt, and what waits and
why; the token of an account shows its own, the token of an operator all. With
ids: these jobs.

` + exitCodes,
		Flags:  commonFlags(),
		Action: runStatus,
	}
}

// runStatus prints the state of the deployment or of jobs.
func runStatus(ctx context.Context, cmd *cli.Command) error {
	s, err := newSession(cmd)
	if err != nil {
		return err
	}
	if !cmd.Args().Present() {
		var all status
		if err := s.get(ctx, "/v1/status", nil, &all); err != nil || s.json() {
			return err
		}
		s.printStatus(all)
		return nil
	}
	var jobs []job
	for _, id := range cmd.Args().Slice() {
		var one job
		if err := s.get(ctx, "/v1/jobs/"+url.PathEscape(id), url.Values{"cause": {"true"}}, &one); err != nil {
			return err
		}
		jobs = append(jobs, one)
	}
	if !s.json() {
		s.printJobs(jobs)
	}
	return nil
}

// get fetches a JSON body; with the output json it also prints it.
func (s *session) get(ctx context.Context, path string, query url.Values, into any) error {
	return s.ask(ctx, call{method: http.MethodGet, path: path, query: query, repeatable: true}, into)
}

// ask makes a call that changes nothing, as get does.
func (s *session) ask(ctx context.Context, question call, into any) error {
	r, err := s.api.do(ctx, question)
	if err != nil {
		return failf(ExitFailed, "%s: %v", s.cmd.Name, err)
	}
	if r.status != http.StatusOK {
		err := refusal(s.cmd.Name, r)
		if exitCode(err) == ExitUnknown {
			// A question changes nothing, whatever became of it.
			return failf(ExitFailed, "%v", err)
		}
		return err
	}
	if err := r.decode(s.cmd.Name, into); err != nil {
		return err
	}
	if s.json() {
		s.printJSON(json.RawMessage(r.body))
	}
	return nil
}

// printJSON prints a value as indented JSON.
func (s *session) printJSON(v any) {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		s.notef("%v\n", err)
		return
	}
	s.printf("%s\n", data)
}

// printStatus prints all tables that have rows.
func (s *session) printStatus(all status) {
	log := "log service available"
	if !all.Log.Available {
		log = "LOG SERVICE NOT AVAILABLE: no new job starts, no document is published"
	}
	s.printf("service %s, document version %d, seen by entry %s; %s, next offset %d\n",
		all.Service, all.ConfigVersion, all.Entry, log, all.Log.NextOffset)
	s.table("REGION\tSCHEDULER\tTERM", len(all.Regions), func(i int) string {
		r := all.Regions[i]
		return row(r.Region, or(r.Scheduler, "none"), strconv.FormatInt(r.Term, 10))
	})
	s.table("ACCOUNT\tREGION\tGUARANTEED\tUSED\tBORROWED\tWAITING\tCOVERED\tDEBT", len(all.Accounts), func(i int) string {
		a := all.Accounts[i]
		return row(a.Account, a.Region, string(a.Guaranteed), string(a.Used), string(a.Borrowed), string(a.Waiting), string(a.Covered), string(a.Debt))
	})
	s.table("UPSTREAM\tREGION\tZONE\tRACK\tSTATE\tSLOTS\tBUSY\tACCELERATORS\tFREE", len(all.Upstreams), func(i int) string {
		u := all.Upstreams[i]
		return row(u.Name, u.Region, u.Zone, u.Rack, u.State, string(u.Slots), string(u.Busy), string(u.Accelerators), string(u.Free))
	})
	s.table("EVACUATED ZONE\tSINCE\tOFFSET\tOPERATOR\tJOBS THERE\tREQUESTS THERE\tGUARANTEES THAT DO NOT FIT", len(all.Evacuations), func(i int) string {
		e := all.Evacuations[i]
		return row(e.Zone, string(e.Since), string(e.Offset), e.Operator, string(e.Jobs), string(e.Requests), strings.Join(e.Uncovered, ","))
	})
	s.table("ENTRY\tREGION\tZONE", len(all.Entries), func(i int) string {
		e := all.Entries[i]
		return row(e.Name, e.Region, e.Zone)
	})
	s.printJobs(all.Jobs)
}

// printJobs prints one line for each job, with what it waits for and why.
func (s *session) printJobs(jobs []job) {
	s.table("JOB\tACCOUNT\tKIND\tCLASS\tREGION\tSHAPE\tSTATE\tATTEMPT\tWHERE OR WHY", len(jobs), func(i int) string {
		j := jobs[i]
		shape := chestnutpond.Shape{Accelerators: j.Accelerators, Adjacency: chestnutpond.Adjacency(j.Adjacency)}
		return row(string(j.ID), j.Account, j.Kind, j.Class, j.Region, shape.String(), string(j.State), strconv.FormatInt(j.Attempt, 10), j.explain())
	})
}

// explain says where a job runs, what it waits for, or how it ended.
func (j job) explain() string {
	var parts []string
	for _, m := range j.Members {
		indexes := make([]string, len(m.Accelerators))
		for i, a := range m.Accelerators {
			indexes[i] = strconv.Itoa(a)
		}
		parts = append(parts, fmt.Sprintf("%s[%s]", m.Worker, strings.Join(indexes, ",")))
	}
	if j.Guaranteed == "true" {
		parts = append(parts, "within the guarantee")
	}
	if w := string(j.Waiting); w != "" && w != "false" {
		parts = append(parts, "waits: "+w)
	}
	if j.Reason != "" {
		parts = append(parts, "reason: "+string(j.Reason))
	}
	if j.Result != "" {
		parts = append(parts, "result: "+string(j.Result))
	}
	return strings.Join(parts, "; ")
}

// table prints a heading and rows in columns; nothing if there are no rows.
func (s *session) table(heading string, rows int, line func(i int) string) {
	if rows == 0 {
		return
	}
	w := tabwriter.NewWriter(s.cmd.Root().Writer, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "\n%s\n", heading)
	for i := range rows {
		_, _ = fmt.Fprintln(w, line(i))
	}
	_ = w.Flush()
}

// row joins cells; control characters in them would break the columns.
func row(cells ...string) string {
	clean := make([]string, len(cells))
	for i, c := range cells {
		clean[i] = or(strings.Map(func(r rune) rune {
			if r < ' ' || r == 0x7f {
				return ' '
			}
			return r
		}, c), "-")
	}
	return strings.Join(clean, "\t")
}

// or returns text, or otherwise if it is empty.
func or(text, otherwise string) string {
	if text == "" {
		return otherwise
	}
	return text
}
