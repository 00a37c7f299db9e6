package client

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/urfave/cli/v3"
	"gotest.tools/v3/assert"
)

// result is what a run of the program left.
type result struct {
	out, note string
	code      int
}

// execute runs the program with arguments.
func execute(t *testing.T, arguments ...string) result {
	var out, note bytes.Buffer
	root := &cli.Command{
		Name: "chestnutpond", Action: NoCommand, Commands: Commands(), Writer: &out, ErrWriter: &note,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	err := root.Run(t.Context(), append([]string{"chestnutpond"}, arguments...))
	r := result{out: out.String(), note: note.String()}
	if err != nil {
		r.code = exitCode(err)
		r.note += err.Error() + "\n"
	}
	return r
}

// scripted answers the calls of a test in turn; the last answer repeats.
type scripted struct {
	t       *testing.T
	answers []answer

	mu    sync.Mutex
	calls []received
}

// received is one call.
type received struct {
	// line is the method, target and body, form the type of the body.
	line, key, form string
}

// seen returns the calls so far. A call whose connection the server closed may
// still be on its way out of the handler, so the calls are locked.
func (s *scripted) seen() []received {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.calls)
}

// next records a call and returns its answer.
func (s *scripted) next(c received) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, c)
	return s.answers[min(len(s.calls), len(s.answers))-1]
}

// answer is one answer; status 0 closes the connection after the call was read.
type answer struct {
	status int
	body   string
}

func (s *scripted) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	assert.Check(s.t, r.Header.Get("Authorization") == "Bearer example-token")
	body, err := io.ReadAll(r.Body)
	assert.Check(s.t, err)
	a := s.next(received{line: r.Method + " " + r.URL.String() + " " + string(body), key: r.Header.Get("Idempotency-Key"), form: r.Header.Get("Content-Type")})
	if a.status == 0 {
		panic(http.ErrAbortHandler)
	}
	if a.status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "7")
	}
	w.WriteHeader(a.status)
	_, _ = io.WriteString(w, a.body)
}

// start serves the answers and returns the base URL.
func start(t *testing.T, answers ...answer) (*scripted, string) {
	t.Setenv(TokenVariable, "example-token")
	s := &scripted{t: t, answers: answers}
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return s, server.URL
}

// closedPort returns the URL of a port that nothing listens on.
func closedPort(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return "http://" + l.Addr().String()
}

const (
	notRun  = `{"outcome":"not_run","reason":"log_unavailable","detail":"the log service is down"}`
	unknown = `{"outcome":"unknown","reason":"log_unavailable"}`
)

const document = `schema: 1
service: cotizador
accounts:
  - {name: ventas, token_sha256: "1111111111111111111111111111111111111111111111111111111111111111"}
kinds:
  - {name: forecast, work: job, class: bulk}
`

func writeFile(t *testing.T, name, text string) string {
	path := filepath.Join(t.TempDir(), name)
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Guards against a publication that is reported as lost or not run while it may
// be in the log.
func TestPublish(t *testing.T) {
	tests := map[string]struct {
		answers  []answer
		code     int
		out      string
		note     string
		numCalls int
	}{
		"published":             {[]answer{{200, `{"outcome":"published","version":8}`}}, 0, "published as version 8\n", "publication p1\n", 1},
		"lost":                  {[]answer{{409, `{"outcome":"lost","version":9}`}}, ExitLost, "", "publication p1\npublish: lost: version 9 came first; fetch it, merge your change and publish with --base 9\n", 1},
		"unknown, then known":   {[]answer{{504, unknown}, {200, `{"outcome":"published","version":8}`}}, 0, "published as version 8\n", "publication p1\n", 2},
		"connection broke":      {[]answer{{0, ""}, {200, `{"outcome":"lost","version":9}`}}, ExitLost, "", "version 9 came first", 2},
		"rejected":              {[]answer{{422, `{"outcome":"rejected","reason":"bad_document","detail":"line 3"}`}}, ExitRejected, "", "publish: rejected (bad_document): line 3\n", 1},
		"not run":               {[]answer{{503, notRun}}, ExitNotRun, "", "publish: not_run (log_unavailable): the log service is down; may be repeated after 7 s\n", 1},
		"answer without a body": {[]answer{{500, ""}}, ExitUnknown, "", "publish: unknown: the entry answered status 500, which this program does not know\n", 1},
		"never known": {
			[]answer{{504, unknown}},
			ExitUnknown, "",
			"publish: unknown: the document may be published; find out with: publish --query p1; repeating the same command with --id p1 takes effect at most once\n", 1 + resolveTries,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s, address := start(t, tt.answers...)
			r := execute(t, "publish", "--address", address, "--base", "7", "--id", "p1", writeFile(t, "d.yaml", document))
			assert.Equal(t, r.code, tt.code)
			assert.Equal(t, r.out, tt.out)
			assert.Assert(t, strings.Contains(r.note, tt.note), r.note)
			calls := s.seen()
			assert.Equal(t, len(calls), tt.numCalls)
			assert.Equal(t, calls[0].line, "PUT /v1/document?base=7&id=p1 "+document)
			for _, c := range calls[1:] {
				assert.Equal(t, c.line, "GET /v1/publications/p1 ")
			}
		})
	}
}

