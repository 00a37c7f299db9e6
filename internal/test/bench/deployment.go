package bench

import (
	"fmt"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/place"
)

// region is the region of all loads.
const region = "bench"

// stream is work of one kind that arrives all day.
type stream struct {
	kind     string
	class    chestnutpond.Class
	shapes   []chestnutpond.Shape
	accounts []string
	// callers is the number of callers in each account.
	callers int
	// mean is the mean run time; run times are log-normal with sigma.
	mean  time.Duration
	sigma float64
	// share is the part of the fleet that the stream asks for on average.
	share float64
	// small marks the callers whose completion time is a target.
	small bool

	checkpoint, maxRuntime time.Duration
}

// Deployment is one of the two services of section 1.6, at today's size: nine
// workers of eight accelerators, three to a rack, in two zones.
type Deployment struct {
	Name     string
	Document chestnutpond.Document
	// Largest is the largest guaranteed shape.
	Largest chestnutpond.Shape
	streams []stream
}

const (
	racks          = 3
	workersPerRack = 3
	workerSize     = 8
)

// fleet returns the workers of a deployment that is scale times today's size.
func fleet(scale int) []place.Worker {
	var out []place.Worker
	for r := range racks * scale {
		for i := range workersPerRack {
			zone := "zone-a"
			if r%racks == racks-1 {
				zone = "zone-b"
			}
			out = append(out, place.Worker{
				Name: fmt.Sprintf("w%02d", r*workersPerRack+i), Incarnation: 1, Zone: zone,
				Rack: fmt.Sprintf("rack-%02d", r), Accelerators: workerSize,
			})
		}
	}
	return out
}

func onWorker(n int) chestnutpond.Shape {
	return chestnutpond.Shape{Accelerators: n, Adjacency: chestnutpond.AdjacencyWorker}
}

func inRack(n int) chestnutpond.Shape {
	return chestnutpond.Shape{Accelerators: n, Adjacency: chestnutpond.AdjacencyRack}
}

func inZone(n int) chestnutpond.Shape {
	return chestnutpond.Shape{Accelerators: n, Adjacency: chestnutpond.AdjacencyZone}
}

func account(name string, weight, count int, shape chestnutpond.Shape) chestnutpond.Account {
	a := chestnutpond.Account{Name: name, Weight: weight, JobLimit: 100_000}
	if count > 0 {
		a.Guarantees = []chestnutpond.Guarantee{{Region: region, Count: count, Shape: shape}}
	}
	return a
}

// Deployments returns the two services.
func Deployments() []Deployment {
	return []Deployment{ferraro(), sabarmati()}
}

func ferraro() Deployment {
	return Deployment{
		Name: "ferraro",
		Document: chestnutpond.Document{
			Service: "cotizador", Version: 1,
			Accounts: []chestnutpond.Account{
				account("ventas", 4, 1, onWorker(8)),
				account("talleres", 2, 2, onWorker(4)),
				account("prevision", 2, 2, onWorker(8)),
				account("mayoristas", 1, 0, onWorker(0)),
			},
		},
		Largest: onWorker(8),
		streams: []stream{
			{
				kind: "price_list", class: chestnutpond.ClassUrgent, shapes: []chestnutpond.Shape{onWorker(2)},
				accounts: []string{"ventas", "mayoristas"}, callers: 4, mean: 3 * time.Minute, sigma: 0.8,
				share: 0.15, small: true, checkpoint: 2 * time.Second, maxRuntime: time.Hour,
			},
			{
				kind: "stock_match", class: chestnutpond.ClassStandard, shapes: []chestnutpond.Shape{onWorker(1)},
				accounts: []string{"ventas", "talleres", "mayoristas"}, callers: 6, mean: 90 * time.Second, sigma: 0.8,
				share: 0.22, small: true, checkpoint: 2 * time.Second, maxRuntime: time.Hour,
			},
			{
				kind: "forecast", class: chestnutpond.ClassBulk,
				shapes:   []chestnutpond.Shape{onWorker(4), onWorker(8), onWorker(8), inRack(16)},
				accounts: []string{"prevision", "mayoristas"}, callers: 2, mean: 40 * time.Minute, sigma: 0.7,
				share: 0.55, checkpoint: 10 * time.Second, maxRuntime: 6 * time.Hour,
			},
		},
	}
}

func sabarmati() Deployment {
	return Deployment{
		Name: "sabarmati",
		Document: chestnutpond.Document{
			Service: "review-desk", Version: 1,
			Accounts: []chestnutpond.Account{
				account("students", 2, 2, onWorker(4)),
				account("advocates", 4, 1, onWorker(8)),
				account("journals", 2, 1, inZone(16)),
				account("walk-in", 1, 0, onWorker(0)),
			},
		},
		Largest: inZone(16),
		streams: []stream{
			{
				kind: "citation", class: chestnutpond.ClassUrgent, shapes: []chestnutpond.Shape{onWorker(1), onWorker(2)},
				accounts: []string{"advocates", "students"}, callers: 5, mean: 4 * time.Minute, sigma: 0.8,
				share: 0.15, small: true, checkpoint: 2 * time.Second, maxRuntime: time.Hour,
			},
			{
				kind: "transliteration", class: chestnutpond.ClassStandard, shapes: []chestnutpond.Shape{onWorker(1)},
				accounts: []string{"students", "advocates", "walk-in"}, callers: 6, mean: 2 * time.Minute, sigma: 0.8,
				share: 0.22, small: true, checkpoint: 2 * time.Second, maxRuntime: time.Hour,
			},
			{
				kind: "grammar", class: chestnutpond.ClassBulk,
				shapes:   []chestnutpond.Shape{onWorker(2), onWorker(4), inRack(8), inZone(16)},
				accounts: []string{"journals", "walk-in"}, callers: 3, mean: 25 * time.Minute, sigma: 0.7,
				share: 0.55, checkpoint: 10 * time.Second, maxRuntime: 6 * time.Hour,
			},
		},
	}
}
