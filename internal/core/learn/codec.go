package learn

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

const (
	// version is that of the encoding and of the meaning of the statistics. A model reads
	// no other one.
	version = 1
	// maxValue bounds the logarithms and their squares in a record: e^64 s is more than any
	// duration.
	maxValue = 64
	// maxAge bounds the age of a record by the wall clock, which may have been set.
	maxAge = 24 * time.Hour
)

// Encode returns a record of the model, of at most limit bytes. If the groups do not all
// fit, those that were observed last are kept.
func (m *Model) Encode(now time.Duration, wall time.Time, limit int) ([]byte, error) {
	r := &inner.LearnedRecord{Version: version, WrittenMs: wall.UnixMilli()}
	names := map[string]int32{}
	size := proto.Size(r)
	// A name or a row takes up to this many bytes more than its content, for its tag and
	// its length.
	const overhead = 4
	index := func(name string) int32 {
		n, ok := names[name]
		if !ok {
			n = int32(len(r.Names))
			names[name] = n
			r.Names = append(r.Names, name)
			size += len(name) + overhead
		}
		return n
	}
	for e := m.recent.Front(); e != nil; e = e.Next() {
		g := e.Value.(*group).aged(now)
		before := len(r.Names)
		row := encodeGroup(g, index)
		size += proto.Size(row) + overhead
		if size > limit {
			r.Names = r.Names[:before]
			break
		}
		r.Rows = append(r.Rows, row)
	}
	value, err := proto.Marshal(r)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(value) > limit {
		return nil, Error.New("record of %d bytes; allowed are %d", len(value), limit)
	}
	return value, nil
}

func encodeGroup(g group, index func(name string) int32) *inner.LearnedRow {
	row := &inner.LearnedRow{
		Level: int32(g.key.level + 1), Queue: index(g.key.queue),
		Duration: encodeTally(g.duration), Ratio: encodeTally(g.ratio),
	}
	if g.key.level >= accountLevel {
		row.Account = index(g.key.account)
	}
	if g.key.level == shapeLevel {
		row.Accelerators, row.Count = g.key.shape.Accelerators, g.key.shape.Count
	}
	if g.key.level != shapeLevel && g.errors.weight > 0 {
		row.Errors = &inner.LearnedErrors{
			Weight: float32(g.errors.weight), ByMean: float32(g.errors.byMean),
			ByEstimate: float32(g.errors.byEstimate), Cross: float32(g.errors.cross),
		}
	}
	return row
}

func encodeTally(t tally) *inner.LearnedTally {
	if t.weight <= 0 {
		return nil
	}
	return &inner.LearnedTally{
		Weight: float32(t.weight), Mean: float32(t.mean), Inside: float32(t.inside), Between: float32(t.between),
	}
}

// Decode returns a model with the groups of a record, whose age is counted by the wall
// clock. An invalid record or one of another version is an error.
func Decode(c Config, value []byte, now time.Duration, wall time.Time) (*Model, error) {
	m := New(c)
	r := &inner.LearnedRecord{}
	if err := proto.Unmarshal(value, r); err != nil {
		return nil, Error.Wrap(err)
	}
	if r.GetVersion() != version {
		return nil, Error.New("version is %d; want %d", r.GetVersion(), version)
	}
	age := min(maxAge, max(0, wall.Sub(time.UnixMilli(r.GetWrittenMs()))))
	m.now = now
	rows := r.GetRows()
	rows = rows[:min(len(rows), m.maxGroups)]
	for i := len(rows) - 1; i >= 0; i-- {
		g, err := decodeGroup(rows[i], r.GetNames())
		if err != nil {
			return nil, Error.New("rows[%d]: %v", i, err)
		}
		g.at = now - age
		m.store(g)
	}
	return m, nil
}

func decodeGroup(row *inner.LearnedRow, names []string) (group, error) {
	level := int(row.GetLevel()) - 1
	if level < queueLevel || level >= levels {
		return group{}, Error.New("level is %d; allowed are 1 to %d", row.GetLevel(), levels)
	}
	for _, n := range []int32{row.GetQueue(), row.GetAccount()} {
		if n < 0 || int(n) >= len(names) {
			return group{}, Error.New("name %d of %d", n, len(names))
		}
	}
	full := keysOf(chestnutpond.TaskClass{
		Queue: names[row.GetQueue()], Account: names[row.GetAccount()],
		Shape: chestnutpond.TaskShape{Accelerators: row.GetAccelerators(), Count: row.GetCount()},
	})
	g := group{key: full[level], duration: decodeTally(row.GetDuration()), ratio: decodeTally(row.GetRatio())}
	e := row.GetErrors()
	g.errors = errors{
		weight: float64(e.GetWeight()), byMean: float64(e.GetByMean()),
		byEstimate: float64(e.GetByEstimate()), cross: float64(e.GetCross()),
	}
	return g, g.check()
}

func decodeTally(t *inner.LearnedTally) tally {
	return tally{
		weight: float64(t.GetWeight()), mean: float64(t.GetMean()),
		inside: float64(t.GetInside()), between: float64(t.GetBetween()),
	}
}

// check returns an error if a statistic is not in its range.
func (g group) check() error {
	for _, w := range []float64{g.duration.weight, g.ratio.weight, g.errors.weight} {
		// The comparison is false for a value that is not a number.
		if !(w >= 0 && w <= maxWeight) {
			return Error.New("weight is %v; allowed are 0 to %d", w, maxWeight)
		}
	}
	for _, v := range []float64{
		g.duration.inside, g.duration.between, g.ratio.inside, g.ratio.between, g.errors.byMean, g.errors.byEstimate,
	} {
		if !(v >= 0 && v <= maxValue*maxValue) {
			return Error.New("variance is %v; allowed are 0 to %d", v, maxValue*maxValue)
		}
	}
	for _, v := range []float64{g.duration.mean, g.ratio.mean, g.errors.cross / maxValue} {
		if !(math.Abs(v) <= maxValue) {
			return Error.New("mean is %v; allowed are %d to %d", v, -maxValue, maxValue)
		}
	}
	return nil
}
