package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// BenchmarkOfferNext measures one Offer, Next and Done on a queue of 2,000
// requests from eight callers of each account.
func BenchmarkOfferNext(b *testing.B) {
	for _, accounts := range []int{4, 510} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			q := New(Config{})
			doc := chestnutpond.Document{Kinds: []chestnutpond.Kind{{Name: "x"}, {Name: "y"}, {Name: "z"}}}
			for i := range accounts {
				doc.Accounts = append(doc.Accounts, chestnutpond.Account{Name: fmt.Sprint(i), Weight: 1 + i%7, QueueLimit: 2000})
			}
			q.SetDocument(doc)
			items := make([]Item, 4096)
			for i := range items {
				items[i] = Item{
					ID: fmt.Sprint(i), Account: fmt.Sprint(i % accounts), Caller: fmt.Sprint(i / accounts % 8),
					Kind: doc.Kinds[i%3].Name, Class: testClasses[i%3], Deadline: 1 << 60,
				}
			}
			for i := range 2000 {
				q.Offer(0, items[i])
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now := time.Duration(i) * time.Millisecond
				q.Offer(now, items[(2000+i)%len(items)])
				if it, ok := q.Next(now, anyKind); ok {
					q.Done(now, it.ID, 500*time.Millisecond)
				}
			}
		})
	}
}
