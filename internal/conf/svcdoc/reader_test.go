package svcdoc

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// texts are documents that edits begin from.
var texts = []string{
	valid, string(sized(4)), "# serial 1\n---\n" + strings.ReplaceAll(string(sized(3)), "  - name", "  # Mercería\n  - name"),
	"schema: 1\nkinds:\n- {name: j, work: job, class: bulk}\nservice: s\naccounts: # all\n\n- {name: a, token_sha256: " + digest1 +
		", guarantees: [{region: r, accelerators: 1}]} # first\n-   name: b\n    token_sha256: " + digest2,
}

// pieces are what an edit puts into a line; most of them change its form.
var pieces = []string{
	"", " ", "  ", "- ", "#", " # x", "\n", "\"", "'", "|", ">", "{", "}", "[", "]", ",", ":", ": ", "?", "&a", "*a", "---", "...", "\t", "\r", "~",
	"1", "a", "1", "2", "3", "a", "b", "é", "\xff", "accounts:", "kinds:", "\nfoo", "\n  foo", "\n      foo: 1", "weight: 7\n    ", "name: b", digest1, digest2,
}

// values are what an edit gives to a key; most of them end a document's order.
var values = []string{"7", "team-1", "team-2", digest1, "|", ">", "\"7", "'", "{a: 1", "[7", "]", "7 # x", "7\n      7", "\"7\"", "&a 7", ""}

// edit removes a line, copies some lines, gives a line the text of another one
// with the same key, gives a key another value, or puts a piece into a line.
func edit(t *rapid.T, text string) string {
	lines := strings.SplitAfter(text, "\n")
	i, j := rapid.IntRange(0, len(lines)-1).Draw(t, "line"), rapid.IntRange(0, len(lines)-1).Draw(t, "other")
	key, _, isKey := strings.Cut(lines[i], ":")
	switch rapid.IntRange(0, 5).Draw(t, "edit") {
	case 0:
		lines[i] = ""
	case 1:
		lines = slices.Insert(lines, j, slices.Clone(lines[i:min(len(lines), i+rapid.IntRange(1, 7).Draw(t, "count"))])...)
	case 2:
		for ; isKey && j < len(lines); j++ {
			if strings.HasPrefix(lines[j], key+":") {
				lines[i] = lines[j]
			}
		}
	case 3:
		if isKey {
			lines[i] = key + ": " + rapid.SampledFrom(values).Draw(t, "value") + "\n"
		}
	default:
		from := rapid.IntRange(0, len(lines[i])).Draw(t, "from")
		to := rapid.IntRange(from, min(len(lines[i]), from+3)).Draw(t, "to")
		lines[i] = lines[i][:from] + rapid.SampledFrom(pieces).Draw(t, "piece") + lines[i][to:]
	}
	return strings.Join(lines, "")
}

// TestReaderEqualsParse guards against an account that keeps its value although
// the text around it gives it another one, and against an error at another
// place. Each version is an edit of one before, with and without faults.
func TestReaderEqualsParse(t *testing.T) {
	extended := 0
	rapid.Check(t, func(t *rapid.T) {
		var r Reader
		text := rapid.SampledFrom(texts).Draw(t, "text")
		for range 12 {
			last := r.last.Load()
			got, err := r.Parse("f", []byte(text))
			want, wantErr := Parse("f", []byte(text))
			assert.DeepEqual(t, got, want)
			assert.Equal(t, fmt.Sprint(err), fmt.Sprint(wantErr))
			if s, ok := cut(text); last != nil && ok && (&parsed{}).extend(s, last) {
				extended++
			}
			if err != nil {
				text = r.last.Load().text
			}
			text = edit(t, text)
		}
	})
	assert.Assert(t, extended > 10, "parsed in parts only %d times", extended)
}