// Guards against a job that is submitted twice, and against "not run" after a
// sending whose outcome is unknown.
func TestSubmit(t *testing.T) {
	const accepted = `{"outcome":"accepted","id":"j1"}`
	tests := map[string]struct {
		answers  []answer
		code     int
		out      string
		note     string
		numCalls int
	}{
		"accepted":              {[]answer{{202, accepted}}, 0, "accepted as job j1\n", "key k1\n", 1},
		"unknown, then known":   {[]answer{{504, unknown}, {0, ""}, {202, accepted}}, 0, "accepted as job j1\n", "submit: unknown", 3},
		"not run":               {[]answer{{503, notRun}}, ExitNotRun, "", "may be repeated after 7 s\n", 1},
		"limit":                 {[]answer{{429, `{"outcome":"not_run","reason":"job_limit"}`}}, ExitNotRun, "", "submit: not_run (job_limit)\n", 1},
		"rejected":              {[]answer{{400, `{"outcome":"rejected","reason":"bad_shape"}`}}, ExitRejected, "", "submit: rejected (bad_shape)\n", 1},
		"unknown, then not run": {[]answer{{0, ""}, {503, notRun}}, ExitUnknown, "", "submit: unknown: the job may be accepted; repeat the same command with --key k1, which gives at most one job\n", submitTries},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s, address := start(t, tt.answers...)
			r := execute(t, "submit", "--address", address, "--key", "k1", "--kind", "forecast", "--region", "pampa",
				"--accelerators", "8", "--declared", "2h", "--payload", writeFile(t, "p", "lots"))
			assert.Equal(t, r.code, tt.code, r.note)
			assert.Equal(t, r.out, tt.out)
			assert.Assert(t, strings.Contains(r.note, tt.note), r.note)
			assert.Equal(t, len(s.seen()), tt.numCalls)
			for _, c := range s.seen() {
				assert.Equal(t, c.line, `POST /v1/jobs {"kind":"forecast","region":"pampa","accelerators":8,"adjacency":"worker","declared":"2h0m0s","payload":"bG90cw=="}`)
				assert.Equal(t, c.key, "k1")
			}
		})
	}
}

// Guards against a call that goes to a second entry although the first may have
// carried it out.
func TestEntriesAreTriedInTurn(t *testing.T) {
	tests := map[string]struct {
		first, second answer
		closed        bool
		repeatable    bool
		firstCalls    int
		secondCalls   int
		code          int
	}{
		"first is down":                  {answer{}, answer{200, "{}"}, true, false, 0, 1, 0},
		"first refused":                  {answer{503, notRun}, answer{200, "{}"}, false, false, 1, 1, 0},
		"both refused":                   {answer{503, notRun}, answer{503, notRun}, false, false, 1, 1, ExitNotRun},
		"first broke off":                {answer{}, answer{200, "{}"}, false, false, 1, 0, ExitUnknown},
		"first broke off, repeatable":    {answer{}, answer{200, "{}"}, false, true, 1, 1, 0},
		"first broke off, second cannot": {answer{}, answer{503, notRun}, false, true, 1, 1, ExitUnknown},
		"first answers":                  {answer{404, `{"outcome":"rejected"}`}, answer{200, "{}"}, false, true, 1, 0, ExitRejected},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			first, firstURL := start(t, tt.first)
			second, secondURL := start(t, tt.second)
			if tt.closed {
				firstURL = closedPort(t)
			}
			r, err := newAPI([]string{firstURL, secondURL}, "example-token").do(t.Context(), call{method: http.MethodPut, path: "/", repeatable: tt.repeatable})
			switch {
			case err != nil:
				err = callError("put", err)
			case r.status != http.StatusOK:
				err = refusal("put", r)
			}
			code := 0
			if err != nil {
				code = exitCode(err)
			}
			assert.Equal(t, code, tt.code, "%v", err)
			assert.Equal(t, len(first.seen()), tt.firstCalls)
			assert.Equal(t, len(second.seen()), tt.secondCalls)
		})
	}
	_, err := newAPI([]string{closedPort(t)}, "").do(t.Context(), call{method: http.MethodPut, path: "/"})
	var notSent *notSentError
	assert.Assert(t, errors.As(err, &notSent))
}

