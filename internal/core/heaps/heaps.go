// Package heaps implements a binary heap whose elements store their positions, so
// that an element can be updated or removed in logarithmic time.
package heaps

// Heap is a binary heap. Less and At must be set before the first Push.
type Heap[T any] struct {
	// Less orders the elements. It must be a strict total order, so that the
	// result does not depend on the order of insertions.
	Less func(a, b T) bool
	// Index returns a pointer to the position stored in an element. The heap sets the
	// position to -1 when the element is removed.
	Index func(t T) *int

	items []T
}

// Len returns the number of elements.
func (h *Heap[T]) Len() int { return len(h.items) }

// Top returns the least element. The heap must not be empty.
func (h *Heap[T]) Top() T { return h.items[0] }

// Push adds an element that is not in the heap.
func (h *Heap[T]) Push(t T) {
	*h.Index(t) = len(h.items)
	h.items = append(h.items, t)
	h.up(len(h.items) - 1)
}

// Remove removes t from the heap. It does nothing if t is not in the heap.
func (h *Heap[T]) Remove(t T) {
	i := *h.Index(t)
	if i < 0 {
		return
	}
	last := len(h.items) - 1
	h.swap(i, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*h.Index(t) = -1
	if i < last {
		h.down(i)
		h.up(i)
	}
}

// Fix restores the heap order after the key of t changed. It does nothing if t is
// not in the heap.
func (h *Heap[T]) Fix(t T) {
	i := *h.Index(t)
	if i < 0 {
		return
	}
	h.down(i)
	h.up(*h.Index(t))
}

// Init restores the heap order after the keys of any elements changed.
func (h *Heap[T]) Init() {
	for i := len(h.items)/2 - 1; i >= 0; i-- {
		h.down(i)
	}
}

func (h *Heap[T]) swap(i, j int) {
	if i == j {
		return
	}
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.Index(h.items[i]) = i
	*h.Index(h.items[j]) = j
}

func (h *Heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.Less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *Heap[T]) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return
		}
		if child+1 < len(h.items) && h.Less(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.Less(h.items[child], h.items[i]) {
			return
		}
		h.swap(i, child)
		i = child
	}
}
