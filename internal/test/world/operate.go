package world

import (
	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
)

// documents are kept by version; their records hold only the version.
func (w *World) parse(key string, _ []byte) (chestnutpond.Document, bool, error) {
	return w.cfg.Document, key == "document", nil
}

// Publish puts a document into the store.
func (w *World) Publish(d chestnutpond.Document) {
	w.cfg.Document = d
	way := &stand.StoreCaller{Store: w.Store}
	_, err := way.Append(w.ctx, chestnutpond.TopicDesired, chestnutpond.KeyedAppend{
		Records: []chestnutpond.KeyedRecord{{Key: "document", Value: []byte{byte(d.Version)}}},
	})
	if err != nil {
		panic(err)
	}
}

// evacuationPrefix precedes the zone in the key of a request for an evacuation.
const evacuationPrefix = "evacuate-"

// SetEvacuated requests the evacuation of a zone, or takes the request back. The store must
// serve the operator.
func (w *World) SetEvacuated(zone string, on bool) {
	if err := w.TrySetEvacuated(zone, on); err != nil {
		panic(err)
	}
}

// TrySetEvacuated is SetEvacuated while the store may be away.
func (w *World) TrySetEvacuated(zone string, on bool) error {
	var value []byte
	if on {
		value = []byte("{}")
	}
	way := &stand.StoreCaller{Store: w.Store}
	_, err := way.Append(w.ctx, chestnutpond.TopicDesired, chestnutpond.KeyedAppend{
		Records: []chestnutpond.KeyedRecord{{Key: evacuationPrefix + zone, Value: value}},
	})
	return err
}