func TestCancelAndStatus(t *testing.T) {
	const job1 = `{"id":"j1","account":"ventas","kind":"forecast","class":"bulk","region":"pampa","state":"queued","attempt":0,"accelerators":16,"adjacency":"rack","members":[],"waiting":"no rack has 16 free","guaranteed":false,"result":"","reason":""}`
	const job2 = `{"id":"j2","account":"ventas","kind":"forecast","class":"bulk","region":"pampa","state":"running","attempt":1,"accelerators":2,"adjacency":"worker","members":[{"member":0,"worker":"w1","accelerators":[0,3]}],"waiting":"","guaranteed":true}`
	const all = `{"entry":"e1","service":"cotizador","config_version":8,"log":{"available":false,"next_offset":40},"regions":[{"region":"pampa","scheduler":"","term":3}],` +
		`"accounts":[{"account":"ventas","region":"pampa","guaranteed":8,"used":2,"borrowed":0,"waiting":1,"covered":true,"debt":1.5}],"jobs":[` + job1 + `]}`
	tests := map[string]struct {
		arguments []string
		answer    answer
		call      string
		code      int
		want      []string
	}{
		"cancel":         {[]string{"cancel", "j/1"}, answer{200, `{"outcome":"cancelled","id":"j/1","state":"stopping"}`}, "DELETE /v1/jobs/j%2F1 ", 0, []string{"cancelled job j/1, now stopping\n"}},
		"cancel unknown": {[]string{"cancel", "j1"}, answer{504, unknown}, "DELETE /v1/jobs/j1 ", ExitUnknown, nil},
		"status": {[]string{"status"}, answer{200, all}, "GET /v1/status ", 0, []string{
			"service cotizador, document version 8, seen by entry e1; LOG SERVICE NOT AVAILABLE: no new job starts, no document is published, next offset 40\n",
			"pampa   none       3\n",
			"ACCOUNT  REGION  GUARANTEED  USED  BORROWED  WAITING  COVERED  DEBT\nventas   pampa   8           2     0         1        true     1.5\n",
			"j1   ventas   forecast  bulk   pampa   16 in one rack  queued  0        waits: no rack has 16 free\n",
		}},
		"one job":       {[]string{"status", "j2"}, answer{200, job2}, "GET /v1/jobs/j2?cause=true ", 0, []string{"2 in one worker  running  1        w1[0,3]; within the guarantee\n"}},
		"json":          {[]string{"status", "--output", "json", "j2"}, answer{200, job2}, "GET /v1/jobs/j2?cause=true ", 0, []string{"{\n  \"id\": \"j2\",\n"}},
		"status broken": {[]string{"status"}, answer{200, "<html>"}, "GET /v1/status ", ExitFailed, nil},
		"unauthorized":  {[]string{"status"}, answer{401, `{"outcome":"rejected","reason":"unauthorized"}`}, "GET /v1/status ", ExitRejected, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s, address := start(t, tt.answer)
			r := execute(t, append([]string{tt.arguments[0], "--address", address}, tt.arguments[1:]...)...)
			assert.Equal(t, r.code, tt.code, r.note)
			assert.Equal(t, s.seen()[0].line, tt.call)
			for _, want := range tt.want {
				assert.Assert(t, strings.Contains(r.out, want), r.out)
			}
		})
	}
}

