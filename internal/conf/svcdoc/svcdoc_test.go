package svcdoc

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

const (
	digest1 = "1111111111111111111111111111111111111111111111111111111111111111"
	digest2 = "22e2222222222222222222222222222222222222222222222222222222222222"
)

// valid is a document with one account and two kinds; tests replace parts of it.
const valid = `schema: 1
service: cotizador
accounts:
  - name: ventas
    token_sha256: ` + digest1 + `
    weight: 4
    queue_limit: 100
    job_limit: 500
    guarantees:
      - {region: pampa, count: 2, accelerators: 8, adjacency: rack}
kinds:
  - {name: price_list, work: request, class: urgent, idempotent: true, timeout: 4s, max_body: 1024}
  - {name: forecast, work: job, class: bulk, checkpoint: 20s, max_attempts: 2, max_runtime: 36h}
`

func TestParse(t *testing.T) {
	got, err := Parse("doc.yaml", []byte(valid))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, chestnutpond.Document{
		Service: "cotizador",
		Accounts: []chestnutpond.Account{{
			Name: "ventas", TokenSHA256: digest1, Weight: 4, QueueLimit: 100, JobLimit: 500,
			Guarantees: []chestnutpond.Guarantee{{
				Region: "pampa", Count: 2,
				Shape: chestnutpond.Shape{Accelerators: 8, Adjacency: chestnutpond.AdjacencyRack},
			}},
		}},
		Kinds: []chestnutpond.Kind{
			{
				Name: "price_list", Work: chestnutpond.WorkRequest, Class: chestnutpond.ClassUrgent,
				Idempotent: true, Timeout: 4 * time.Second, MaxBody: 1024,
			},
			{
				Name: "forecast", Work: chestnutpond.WorkJob, Class: chestnutpond.ClassBulk, MaxBody: DefaultMaxBody,
				Checkpoint: 20 * time.Second, MaxAttempts: 2, MaxRuntime: 36 * time.Hour,
			},
		},
	})
}

func TestDefaults(t *testing.T) {
	got, err := Parse("doc.yaml", []byte("schema: 1\nservice: s\naccounts:\n  - {name: a, token_sha256: "+digest2+", guarantees: [{region: r, accelerators: 1}]}\n"+
		"kinds:\n  - {name: q, work: request, class: standard}\n  - {name: j, work: job, class: bulk}\n"))
	assert.NilError(t, err)
	a := got.Accounts[0]
	assert.DeepEqual(t, []int{a.Weight, a.QueueLimit, a.JobLimit}, []int{DefaultWeight, DefaultQueueLimit, DefaultJobLimit})
	assert.DeepEqual(t, a.Guarantees[0], chestnutpond.Guarantee{
		Region: "r", Count: 1, Shape: chestnutpond.Shape{Accelerators: 1, Adjacency: chestnutpond.AdjacencyWorker},
	})
	assert.Equal(t, got.Kinds[0].Timeout, DefaultTimeout)
	assert.Equal(t, got.Kinds[0].Idempotent, false)
	assert.Equal(t, got.Kinds[1].Checkpoint, DefaultCheckpoint)
	assert.Equal(t, got.Kinds[1].MaxAttempts, DefaultMaxAttempts)
	assert.Equal(t, got.Kinds[1].MaxRuntime, DefaultMaxRuntime)
}

// Guards against kinds of graphs whose queue terms do not reach the planner.
func TestGraphKinds(t *testing.T) {
	got, err := Parse("doc.yaml", []byte("schema: 1\nservice: s\naccounts:\n  - {name: a, token_sha256: "+digest2+", graph_accelerators: 16}\n"+
		"kinds:\n  - {name: q, work: graph, class: urgent, max_attempts: 4, stretch_percent: 150, target_latency: 400ms}\n"+
		"  - {name: r, work: graph, class: bulk}\n"))
	assert.NilError(t, err)
	assert.Equal(t, got.Accounts[0].Accelerators, int64(16))
	assert.DeepEqual(t, got.Pools, []chestnutpond.Pool{{Name: "s", RejectsOverload: true}})
	assert.DeepEqual(t, got.Kinds[0].Queue, &chestnutpond.Queue{Terms: chestnutpond.QueuePolicy{
		Name: "q", Service: "s", MaxAttempts: 4, Stretch: 1.5, TargetLatency: 400 * time.Millisecond,
	}})
	assert.DeepEqual(t, got.Kinds[1].Queue, &chestnutpond.Queue{Terms: chestnutpond.QueuePolicy{
		Name: "r", Service: "s", Priority: 2, MaxAttempts: DefaultMaxAttempts,
		Stretch: DefaultStretchPercent / 100, TargetLatency: DefaultTargetLatency,
	}})
}

