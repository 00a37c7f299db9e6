package entry

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/node/reply"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
)

// badInput is an invalid call and the expected error response.
type badInput struct {
	call    call
	status  int
	outcome chestnutpond.Outcome
	reason  chestnutpond.Reason
	// detail is the expected part of the detail, which names what to change.
	detail string
}

func badDocument(from, to, detail string) badInput {
	return badInput{
		call{method: "PUT", path: "/v1/document?base=1", token: operatorToken, body: strings.Replace(testDocument, from, to, 1)},
		422, "rejected", "bad_document", detail,
	}
}

func badJobBody(status int, reason chestnutpond.Reason, body, detail string) badInput {
	return badInput{jobCall(salesToken, "", body), status, "rejected", reason, detail}
}

func jobBody(changes string) string { return `{"kind":"forecast",` + changes + `}` }

func requestCall(kind, token, body string, header map[string]string) call {
	return call{method: "POST", path: "/v1/requests/" + kind, token: token, body: body, header: header}
}

var badInputs = map[string]badInput{
	"no token":              {requestCall("price_list", "", "", nil), 401, "rejected", "unauthorized", "missing or unknown"},
	"unknown token":         {requestCall("price_list", "other", "", nil), 401, "rejected", "unauthorized", "missing or unknown"},
	"token of no scheme":    {call{method: "GET", path: "/v1/jobs", header: map[string]string{"Authorization": salesToken}}, 401, "rejected", "unauthorized", "bearer"},
	"operator requests":     {requestCall("price_list", operatorToken, "", nil), 403, "rejected", "unauthorized", "no client account"},
	"operator submits":      {jobCall(operatorToken, "", fullWorkerJob), 403, "rejected", "unauthorized", "no client account"},
	"account publishes":     {call{method: "PUT", path: "/v1/document?base=1", token: salesToken, body: testDocument}, 403, "rejected", "unauthorized", "only operators"},
	"account reads doc":     {call{method: "GET", path: "/v1/document", token: salesToken}, 403, "rejected", "unauthorized", "only operators"},
	"account reads events":  {call{method: "GET", path: "/v1/events", token: salesToken}, 403, "rejected", "unauthorized", "only operators"},
	"account asks for pub":  {call{method: "GET", path: "/v1/publications/x", token: salesToken}, 403, "rejected", "unauthorized", "only operators"},
	"account evacuates":     {call{method: "PUT", path: "/v1/evacuations?zone=pampa-a", token: salesToken}, 403, "rejected", "unauthorized", "only operators"},
	"evacuates, no token":   {call{method: "PUT", path: "/v1/evacuations?zone=pampa-a"}, 401, "rejected", "unauthorized", "missing or unknown"},
	"unknown zone":          {call{method: "PUT", path: "/v1/evacuations?zone=cuyo-a", token: operatorToken}, 422, "rejected", "unknown_zone", "no zone cuyo-a; known zones: pampa-a"},
	"undo, unknown zone":    {call{method: "DELETE", path: "/v1/evacuations", token: operatorToken}, 422, "rejected", "unknown_zone", "known zones: pampa-a"},
	"unknown path":          {call{method: "GET", path: "/v1/nothing", token: salesToken}, 404, "rejected", "no_route", "GET /v1/nothing"},
	"unknown method":        {call{method: "PATCH", path: "/v1/jobs", token: salesToken}, 405, "rejected", "no_route", "PATCH /v1/jobs"},
	"unknown kind":          {requestCall("none", salesToken, "", nil), 404, "rejected", "unknown_kind", "kind none"},
	"job kind as request":   {requestCall("forecast", salesToken, "", nil), 404, "rejected", "unknown_kind", "kind forecast is not a request kind"},
	"request over the size": {requestCall("price_list", salesToken, strings.Repeat("x", 65), nil), 413, "rejected", "body_too_large", "at most 64 bytes"},
	"timeout of no form":    {requestCall("price_list", salesToken, "", map[string]string{headerCallTimeout: "soon"}), 400, "rejected", "bad_body", headerCallTimeout},
	"timeout of zero":       {requestCall("price_list", salesToken, "", map[string]string{headerCallTimeout: "0s"}), 400, "rejected", "bad_body", "above zero"},
	"long key":              {requestCall("order", salesToken, "", map[string]string{reply.HeaderKey: strings.Repeat("k", 257)}), 400, "rejected", "bad_body", "256 bytes"},
	"long caller":           {requestCall("order", salesToken, "", map[string]string{headerCaller: strings.Repeat("k", 129)}), 400, "rejected", "bad_body", "128 bytes"},
	"long key of a job":     {jobCall(salesToken, strings.Repeat("k", 257), fullWorkerJob), 400, "rejected", "bad_body", "256 bytes"},

	"request kind as job": badJobBody(404, "unknown_kind", `{"kind":"price_list"}`, "kind price_list is not a job kind"),
	"unknown region":      badJobBody(422, "bad_shape", jobBody(`"region":"cuyo","accelerators":1,"adjacency":"worker"`), "region cuyo has no workers"),
	"shape over a worker": badJobBody(422, "bad_shape", jobBody(`"accelerators":9,"adjacency":"worker"`), "no worker of region pampa has more than 8"),
	"shape over a rack":   badJobBody(422, "bad_shape", jobBody(`"accelerators":9,"adjacency":"rack"`), "no rack of region pampa has more than 8"),
	"shape over a zone":   badJobBody(422, "bad_shape", jobBody(`"accelerators":17,"adjacency":"zone"`), "no zone of region pampa has more than 16"),
	"zero accelerators":   badJobBody(422, "bad_shape", jobBody(`"adjacency":"worker"`), "above zero"),
	"below zero":          badJobBody(422, "bad_shape", jobBody(`"accelerators":-8,"adjacency":"worker"`), "above zero"),
	"wrong adjacency":     badJobBody(422, "bad_shape", jobBody(`"accelerators":8,"adjacency":"row"`), "worker, rack or zone"),
	"no adjacency":        badJobBody(422, "bad_shape", jobBody(`"accelerators":8`), "worker, rack or zone"),
	"payload over size":   badJobBody(413, "body_too_large", jobBody(`"accelerators":8,"adjacency":"worker","payload":"`+strings.Repeat("AAAA", 22)+`"`), "at most 64 bytes"),
	"body over size":      badJobBody(413, "body_too_large", strings.Repeat(" ", maxJSON+200), "at most"),
	"malformed JSON":      badJobBody(400, "bad_body", `{"kind":!}`, "near byte 8"),
	"JSON that ends":      badJobBody(400, "bad_body", `{"kind":"forecast"`, "near byte 18"),
	"empty body":          badJobBody(400, "bad_body", "", "near byte 0"),
	"text after the JSON": badJobBody(400, "bad_body", fullWorkerJob+fullWorkerJob, "want one object"),
	"wrong JSON type":     badJobBody(400, "bad_body", `{"accelerators":"8"}`, "near byte 19"),
	"unknown JSON field":  badJobBody(400, "bad_body", jobBody(`"adjacent":"rack"`), `unknown field "adjacent"`),
	"bad duration":        badJobBody(400, "bad_body", jobBody(`"accelerators":8,"adjacency":"worker","declared":"2 hours"`), "declared: want a duration"),
	"negative duration":   badJobBody(400, "bad_body", jobBody(`"accelerators":8,"adjacency":"worker","declared":"-1s"`), "declared: want a duration"),
	"unknown job":         {call{method: "GET", path: "/v1/jobs/none", token: salesToken}, 404, "rejected", "unknown_job", "no job none"},
	"cancel unknown job":  {call{method: "DELETE", path: "/v1/jobs/none", token: salesToken}, 404, "rejected", "unknown_job", "no job none"},

	"wrong schema":         badDocument("schema: 1", "schema: 2", "document:1:9"),
	"another service":      badDocument("service: desk", "service: shop", "runs service desk"),
	"over-committed":       badDocument("count: 1", "count: 3", "has 16 accelerators"),
	"unknown document key": badDocument("job_limit", "job_limits", "document:6"),
	"token as it is":       badDocument(tokenDigest(salesToken), salesToken, "document:5"),
	"empty document":       {call{method: "PUT", path: "/v1/document?base=1", token: operatorToken}, 422, "rejected", "bad_document", "document"},
	"document over size":   {call{method: "PUT", path: "/v1/document?base=1", token: operatorToken, body: strings.Repeat("#", maxDocument+1)}, 413, "rejected", "body_too_large", "1048576"},
	"base of no form":      {call{method: "PUT", path: "/v1/document?base=x", token: operatorToken, body: testDocument}, 400, "rejected", "base_version", "base must be"},
	"base below zero":      {call{method: "PUT", path: "/v1/document?base=-1", token: operatorToken, body: testDocument}, 400, "rejected", "base_version", "base must be"},
	"no base":              {call{method: "PUT", path: "/v1/document", token: operatorToken, body: testDocument}, 400, "rejected", "base_version", "base must be"},
	"long publication id":  {call{method: "PUT", path: "/v1/document?base=1&id=" + strings.Repeat("i", 257), token: operatorToken, body: testDocument}, 400, "rejected", "base_version", "256 bytes"},
	"old base":             {call{method: "PUT", path: "/v1/document?base=0", token: operatorToken, body: testDocument}, 409, "lost", "", ""},
	"base of the future":   {call{method: "PUT", path: "/v1/document?base=9", token: operatorToken, body: testDocument}, 409, "lost", "", ""},
	"events from no time":  {call{method: "GET", path: "/v1/events?from=now", token: operatorToken}, 400, "rejected", "bad_body", "from"},
	"events limit":         {call{method: "GET", path: "/v1/events?limit=0", token: operatorToken}, 400, "rejected", "bad_body", "limit"},
}