func TestTimeline(t *testing.T) {
	const events = `{"events":[{"id":"w1/1/1","process":"w1","incarnation":1,"sequence":1,"at":"2026-03-01T08:00:00Z","kind":"started","job":"j1","attempt":1,"cause":"e1/1/1"},` +
		`{"id":"e1/1/1","process":"e1","incarnation":1,"sequence":1,"at":"2026-03-01T08:00:09Z","kind":"placed","job":"j1","attempt":1}],"dropped":3,"unreachable":["w2"]}`
	s, address := start(t, answer{200, events})
	page := filepath.Join(t.TempDir(), "t.html")
	r := execute(t, "timeline", "--address", address, "--job", "j1", "--from", "2026-03-01T07:00:00+01:00", "--html", page)
	assert.Equal(t, r.code, 0, r.note)
	assert.Equal(t, s.seen()[0].line, "GET /v1/events?from=2026-03-01T06%3A00%3A00Z&job=j1&limit=10000 ")
	assert.Equal(t, r.note, "timeline: 3 older events are no longer kept\ntimeline: no events from w2: not reached\ntimeline: 2 events in "+page+"\n")
	html, err := os.ReadFile(page)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Contains(html, []byte("<svg")))
	r = execute(t, "timeline", "--address", address)
	assert.Equal(t, r.out, "2026-03-01 08:00:09.000  e1  placed   job=j1 attempt=1\n2026-03-01 08:00:00.000  w1  started  job=j1 attempt=1 (after e1/1/1)\n")
	at, err := parseTime("15m", time.Unix(1000, 0))
	assert.NilError(t, err)
	assert.Equal(t, at, time.Unix(100, 0))
}

// Guards against an explanation that loses a file, or an unreadable line that hides
// the rest.
func TestExplain(t *testing.T) {
	entry := writeFile(t, "entry-1.log", `{"time":"2026-07-03T09:00:05Z","level":"INFO","msg":"front: job accepted","job":"00000000000000a1","queue":"lots","took":"12ms"}
not a line of ours
{"time":"2026-07-03T09:00:05.1Z","level":"INFO","msg":"lead: run placed","task":"00000000000000a1.0.0.0","run":1,"worker":"w1"}
`)
	agent := writeFile(t, "side-1.log", `{"time":"2026-07-03T09:00:04Z","level":"INFO","msg":"agent: run started","task":"00000000000000a1.0.0.0","run":1,"worker":"w1"}`)
	const summary = "09:00:04.000  job 00000000000000a1; queue lots; stored in 12ms; 1 runs; no end in the log\n"
	r := execute(t, "explain", agent, entry)
	assert.Equal(t, r.code, 0, r.note)
	assert.Equal(t, r.out, summary)
	assert.Equal(t, r.note, "explain: 1 lines could not be read\n")
	r = execute(t, "explain", "--job", "00000000000000a1", agent, entry)
	assert.Equal(t, r.out, summary+`
2026-07-03 09:00:05.000  entry-1  INFO  front: job accepted queue=lots took=12ms
2026-07-03 09:00:05.100  entry-1  INFO  lead: run placed task=00000000000000a1.0.0.0 run=1 worker=w1
2026-07-03 09:00:04.000  side-1   INFO  agent: run started task=00000000000000a1.0.0.0 run=1 worker=w1 (after entry-1/0/2)
`)
	page := filepath.Join(t.TempDir(), "e.html")
	r = execute(t, "explain", "--job", "00000000000000a1", "--html", page, agent, entry)
	assert.Equal(t, r.code, 0, r.note)
	html, err := os.ReadFile(page)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Contains(html, []byte("<svg")))
}

const graphText = "kind: lots\npayload: zips\nsteps:\n  - {count: 4, cpu_millis: 500}\n"

// Guards against a graph that is changed on its way, or sent in another form.
func TestSubmitGraph(t *testing.T) {
	file := writeFile(t, "g.yaml", graphText)
	s, address := start(t, answer{http.StatusAccepted, `{"outcome":"accepted","id":"00000000000000a1"}`})
	r := execute(t, "submit", "--graph", file, "--address", address, "--key", "lot-1")
	assert.Equal(t, r.code, 0, r.note)
	assert.Equal(t, r.out, "accepted as job 00000000000000a1\n")
	assert.DeepEqual(t, s.seen()[0].line, "POST /v1/jobs "+graphText)
	assert.Equal(t, s.seen()[0].key, "lot-1")
	assert.Equal(t, s.seen()[0].form, "application/yaml")
	r = execute(t, "check", file)
	assert.Equal(t, r.out, file+": ok, graph of tasks of kind lots: 1 steps, 4 tasks\n")
}

func TestCheck(t *testing.T) {
	good := writeFile(t, "good.yaml", document)
	bad := writeFile(t, "bad.yaml", strings.Replace(document, "bulk", "low", 1))
	r := execute(t, "check", bad, good)
	assert.Equal(t, r.code, ExitRejected)
	assert.Equal(t, r.out, good+": ok, service document of cotizador: 1 accounts, 1 kinds\n")
	assert.Equal(t, r.note, bad+":6:40: kinds[0].class is \"low\"; allowed: urgent, standard, bulk\ncheck: 1 of 2 files are wrong\n")
}

