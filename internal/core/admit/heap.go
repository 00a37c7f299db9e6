package admit

// heap is a binary heap whose elements know their position, so that one can be
// moved or removed in logarithmic time.
type heap[T any] struct {
	items []T
	// less orders the elements; it must be a strict total order so that the
	// result does not depend on the order of insertions.
	less func(a, b T) bool
	// at points to the position of an element; -1 means not in the heap.
	at func(t T) *int
}

func (h *heap[T]) len() int { return len(h.items) }

func (h *heap[T]) top() T { return h.items[0] }

func (h *heap[T]) push(t T) {
	*h.at(t) = len(h.items)
	h.items = append(h.items, t)
	h.up(len(h.items) - 1)
}

// remove takes t out of the heap; it does nothing if t is not in it.
func (h *heap[T]) remove(t T) {
	i := *h.at(t)
	if i < 0 {
		return
	}
	last := len(h.items) - 1
	h.swap(i, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*h.at(t) = -1
	if i < last {
		h.down(i)
		h.up(i)
	}
}

// fix restores the order after the key of t changed.
func (h *heap[T]) fix(t T) {
	i := *h.at(t)
	if i < 0 {
		return
	}
	h.down(i)
	h.up(*h.at(t))
}

func (h *heap[T]) swap(i, j int) {
	if i == j {
		return
	}
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.at(h.items[i]) = i
	*h.at(h.items[j]) = j
}

func (h *heap[T]) up(i int) {
	for i > 0 {
		p := (i - 1) / 2
		if !h.less(h.items[i], h.items[p]) {
			return
		}
		h.swap(i, p)
		i = p
	}
}

func (h *heap[T]) down(i int) {
	for {
		c := 2*i + 1
		if c >= len(h.items) {
			return
		}
		if c+1 < len(h.items) && h.less(h.items[c+1], h.items[c]) {
			c++
		}
		if !h.less(h.items[c], h.items[i]) {
			return
		}
		h.swap(i, c)
		i = c
	}
}