// Guards against invalid input that is accepted, has the wrong outcome, or whose
// error does not name what to change, and against invalid input that changes the
// log.
func TestBadInput(t *testing.T) {
	w := newTestEnv(t)
	w.publishFirstDocument()
	w.addAgent("worker-1", "rack-1")
	w.addAgent("worker-2", "rack-2")
	for name, tt := range badInputs {
		t.Run(name, func(t *testing.T) {
			got := w.send(tt.call)
			assert.Equal(t, got.status, tt.status, got.text)
			assert.Equal(t, got.Outcome, tt.outcome, got.text)
			assert.Equal(t, got.header.Get(reply.HeaderOutcome), string(tt.outcome))
			assert.Equal(t, got.Reason, tt.reason)
			assert.Assert(t, strings.Contains(got.Detail, tt.detail), got.text)
			if tt.outcome == chestnutpond.OutcomeLost {
				assert.Equal(t, got.Version, int64(1))
			}
		})
	}
	w.checkSecrets()
	assert.Equal(t, w.entry.ConfigVersion(), int64(1))
	assert.Equal(t, len(w.entry.visibleJobs(principal{operator: "op"})), 0)
}

// Guards against the outcome "unknown" where the record cannot have reached the
// log, and against "not_run" where it may have.
func TestOutage(t *testing.T) {
	tests := map[string]struct {
		faults  stand.LogFaults
		call    call
		status  int
		outcome chestnutpond.Outcome
	}{
		"publication refused": {
			stand.LogFaults{Outage: true},
			call{method: "PUT", path: "/v1/document?base=1", token: operatorToken, body: testDocument},
			http.StatusServiceUnavailable, chestnutpond.OutcomeNotRun,
		},
		"publication without answer": {
			stand.LogFaults{Delay: stand.Duration(time.Hour)},
			call{method: "PUT", path: "/v1/document?base=1&id=p", token: operatorToken, body: testDocument},
			http.StatusGatewayTimeout, chestnutpond.OutcomeUnknown,
		},
		"evacuation refused": {
			stand.LogFaults{Outage: true},
			call{method: "PUT", path: "/v1/evacuations?zone=pampa-a", token: operatorToken},
			http.StatusServiceUnavailable, chestnutpond.OutcomeNotRun,
		},
		"evacuation without answer": {
			stand.LogFaults{Delay: stand.Duration(time.Hour)},
			call{method: "DELETE", path: "/v1/evacuations?zone=pampa-a", token: operatorToken},
			http.StatusGatewayTimeout, chestnutpond.OutcomeUnknown,
		},
		"job refused": {
			stand.LogFaults{Outage: true},
			jobCall(salesToken, "k", fullWorkerJob),
			http.StatusServiceUnavailable, chestnutpond.OutcomeNotRun,
		},
		"job without answer": {
			stand.LogFaults{Delay: stand.Duration(time.Hour)},
			jobCall(salesToken, "k", fullWorkerJob),
			http.StatusGatewayTimeout, chestnutpond.OutcomeUnknown,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestEnv(t)
			w.publishFirstDocument()
			w.addAgent("worker-1", "rack-1")
			w.log.SetFaults(tt.faults)
			got := w.send(tt.call)
			w.log.SetFaults(stand.LogFaults{})
			assert.Equal(t, got.status, tt.status, got.text)
			assert.Equal(t, got.Outcome, tt.outcome)
			assert.Equal(t, got.Reason, chestnutpond.ReasonLogUnavailable)
			assert.Equal(t, got.header.Get("Retry-After") != "", tt.outcome == chestnutpond.OutcomeNotRun)
			assert.Equal(t, got.ID != "", tt.outcome == chestnutpond.OutcomeUnknown)
		})
	}
}