// Guards against a wrong command line that reaches an entry, or that leaves the
// reader without the allowed values.
func TestWrongCommandLines(t *testing.T) {
	t.Setenv(AddressVariable, "http://127.0.0.1:1")
	file := writeFile(t, "d.yaml", document)
	wrong := writeFile(t, "w.yaml", "schema: 3\n")
	graph := writeFile(t, "g.yaml", graphText)
	tests := map[string]struct {
		arguments []string
		code      int
		want      string
	}{
		"no such command":   {[]string{"publsh"}, ExitFailed, `there is no command "publsh"; help lists them`},
		"no file to check":  {[]string{"check"}, ExitFailed, "check: no file given"},
		"missing file":      {[]string{"check", "none.yaml"}, ExitRejected, "open none.yaml: no such file or directory"},
		"no base":           {[]string{"publish", file}, ExitFailed, "publish: one file and --base N are needed"},
		"wrong document":    {[]string{"publish", "--base", "0", wrong}, ExitRejected, wrong + ":1:9: schema is 3; allowed: 1"},
		"no kind":           {[]string{"submit", "--region", "pampa"}, ExitFailed, "submit: --kind is needed without --graph"},
		"no region":         {[]string{"submit", "--kind", "k"}, ExitFailed, "submit: --region is needed without --graph"},
		"kind of a graph":   {[]string{"submit", "--kind", "k", "--graph", graph}, ExitFailed, "submit: --kind is not used with --graph; the file says it"},
		"no graph":          {[]string{"submit", "--graph", "none"}, ExitFailed, "submit: open none: no such file or directory"},
		"wrong graph":       {[]string{"submit", "--graph", wrong}, ExitRejected, wrong + ":1:1: kind is missing; allowed: a name of at most"},
		"no accelerators":   {[]string{"submit", "--kind", "k", "--region", "r", "--accelerators", "0"}, ExitRejected, "submit: accelerators is 0; allowed: at least 1"},
		"adjacency":         {[]string{"submit", "--kind", "k", "--region", "r", "--adjacency", "row"}, ExitRejected, `submit: adjacency is "row"; allowed: worker, rack, zone`},
		"declared":          {[]string{"submit", "--kind", "k", "--region", "r", "--declared", "-1s"}, ExitRejected, "submit: declared is -1s; allowed: a duration above 0"},
		"no payload":        {[]string{"submit", "--kind", "k", "--region", "r", "--payload", "none"}, ExitFailed, "submit: open none: no such file or directory"},
		"no job":            {[]string{"cancel"}, ExitFailed, "cancel: one job id is needed"},
		"output":            {[]string{"status", "--output", "xml"}, ExitFailed, `output is "xml"; allowed: table, json`},
		"address":           {[]string{"status", "--address", "entry-1:8080"}, ExitFailed, `address is "entry-1:8080"; allowed: a URL with http or https and a host, such as http://127.0.0.1:8080`},
		"from":              {[]string{"timeline", "--from", "yesterday"}, ExitFailed, `timeline: from is "yesterday"; allowed: a time such as 2026-03-01T02:10:00Z, or a duration before now such as 15m`},
		"limit":             {[]string{"timeline", "--limit", "0"}, ExitFailed, "timeline: limit is 0; allowed: 1 to 10000"},
		"no such log":       {[]string{"explain", "none.log"}, ExitFailed, "explain: none.log: open none.log: no such file or directory"},
		"page of no job":    {[]string{"explain", "--html", "x.html", file}, ExitFailed, "explain: --html needs --job"},
		"no line":           {[]string{"explain", "--job", "00000000000000ff", file}, ExitRejected, `explain: no line about job "00000000000000ff" among 0 lines`},
		"no entry":          {[]string{"cancel", "j1"}, ExitFailed, "cancel: not sent, nothing ran: entry http://127.0.0.1:1: Delete"},
		"no entry for jobs": {[]string{"submit", "--kind", "k", "--region", "r"}, ExitFailed, "submit: not sent, nothing ran"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := execute(t, tt.arguments...)
			assert.Equal(t, r.code, tt.code, r.note)
			assert.Assert(t, strings.Contains(r.note, tt.want), r.note)
		})
	}
}
