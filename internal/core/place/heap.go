package place

// indexed is an element that knows its position in one heap.
type indexed interface {
	setIndex(i int)
	index() int
}

// indexHeap is a binary heap with removal by element.
type indexHeap[T indexed] struct {
	less  func(a, b T) bool
	items []T
}

func (h *indexHeap[T]) len() int { return len(h.items) }

// top returns the least element; the heap must not be empty.
func (h *indexHeap[T]) top() T { return h.items[0] }

func (h *indexHeap[T]) push(v T) {
	h.items = append(h.items, v)
	v.setIndex(len(h.items) - 1)
	h.up(len(h.items) - 1)
}

// init restores the order after any number of keys changed.
func (h *indexHeap[T]) init() {
	for i := len(h.items)/2 - 1; i >= 0; i-- {
		h.down(i)
	}
}

// fix restores the order after the key of v alone changed.
func (h *indexHeap[T]) fix(v T) {
	h.up(v.index())
	h.down(v.index())
}

func (h *indexHeap[T]) remove(v T) {
	i, last := v.index(), len(h.items)-1
	h.swap(i, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	v.setIndex(-1)
	if i < last {
		h.fix(h.items[i])
	}
}

func (h *indexHeap[T]) up(i int) {
	for i > 0 {
		p := (i - 1) / 2
		if !h.less(h.items[i], h.items[p]) {
			return
		}
		h.swap(i, p)
		i = p
	}
}

func (h *indexHeap[T]) down(i int) {
	for {
		l := 2*i + 1
		if l >= len(h.items) {
			return
		}
		if r := l + 1; r < len(h.items) && h.less(h.items[r], h.items[l]) {
			l = r
		}
		if !h.less(h.items[l], h.items[i]) {
			return
		}
		h.swap(i, l)
		i = l
	}
}

func (h *indexHeap[T]) swap(i, j int) {
	if i == j {
		return
	}
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].setIndex(i)
	h.items[j].setIndex(j)
}

// position implements indexed.
type position struct{ at int }

func (p *position) setIndex(i int) { p.at = i }
func (p *position) index() int     { return p.at }
