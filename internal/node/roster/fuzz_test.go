package roster

import (
	"log/slog"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// FuzzApply guards against a record of another writer on which the roster panics, or after
// which it names an address that cannot be dialled.
func FuzzApply(f *testing.F) {
	for _, address := range []string{"10.0.0.1:7000", "", "10.0.0.1:99999", ":1", "[::1]:7000", "\xff:1", strings.Repeat("a", 5000) + ":1"} {
		value, err := proto.Marshal(&inner.EntryRow{Name: "entry-1", Zone: "z", Address: strings.ToValidUTF8(address, "?")})
		if err != nil {
			f.Fatal(err)
		}
		f.Add("entry-1", value)
		f.Add("\xff", value)
	}
	for _, value := range []string{"", "\xff\xff", "{}", strings.Repeat("\x0a\x7f", 4000), "\x12\xff\xff\xff\xff\x07x"} {
		f.Add("entry-1", []byte(value))
	}
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		r := New(Config{Self: "self", Log: slog.New(slog.DiscardHandler)})
		r.Apply([]chestnutpond.KeyedRecord{{Key: key, Value: value, Offset: 1}})
		for _, address := range r.PeerAddresses("z", "r") {
			if !chestnutpond.ValidAddress(address) {
				t.Fatalf("address %q", address)
			}
		}
	})
}