// Guards against a message that omits the position, the problem or the allowed
// values.
func TestErrors(t *testing.T) {
	const (
		name   = "a name of at most 64 lower-case letters and digits that begins with a letter, its words joined by one - or _"
		digest = "the SHA-256 of the token as 64 lower-case hex digits"
		unit   = " as a number with a unit, such as 500ms, 5s or 24h"
	)
	tests := map[string]struct{ old, replacement, want string }{
		"other schema":           {"schema: 1", "schema: 2", "1:9: schema is 2; allowed: 1"},
		"schema is a text":       {"schema: 1", "schema: one", "1:9: schema is a text; allowed: an integer, -9223372036854775808 to 9223372036854775807"},
		"no schema":              {"schema: 1\n", "", "1:1: schema is missing; allowed: -9223372036854775808 to 9223372036854775807"},
		"service name":           {"cotizador", "Cotizador", `2:10: service is "Cotizador"; allowed: ` + name},
		"long name":              {"cotizador", strings.Repeat("c", 65), `2:10: service is "` + strings.Repeat("c", 40) + `…"; allowed: ` + name},
		"empty name":             {"service: cotizador", "service:", "2:1: service is empty; allowed: " + name},
		"unknown key":            {"service:", "servce: x\nservice:", `2:1: unknown key "servce"; allowed: schema, service, accounts, kinds`},
		"unknown key inside":     {"weight: 4", "wieght: 4", `6:5: unknown key "accounts[0].wieght"; allowed: name, token_sha256, weight, queue_limit, job_limit, guarantees, graph_accelerators`},
		"duplicate key":          {"weight: 4", "name: x", `6:5: mapping key "name" already defined at [4:5]; allowed: plain YAML with distinct keys`},
		"no name":                {"name: ventas\n    ", "", "4:5: accounts[0].name is missing; allowed: " + name},
		"digest is a token":      {digest1, "ferraro-example-token", "5:19: accounts[0].token_sha256 has the wrong form; allowed: " + digest},
		"weight zero":            {"weight: 4", "weight: 0", "6:13: accounts[0].weight is 0; allowed: 1 to 100"},
		"weight 101":             {"weight: 4", "weight: 101", "6:13: accounts[0].weight is 101; allowed: 1 to 100"},
		"weight in hex":          {"weight: 4", "weight: 0x4", "6:13: accounts[0].weight is 0x4; allowed: 1 to 100"},
		"weight is a text":       {"weight: 4", "weight: four", "6:13: accounts[0].weight is a text; allowed: an integer, 1 to 100"},
		"queue limit":            {"queue_limit: 100", "queue_limit: -1", "7:18: accounts[0].queue_limit is -1; allowed: 1 to 10000"},
		"job limit":              {"job_limit: 500", "job_limit: 10001", "8:16: accounts[0].job_limit is 10001; allowed: 1 to 10000"},
		"count zero":             {"count: 2", "count: 0", "10:32: accounts[0].guarantees[0].count is 0; allowed: 1 to 1024"},
		"shape of zero":          {"accelerators: 8", "accelerators: 0", "10:49: accounts[0].guarantees[0].accelerators is 0; allowed: 1 to 1024"},
		"no shape":               {"accelerators: 8, ", "", "10:9: accounts[0].guarantees[0].accelerators is missing; allowed: 1 to 1024"},
		"adjacency":              {"adjacency: rack", "adjacency: row", `10:63: accounts[0].guarantees[0].adjacency is "row"; allowed: worker, rack, zone`},
		"repeated guarantee":     {"rack}\n", "rack}\n      - {region: pampa, accelerators: 8, adjacency: rack}\n", "11:18: accounts[0].guarantees[1].region repeats the guarantee of 8 in one rack in pampa; allowed: a greater count in one guarantee"},
		"guarantee is a text":    {"- {region: pampa, count: 2, accelerators: 8, adjacency: rack}", "- pampa", "10:9: accounts[0].guarantees[0] is a text; allowed: a mapping"},
		"accounts is a mapping":  {"accounts:\n  - name", "accounts:\n    name", "4:5: accounts is a mapping; allowed: a list of 1 to 1024 mappings"},
		"work":                   {"work: request", "work: task", `12:30: kinds[0].work is "task"; allowed: request, job, graph`},
		"class":                  {"class: urgent", "class: high", `12:46: kinds[0].class is "high"; allowed: urgent, standard, bulk`},
		"idempotent":             {"idempotent: true", "idempotent: yes", "12:66: kinds[0].idempotent is a text; allowed: true, false"},
		"timeout too long":       {"timeout: 4s", "timeout: 26s", "12:81: kinds[0].timeout is 26s; allowed: 1ms to 25s" + unit},
		"timeout too short":      {"timeout: 4s", "timeout: 1us", "12:81: kinds[0].timeout is 1µs; allowed: 1ms to 25s" + unit},
		"timeout without a unit": {"timeout: 4s", "timeout: 4", `12:81: kinds[0].timeout is "4", which is not a duration; allowed: 1ms to 25s` + unit},
		"timeout is a list":      {"timeout: 4s", "timeout: [4s]", "12:81: kinds[0].timeout is a list; allowed: 1ms to 25s" + unit},
		"max_body":               {"max_body: 1024", "max_body: 1048577", "12:95: kinds[0].max_body is 1048577; allowed: 1 to 1048576"},
		"checkpoint":             {"checkpoint: 20s", "checkpoint: 11m", "13:58: kinds[1].checkpoint is 11m; allowed: 0s to 10m" + unit},
		"max_attempts":           {"max_attempts: 2", "max_attempts: 0", "13:77: kinds[1].max_attempts is 0; allowed: 1 to 10"},
		"max_runtime":            {"max_runtime: 36h", "max_runtime: 721h", "13:93: kinds[1].max_runtime is 721h; allowed: 1s to 720h" + unit},
		"job key in a request":   {"timeout: 4s", "checkpoint: 4s", `12:72: unknown key "kinds[0].checkpoint"; allowed: name, work, class, max_body, idempotent, timeout`},
		"request key in a job":   {"checkpoint: 20s", "timeout: 20s", `13:46: unknown key "kinds[1].timeout"; allowed: name, work, class, max_body, checkpoint, max_attempts, max_runtime`},
		"same kind twice":        {"name: forecast", "name: price_list", "13:12: kinds[1].name is used twice; allowed: distinct values"},
		"stretch":                {"work: job, class: bulk, checkpoint: 20s, max_attempts: 2, max_runtime: 36h", "work: graph, class: bulk, stretch_percent: 99", "13:65: kinds[1].stretch_percent is 99; allowed: 100 to 10000"},
		"request key in a graph": {"work: job, class: bulk, checkpoint: 20s, max_attempts: 2, max_runtime: 36h", "work: graph, class: bulk, timeout: 4s", `13:48: unknown key "kinds[1].timeout"; allowed: name, work, class, max_body, max_attempts, stretch_percent, target_latency`},
		"alias":                  {"weight: 4", "weight: *w", `6:13: "*" is an anchor, alias, tag, directive, merge key or explicit key; allowed: mappings, lists, texts, numbers and booleans`},
		"second document":        {"kinds:", "---\nkinds:", "12:1: the file has a second YAML document; allowed: one document"},
		"syntax":                 {"adjacency: rack}", "adjacency: rack", "11:1: ',' or '}' must be specified; allowed: plain YAML with distinct keys"},
		"nested":                 {"adjacency: rack", "adjacency: " + strings.Repeat("[", 20), "10:74: mappings and lists are nested too deeply; allowed: at most 16 levels"},
		"not UTF-8":              {"ventas", "v\xffntas", "4:12: the text is not UTF-8; allowed: UTF-8"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(valid, tt.old, tt.replacement, 1)
			assert.Assert(t, text != valid)
			_, err := Parse("doc.yaml", []byte(text))
			assert.Error(t, err, "doc.yaml:"+tt.want)
		})
	}
}

