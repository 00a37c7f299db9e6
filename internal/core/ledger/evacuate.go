package ledger

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// evacuationLimit is the maximum number of zones whose last request is kept. A request
// for a further zone has no effect.
const evacuationLimit = 256

// Evacuate requests that no new work starts in a zone, or revokes such a request.
type Evacuate struct {
	// Zone names the zone in all regions that have a zone of this name.
	Zone string `json:"zone"`
	// Undo revokes the request for the zone.
	Undo bool `json:"undo,omitempty"`
	// Base is the Evacuation.Version of the zone that the author knew. The request has no
	// effect if another version is current, so a delayed copy of a record does not revert
	// a later request.
	Base int64 `json:"base"`
	// Operator is the name of the operator who asked, and At the time of the request by
	// the clock of the record's origin. Both are only shown.
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
}

func (Evacuate) kind() string { return "evacuate" }

// Evacuation is the last request for a zone.
type Evacuation struct {
	Zone string `json:"zone"`
	// InForce is false if the request was revoked.
	InForce bool `json:"in_force"`
	// Version is the number of changes of InForce; 0 before the first request.
	Version int64 `json:"version"`
	// Offset is that of the record that last changed InForce.
	Offset int64 `json:"offset"`
	// Operator and At are those of that record.
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
}

// Evacuation returns the last request for a zone; its Version is 0 if there was none.
func (s *State) Evacuation(zone string) Evacuation {
	e, ok := s.evacuations[zone]
	if !ok {
		return Evacuation{Zone: zone}
	}
	return e
}

// Evacuations returns the last request for each zone, by zone name.
func (s *State) Evacuations() []Evacuation {
	list := make([]Evacuation, 0, len(s.evacuations))
	for _, e := range s.evacuations {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b Evacuation) int { return cmp.Compare(a.Zone, b.Zone) })
	return list
}

// EvacuatedZones returns the zones whose evacuation is in force.
func (s *State) EvacuatedZones() chestnutpond.Evacuations {
	var zones chestnutpond.Evacuations
	for _, e := range s.Evacuations() {
		if e.InForce {
			zones = zones.With(e.Zone)
		}
	}
	return zones
}

// EvacuationsFull reports whether a request for the zone would exceed the limit of zones.
func (s *State) EvacuationsFull(zone string) bool {
	_, known := s.evacuations[zone]
	return !known && len(s.evacuations) >= evacuationLimit
}

// evacuate applies a request. One that changes nothing leaves the version and the author
// of the zone's last change as they are.
func (s *State) evacuate(offset int64, b Evacuate) Change {
	current := s.Evacuation(b.Zone)
	if b.Zone == "" || b.Base != current.Version || current.InForce == !b.Undo || s.EvacuationsFull(b.Zone) {
		return Change{}
	}
	s.evacuations[b.Zone] = Evacuation{
		Zone: b.Zone, InForce: !b.Undo, Version: current.Version + 1, Offset: offset,
		Operator: b.Operator, At: b.At,
	}
	return Change{Kind: ChangeEvacuation, Zone: b.Zone}
}

// AnyEvacuated reports whether the evacuation of one of the zones is in force.
func (s *State) AnyEvacuated(zones []string) bool {
	return slices.ContainsFunc(zones, func(zone string) bool { return s.evacuations[zone].InForce })
}
