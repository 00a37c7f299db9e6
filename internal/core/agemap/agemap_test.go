package agemap

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// A fixed seed makes runs reproducible; -rapid.seed overrides it.
func init() {
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	fmt.Println("rapid seed", flag.Lookup("rapid.seed").Value)
}

// Guards against entries that are dropped below the minimum age, and against more
// entries than the limit.
func TestKeepsYoungEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const age = 10 * time.Second
		m := New[int](Config{Limit: 5, MinAge: age})
		now := time.Unix(0, 0)
		lastPut := map[string]time.Time{}
		for i := range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 4).Draw(t, "s")) * time.Second)
			key := fmt.Sprint(rapid.IntRange(0, 12).Draw(t, "key"))
			if m.Put(key, i, now) {
				lastPut[key] = now
			}
			assert.Assert(t, m.Len() <= 5)
			for k, at := range lastPut {
				if _, ok := m.Get(k); !ok {
					assert.Assert(t, now.Sub(at) >= age)
				}
			}
		}
	})
}
