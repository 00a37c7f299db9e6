package jobsvc

import (
	"github.com/chestnutpond/chestnutpond"
)

// maxEvacuationZones limits the zones whose evacuation requests are kept. Requests for
// further zones are logged and ignored.
const maxEvacuationZones = 256

// evacuation is the newest request for a zone.
type evacuation struct {
	key string
	// requested is false if the request was taken back at offset.
	requested bool
	offset    int64
}

// parseEvacuation returns the zone of a request for an evacuation; false for records of
// other kinds.
func (f *Service) parseEvacuation(key string) (string, bool) {
	if f.cfg.ParseEvacuation == nil {
		return "", false
	}
	return f.cfg.ParseEvacuation(key)
}

// applyEvacuation applies a record of an evacuation request; a tombstone takes the request
// back. Records may come repeatedly and out of order.
func (f *Service) applyEvacuation(zone string, r chestnutpond.KeyedRecord) {
	f.mu.Lock()
	before, known := f.evacuations[zone]
	if known && r.Offset <= before.offset {
		f.mu.Unlock()
		return
	}
	if !known && len(f.evacuations) >= maxEvacuationZones {
		f.mu.Unlock()
		f.cfg.Log.Error("evacuation ignored: too many zones", "zone", zone, "offset", r.Offset, "limit", maxEvacuationZones)
		return
	}
	f.evacuations[zone] = evacuation{key: r.Key, requested: len(r.Value) > 0, offset: r.Offset}
	f.mu.Unlock()
	if before.requested != (len(r.Value) > 0) {
		f.cfg.Log.Info("evacuation changed", "zone", zone, "evacuated", len(r.Value) > 0, "offset", r.Offset)
	}
	f.publishEvacuations()
}

// retainEvacuations takes back the requests before the offset end whose key is not among
// the given ones: they were removed while the log was not read.
func (f *Service) retainEvacuations(keys map[string]bool, end int64) {
	f.mu.Lock()
	for zone, e := range f.evacuations {
		if e.offset >= end || keys[e.key] {
			continue
		}
		delete(f.evacuations, zone)
		if e.requested {
			f.cfg.Log.Info("evacuation changed", "zone", zone, "evacuated", false, "end", end)
		}
	}
	f.mu.Unlock()
	f.publishEvacuations()
}

// publishEvacuations passes the zones under evacuation to the leader.
func (f *Service) publishEvacuations() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var zones chestnutpond.Evacuations
	for zone, e := range f.evacuations {
		if e.requested {
			zones = zones.With(zone)
		}
	}
	f.cfg.Lead.SetEvacuations(zones)
}
