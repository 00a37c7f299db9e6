package svcdoc

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// seedDocuments are the documents that mutations start from.
var seedDocuments = []string{
	valid, string(documentWithAccounts(4)), "# serial 1\n---\n" + strings.ReplaceAll(string(documentWithAccounts(3)), "  - name", "  # Mercería\n  - name"),
	"schema: 1\nkinds:\n- {name: j, work: job, class: bulk}\nservice: s\naccounts: # all\n\n- {name: a, token_sha256: " + digest1 +
		", guarantees: [{region: r, accelerators: 1}]} # first\n-   name: b\n    token_sha256: " + digest2,
}

// fragments are inserted into lines by mutate; most of them change the structure
// of the line.
var fragments = []string{
	"", " ", "  ", "- ", "#", " # x", "\n", "\"", "'", "|", ">", "{", "}", "[", "]", ",", ":", ": ", "?", "&a", "*a", "---", "...", "\t", "\r", "~",
	"1", "a", "1", "2", "3", "a", "b", "é", "\xff", "accounts:", "kinds:", "\nfoo", "\n  foo", "\n      foo: 1", "weight: 7\n    ", "name: b", digest1, digest2,
}

// replacementValues are assigned to keys by mutate; most of them break the
// structure or a rule of the document.
var replacementValues = []string{"7", "team-1", "team-2", digest1, "|", ">", "\"7", "'", "{a: 1", "[7", "]", "7 # x", "7\n      7", "\"7\"", "&a 7", ""}

// mutate removes a line, copies some lines, replaces a line by another one with
// the same key, assigns another value to a key, or inserts a fragment into a line.
func mutate(t *rapid.T, text string) string {
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
			lines[i] = key + ": " + rapid.SampledFrom(replacementValues).Draw(t, "value") + "\n"
		}
	default:
		from := rapid.IntRange(0, len(lines[i])).Draw(t, "from")
		to := rapid.IntRange(from, min(len(lines[i]), from+3)).Draw(t, "to")
		lines[i] = lines[i][:from] + rapid.SampledFrom(fragments).Draw(t, "piece") + lines[i][to:]
	}
	return strings.Join(lines, "")
}

// TestReaderEqualsParse guards against reusing the value of an account whose
// meaning changed with the text around it, and against errors at positions other
// than those of Parse. Each version is a mutation of an earlier one, valid or not.
func TestReaderEqualsParse(t *testing.T) {
	incremental := 0
	rapid.Check(t, func(t *rapid.T) {
		var r Reader
		text := rapid.SampledFrom(seedDocuments).Draw(t, "text")
		for range 12 {
			last := r.last.Load()
			got, err := r.Parse("f", []byte(text))
			want, wantErr := Parse("f", []byte(text))
			assert.DeepEqual(t, got, want)
			assert.Equal(t, fmt.Sprint(err), fmt.Sprint(wantErr))
			if s, ok := splitAccounts(text); last != nil && ok && (&parsed{}).parseChanged(s, last) {
				incremental++
			}
			if err != nil {
				text = r.last.Load().text
			}
			text = mutate(t, text)
		}
	})
	assert.Assert(t, incremental > 10, "incremental parsing succeeded only %d times, want more than 10", incremental)
}
