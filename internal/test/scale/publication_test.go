package scale

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/conf/svcdoc"
	"github.com/chestnutpond/chestnutpond/internal/core/admit"
	"github.com/chestnutpond/chestnutpond/internal/core/ledger"
	"github.com/chestnutpond/chestnutpond/internal/core/place"
	"github.com/chestnutpond/chestnutpond/internal/plat/logsvc"
)

// BenchmarkPublication measures what an entry does with one publication.
func BenchmarkPublication(b *testing.B) {
	for _, accounts := range []int{4, 510} {
		text := document(accounts, 0)
		doc, err := svcdoc.Parse("f", text)
		assert.NilError(b, err)
		by := ledger.Origin{Process: "entry-1", Incarnation: 1}
		data, err := ledger.Encode(by, ledger.Publish{ID: "p", Service: doc.Service, Document: text})
		assert.NilError(b, err)
		answer, err := json.Marshal(map[string]any{"first": 0, "next": 1, "records": []any{map[string]any{"offset": 0, "data": data}}})
		assert.NilError(b, err)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(answer) }))
		defer server.Close()
		log := logsvc.New(logsvc.Config{Address: server.URL, Stream: "s"})
		queue := admit.New(admit.Config{})
		core := place.New(place.Config{Region: "pampa"})
		for i := range dayWorkers / 4 {
			core.PutWorker(0, place.Worker{Name: fmt.Sprint("w", i), Zone: "z", Rack: fmt.Sprint("r", i/3), Accelerators: 1})
		}
		parts := map[string]func(i int){
			"read the log":  func(int) { _, err = log.Read(b.Context(), 0, 1, time.Second) },
			"decode":        func(int) { _, _, err = ledger.Decode(chestnutpond.Record{Data: data}) },
			"parse":         func(int) { _, err = svcdoc.Parse("f", text) },
			"set queue":     func(int) { queue.SetDocument(doc) },
			"set placement": func(i int) { core.SetDocument(time.Duration(i), doc); core.Decide(time.Duration(i)) },
		}
		for name, part := range parts {
			b.Run(fmt.Sprintf("accounts=%d/%s", accounts, name), func(b *testing.B) {
				each(b, part)
				assert.NilError(b, err)
			})
		}
	}
}