func TestWholeFileErrors(t *testing.T) {
	second := "  - {name: ventas, token_sha256: " + digest1 + "}\nkinds:"
	tests := map[string]struct{ text, want string }{
		"empty":          {"", "f:1:1: the file is empty; allowed: a mapping"},
		"comment only":   {"# nothing\n", "f:1:1: the file is empty; allowed: a mapping"},
		"list":           {"- a\n", "f:1:1: the file is a list; allowed: a mapping"},
		"too large":      {strings.Repeat("#", MaxBytes+1), "f:1:1: the file has 1048577 bytes; allowed: at most 1048576 bytes"},
		"no accounts":    {"schema: 1\nservice: s\naccounts: []\nkinds: [{name: k, work: job, class: bulk}]\n", "f:3:11: accounts has 0 entries; allowed: a list of 1 to 1024 mappings"},
		"missing kinds":  {valid[:strings.Index(valid, "kinds:")], "f:1:1: kinds is missing; allowed: a list of 1 to 64 mappings"},
		"same account":   {strings.Replace(valid, "kinds:", second, 1), "f:11:12: accounts[1].name is used twice; allowed: distinct values\nf:11:34: accounts[1].token_sha256 is used twice; allowed: distinct values"},
		"several faults": {strings.NewReplacer("weight: 4", "weight: 0", "class: bulk", "class: low").Replace(valid), "f:6:13: accounts[0].weight is 0; allowed: 1 to 100\nf:13:40: kinds[1].class is \"low\"; allowed: urgent, standard, bulk"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("f", []byte(tt.text))
			assert.Error(t, err, tt.want)
		})
	}
}

