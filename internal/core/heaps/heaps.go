// Package heaps has a binary heap whose elements know their position, so that one
// can be moved or removed in logarithmic time.
package heaps

// Heap is a binary heap. The zero value lacks Less and At; both are set before
// the first element is pushed.
type Heap[T any] struct {
	// Less orders the elements; it must be a strict total order so that the
	// result does not depend on the order of insertions.
	Less func(a, b T) bool
	// At points to the position of an element. The heap sets it to -1 when the
	// element leaves.
	At func(t T) *int

	items []T
}

// Len returns the number of elements.
func (h *Heap[T]) Len() int { return len(h.items) }

// Top returns the least element; the heap must not be empty.
func (h *Heap[T]) Top() T { return h.items[0] }

// Push adds an element that is not in the heap.
func (h *Heap[T]) Push(t T) {
	*h.At(t) = len(h.items)
	h.items = append(h.items, t)
	h.up(len(h.items) - 1)
}

// Remove takes t out of the heap; it does nothing if t is not in it.
func (h *Heap[T]) Remove(t T) {
	i := *h.At(t)
	if i < 0 {
		return
	}
	last := len(h.items) - 1
	h.swap(i, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*h.At(t) = -1
	if i < last {
		h.down(i)
		h.up(i)
	}
}

// Fix restores the order after the key of t changed. It does nothing if t is not
// in the heap.
func (h *Heap[T]) Fix(t T) {
	i := *h.At(t)
	if i < 0 {
		return
	}
	h.down(i)
	h.up(*h.At(t))
}

// Init restores the order after any number of keys changed.
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
	*h.At(h.items[i]) = i
	*h.At(h.items[j]) = j
}

func (h *Heap[T]) up(i int) {
	for i > 0 {
		p := (i - 1) / 2
		if !h.Less(h.items[i], h.items[p]) {
			return
		}
		h.swap(i, p)
		i = p
	}
}

func (h *Heap[T]) down(i int) {
	for {
		c := 2*i + 1
		if c >= len(h.items) {
			return
		}
		if c+1 < len(h.items) && h.Less(h.items[c+1], h.items[c]) {
			c++
		}
		if !h.Less(h.items[c], h.items[i]) {
			return
		}
		h.swap(i, c)
		i = c
	}
}
