package svcdoc

import (
	"fmt"
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

// edit changes one line: it is removed, doubled, moved or gets a piece.
func edit(t *rapid.T, text string) string {
	lines := strings.SplitAfter(text, "\n")
	i, j := rapid.IntRange(0, len(lines)-1).Draw(t, "line"), rapid.IntRange(0, len(lines)-1).Draw(t, "other")
	switch rapid.IntRange(0, 5).Draw(t, "edit") {
	case 0:
		lines[i] = ""
	case 1:
		lines[i] += lines[j]
	case 2:
		lines[i], lines[j] = lines[j], lines[i]
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
