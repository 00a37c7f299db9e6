package chestnutpond

import (
	"maps"
	"slices"
)

// Evacuations is the set of availability zones in which operators want no new work
// started. The zero value is empty.
type Evacuations struct {
	// zones is never modified.
	zones map[string]bool
}

// With returns a copy of e that contains the zone.
func (e Evacuations) With(zone string) Evacuations {
	zones := map[string]bool{zone: true}
	maps.Copy(zones, e.zones)
	return Evacuations{zones: zones}
}

// Without returns a copy of e that does not contain the zone.
func (e Evacuations) Without(zone string) Evacuations {
	zones := maps.Clone(e.zones)
	delete(zones, zone)
	return Evacuations{zones: zones}
}

// Contains reports whether the zone is being evacuated.
func (e Evacuations) Contains(zone string) bool { return e.zones[zone] }

// Zones returns the zones in order.
func (e Evacuations) Zones() []string { return slices.Sorted(maps.Keys(e.zones)) }

// Equal reports whether both sets contain the same zones.
func (e Evacuations) Equal(o Evacuations) bool { return maps.Equal(e.zones, o.zones) }
