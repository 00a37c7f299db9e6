package scale

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/fleet"
	"github.com/chestnutpond/chestnutpond/internal/core/ledger"
	"github.com/chestnutpond/chestnutpond/internal/core/place"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// The size of section 1.6 of the design page. The ended jobs, intents and
// publications are the bounds of the ledger.
const (
	targetEntries   = 11
	targetWaiting   = 12_000
	targetRunning   = 12_000
	targetTasks     = 27_000
	boundEnded      = 16_384
	boundIntents    = 65_536
	boundPublished  = 8192
	intentsPerBatch = 64
)

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// each runs work b.N times and reports the processor time of all threads, since
// other programs disturb the wall time.
func each(b *testing.B, work func(i int)) {
	b.Helper()
	begin := processorTime()
	for i := range b.N {
		work(i)
	}
	b.ReportMetric(float64(processorTime()-begin)/float64(b.N), "cpu-ns/op")
}

func processorTime() time.Duration {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

func jobName(i int) chestnutpond.JobID { return chestnutpond.JobID(fmt.Sprintf("%020x", i)) }

// member is a row as an agent sends it, with that many running tasks.
func member(i, tasks int) *inner.Member {
	m := &inner.Member{
		Name: fmt.Sprint("worker-", i), Incarnation: time.Now().UnixMilli(), Sequence: 1,
		Address: fmt.Sprintf("10.%d.%d.7:7170", i/250, i%250), Region: fmt.Sprint("region-", i%4),
		Zone: fmt.Sprint("zone-", i%11), Rack: fmt.Sprint("rack-", i/3), Accelerators: 1,
		Upstream: &inner.Upstream{Slots: 8, Connections: 64, Kinds: []string{"match"}, Up: true},
	}
	for k := range tasks {
		m.Tasks = append(m.Tasks, &inner.Task{
			Job: string(jobName(i + k*dayWorkers)), Attempt: 1, Member: int32(k),
			State: inner.TaskState_TASK_STATE_RUNNING, Accelerators: []int32{0},
		})
	}
	return m
}

// targetTable has all rows; every eleventh is homed at this entry.
func targetTable() *fleet.Table {
	t := fleet.New(fleet.Config{Self: "entry-0"})
	for i := range dayWorkers {
		m := member(i, targetTasks/dayWorkers)
		if home := i % targetEntries; home > 0 {
			t.PutRemote(0, m, fmt.Sprint("entry-", home))
		} else {
			t.PutLocal(0, m)
		}
	}
	return t
}

// BenchmarkFleet measures the member table at the target size: its memory, a
// changed row with the search for it by one exchange, and one expiry.
func BenchmarkFleet(b *testing.B) {
	b.Run("memory", func(b *testing.B) {
		for range b.N {
			before := heap()
			t := targetTable()
			b.ReportMetric(float64(heap()-before)/dayWorkers, "B/row")
			runtime.KeepAlive(t)
		}
	})
	t := targetTable()
	b.Run("change", func(b *testing.B) {
		sequence := t.LastIndex()
		each(b, func(int) {
			sequence++
			m := member(0, targetTasks/dayWorkers)
			m.Sequence = sequence
			t.PutLocal(0, m)
			t.Since(t.LastIndex() - 1)
		})
	})
	b.Run("since", func(b *testing.B) {
		each(b, func(int) { t.Since(t.LastIndex() - 1) })
	})
	b.Run("expire", func(b *testing.B) {
		each(b, func(int) { t.Expire(0, func(string) (time.Duration, bool) { return 0, false }) })
	})
	b.Run("rows", func(b *testing.B) {
		each(b, func(int) { t.Rows() })
	})
}

// BenchmarkMessages reports the bytes of the messages of the membership.
func BenchmarkMessages(b *testing.B) {
	var entries []*inner.EntryAddress
	var peers []*inner.Peer
	for i := range targetEntries {
		address, region, zone := fmt.Sprintf("10.200.%d.10:7070", i), fmt.Sprint("region-", i%4), fmt.Sprint("zone-", i)
		entries = append(entries, &inner.EntryAddress{Address: address, Region: region, Zone: zone})
		peers = append(peers, &inner.Peer{
			Name: fmt.Sprint("entry-", i), Incarnation: time.Now().UnixMilli(), Address: address, Region: region, Zone: zone,
		})
	}
	messages := map[string]proto.Message{
		"heartbeat":     &inner.AnnounceRequest{ConfigVersion: dayConfigs},
		"reply":         &inner.AnnounceReply{Heartbeat: durationpb.New(time.Second), Entries: entries, ConfigVersion: dayConfigs},
		"row":           &inner.AnnounceRequest{Member: member(dayWorkers, 0), ConfigVersion: dayConfigs},
		"row-3-tasks":   &inner.AnnounceRequest{Member: member(dayWorkers, 3), ConfigVersion: dayConfigs},
		"exchange":      &inner.ExchangeRequest{From: peers[0], Since: 1 << 20, Table: 1 << 40, Wait: durationpb.New(time.Second)},
		"exchange-none": &inner.ExchangeReply{From: peers[0], Next: 1 << 20, Table: 1 << 40, Peers: peers[1:]},
	}
	for name, m := range messages {
		b.Run(name, func(b *testing.B) {
			each(b, func(int) {
				_, err := proto.Marshal(m)
				assert.NilError(b, err)
			})
			b.ReportMetric(float64(proto.Size(m)), "B")
		})
	}
}

// folder appends bodies to a state.
type folder struct {
	b      testing.TB
	state  *ledger.State
	origin ledger.Origin
}

func (f *folder) apply(body ledger.Body) {
	data, err := ledger.Encode(f.origin, body)
	assert.NilError(f.b, err)
	_, err = f.state.Apply(chestnutpond.Record{Offset: f.state.Next(), Data: data})
	assert.NilError(f.b, err)
}

func (f *folder) accept(i int) {
	f.apply(ledger.AcceptJob{Spec: chestnutpond.JobSpec{
		ID: jobName(i), Service: "cotizador", Account: fmt.Sprint("team-", i%510), Caller: fmt.Sprint("caller-", i%97),
		Kind: "forecast", Class: chestnutpond.ClassBulk, Region: "pampa",
		Shape:      chestnutpond.Shape{Accelerators: 1 + i%8, Adjacency: chestnutpond.AdjacencyRack},
		Checkpoint: time.Second, MaxAttempts: 3, MaxRuntime: time.Hour, Payload: make([]byte, 256),
	}})
}

func (f *folder) start(i, tasks int) {
	var at []chestnutpond.Placement
	for k := range tasks {
		at = append(at, chestnutpond.Placement{
			Member: k, Worker: fmt.Sprint("worker-", (i+k)%dayWorkers), Incarnation: 1 << 40, Accelerators: []int{0},
		})
	}
	f.apply(ledger.StartJob{Job: jobName(i), Attempt: 1, Region: "pampa", Term: 1, Placements: at})
}

// targetState has the waiting jobs, the running jobs with all tasks and, if
// bounded, as many ended jobs, intents and publications as the ledger keeps.
func targetState(b testing.TB, waiting, running int, bounded bool) *ledger.State {
	f := &folder{b: b, state: ledger.New(), origin: ledger.Origin{Process: "entry-0", Incarnation: 1 << 40}}
	f.apply(ledger.Publish{ID: "p", Service: "cotizador", Document: document(510, 0)})
	f.apply(ledger.ClaimTerm{Region: "pampa", Number: 1})
	for i := range waiting {
		f.accept(i)
	}
	for i := waiting; i < waiting+running; i++ {
		f.accept(i)
		f.start(i, 2+i%4/3)
	}
	if !bounded {
		return f.state
	}
	for i := waiting + running; i < waiting+running+boundEnded; i++ {
		f.accept(i)
		f.start(i, 2)
		f.apply(ledger.EndJob{Job: jobName(i), Attempt: 1, Region: "pampa", Term: 1, State: chestnutpond.JobCompleted})
	}
	for i := 0; i < boundIntents; i += intentsPerBatch {
		var list []ledger.IntentID
		for k := range intentsPerBatch {
			list = append(list, ledger.IntentID{Key: fmt.Sprintf("key-%032d", i+k), ID: fmt.Sprintf("%026d", i+k)})
		}
		f.apply(ledger.Intents{Intents: list})
	}
	for i := range boundPublished {
		f.apply(ledger.Publish{ID: fmt.Sprintf("%026d", i), Service: "cotizador", Base: -1})
	}
	return f.state
}

// BenchmarkLedger measures the fold at the target size: its memory, its
// snapshot, and what one submission asks of it.
func BenchmarkLedger(b *testing.B) {
	cases := map[string]struct {
		waiting, running int
		bounded          bool
	}{
		"waiting=12000":         {targetWaiting, 0, false},
		"running=12000":         {0, targetRunning, false},
		"all-bounds-reached":    {targetWaiting, targetRunning, true},
		"a-tenth-of-each-count": {targetWaiting / 10, targetRunning / 10, false},
	}
	for name, c := range cases {
		before := heap()
		state := targetState(b, c.waiting, c.running, c.bounded)
		size := heap() - before
		b.Run(name+"/snapshot", func(b *testing.B) {
			var data []byte
			each(b, func(int) { data, _ = state.Snapshot() })
			b.ReportMetric(float64(size)/1e6, "state-MB")
			b.ReportMetric(float64(len(data)), "snapshot-B")
			b.ReportMetric(float64(len(ledger.Parts("s", 0, data))), "parts")
		})
		b.Run(name+"/capture", func(b *testing.B) {
			each(b, func(int) { state.Capture() })
		})
		b.Run(name+"/restore", func(b *testing.B) {
			data, _ := state.Snapshot()
			each(b, func(int) {
				_, err := ledger.Restore(data)
				assert.NilError(b, err)
			})
		})
		b.Run(name+"/waiting", func(b *testing.B) {
			each(b, func(int) { state.Queued("team-7", "pampa") })
		})
	}
}

// BenchmarkPlaceTasks measures the placement core with as many tasks as the
// target, one accelerator each. The target has fewer accelerators than tasks,
// so the workers get four each here.
func BenchmarkPlaceTasks(b *testing.B) {
	for range b.N {
		before := heap()
		c := place.New(place.Config{Region: "r"})
		for i := range dayWorkers {
			c.PutWorker(0, place.Worker{
				Name: fmt.Sprint("w", i), Zone: fmt.Sprint("z", i%11), Rack: fmt.Sprint("r", i/3), Accelerators: 4,
			})
		}
		c.SetDocument(0, chestnutpond.Document{Accounts: []chestnutpond.Account{{Name: "a", Weight: 1, JobLimit: 1 << 20}}})
		workers := heap()
		started := 0
		for i := range targetTasks {
			c.Submit(0, chestnutpond.JobSpec{
				ID: jobName(i), Account: "a", Kind: "k", Class: chestnutpond.ClassStandard, Region: "r", MaxAttempts: 3,
				Shape: chestnutpond.Shape{Accelerators: 1, Adjacency: chestnutpond.AdjacencyWorker},
			}, 0)
			if i%1000 < 999 {
				continue
			}
			for _, a := range c.Decide(0) {
				if a.Kind == place.ActionStart {
					c.Running(0, a.Job, a.Attempt)
					started++
				}
			}
		}
		full := heap()
		runtime.KeepAlive(c)
		b.ReportMetric(float64(workers-before)/dayWorkers, "B/worker")
		b.ReportMetric(float64(full-workers)/targetTasks, "B/task")
		b.ReportMetric(float64(started), "started")
	}
}