// Guards against a document of allowed size that keeps an entry busy for seconds,
// because the parsing time is quadratic in the depth and the number of keys.
func TestLargeInputIsRejectedQuickly(t *testing.T) {
	const large = MaxBytes / 4
	tests := map[string]string{
		"nested lists":    strings.Repeat("[", large),
		"nested mappings": strings.Repeat("{a: ", large/4),
		"nested blocks":   strings.Repeat("- ", large/2),
		"many keys":       strings.Repeat("a: b\n", large/5),
		"explicit keys":   strings.Repeat("? ", large/2),
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			_, err := Parse("f", []byte(text))
			assert.Assert(t, err != nil)
			assert.Assert(t, time.Since(start) < 10*time.Second, "took %s", time.Since(start))
		})
	}
}

// Guards against limits on keys and nesting that reject a document of the maximum
// size.
func TestLargestDocument(t *testing.T) {
	var b strings.Builder
	b.WriteString("schema: 1\nservice: s\naccounts:\n")
	for i := range MaxAccounts {
		fmt.Fprintf(&b, "  - name: a%d\n    token_sha256: %064x\n    guarantees:\n", i, i)
		for g := 1; g <= 8; g++ {
			fmt.Fprintf(&b, "      - {region: r, accelerators: %d}\n", g)
		}
	}
	b.WriteString("kinds:\n")
	for i := range MaxKinds {
		fmt.Fprintf(&b, "  - name: k%d\n    work: job\n    class: bulk\n", i)
	}
	d, err := Parse("f", []byte(b.String()))
	assert.NilError(t, err)
	assert.Equal(t, len(d.Accounts), MaxAccounts)
	assert.Equal(t, len(d.Accounts[MaxAccounts-1].Guarantees), 8)
	assert.Equal(t, len(d.Kinds), MaxKinds)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := Parse("f", data)
		if err != nil {
			assert.Assert(t, strings.HasPrefix(err.Error(), "f:"), err)
			assert.Assert(t, strings.Contains(err.Error(), "; allowed: "), err)
			return
		}
		for _, a := range d.Accounts {
			assert.Assert(t, a.Weight >= 1 && a.Weight <= MaxWeight && a.Name != "" && len(a.TokenSHA256) == 64)
		}
		for _, k := range d.Kinds {
			switch k.Work {
			case chestnutpond.WorkGraph:
				assert.Assert(t, k.Queue.Terms.Stretch >= 1 && k.Queue.Terms.Name == k.Name && k.MaxAttempts >= 1)
			case chestnutpond.WorkJob:
				assert.Assert(t, k.MaxRuntime > 0)
			default:
				assert.Assert(t, k.Timeout >= MinTimeout && k.Timeout <= MaxTimeout)
			}
		}
	})
}

// Guards against a seed corpus that is ignored because its directory is misnamed.
func TestCorpusIsCommitted(t *testing.T) {
	files, err := filepath.Glob("testdata/fuzz/FuzzParse/*")
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= 4)
	for _, name := range files {
		data, err := os.ReadFile(name)
		assert.NilError(t, err)
		assert.Assert(t, strings.HasPrefix(string(data), "go test fuzz v1\n"), name)
	}
}
