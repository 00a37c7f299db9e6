package svcdoc

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

// documentWithAccounts returns a document with the given number of accounts.
func documentWithAccounts(accounts int) []byte {
	var b bytes.Buffer
	b.WriteString("schema: 1\nservice: scale\naccounts:\n")
	for i := range accounts {
		fmt.Fprintf(&b, "  - name: team-%d\n    token_sha256: %064x\n    weight: %d\n    queue_limit: 200\n    job_limit: 10000\n", i, i, 1+i%8)
		b.WriteString("    guarantees:\n      - {region: pampa, count: 1, accelerators: 1, adjacency: worker}\n")
	}
	b.WriteString("kinds:\n  - {name: match, work: request, class: urgent, idempotent: true, timeout: 5s, max_body: 65536}\n" +
		"  - {name: soon, work: job, class: urgent, checkpoint: 5s, max_attempts: 3, max_runtime: 1h}\n")
	return b.Bytes()
}

// BenchmarkPublication alternates between two versions that differ in one account.
func BenchmarkPublication(b *testing.B) {
	for _, accounts := range []int{4, 510} {
		text := documentWithAccounts(accounts)
		versions := [][]byte{text, bytes.Replace(text, []byte("weight: 2"), []byte("weight: 9"), 1)}
		for name, parse := range map[string]func(string, []byte) (chestnutpond.Document, error){"whole": Parse, "reader": new(Reader).Parse} {
			b.Run(fmt.Sprintf("accounts=%d/%s", accounts, name), func(b *testing.B) {
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					_, err := parse("f", versions[i%2])
					assert.NilError(b, err)
				}
			})
		}
	}
}
