package scheduler

// indexedHeap is a binary heap that stores each element's index in the element, so that any element can be removed.
type indexedHeap[T any] struct {
	elems []T
	less  func(a, b T) bool
	// position returns the field of an element that holds its index; -1 means that it is in no heap.
	position func(T) *int
}

func (h *indexedHeap[T]) len() int { return len(h.elems) }

func (h *indexedHeap[T]) top() T { return h.elems[0] }

func (h *indexedHeap[T]) push(x T) {
	h.elems = append(h.elems, x)
	*h.position(x) = len(h.elems) - 1
	h.up(len(h.elems) - 1)
}

// remove takes x out of the heap, if it is in the heap.
func (h *indexedHeap[T]) remove(x T) {
	i := *h.position(x)
	if i < 0 {
		return
	}
	last := len(h.elems) - 1
	h.swap(i, last)
	var zero T
	h.elems[last] = zero
	h.elems = h.elems[:last]
	*h.position(x) = -1
	if i < last {
		h.down(i)
		h.up(i)
	}
}

func (h *indexedHeap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.elems[i], h.elems[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *indexedHeap[T]) down(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h.elems); child++ {
			if h.less(h.elems[child], h.elems[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		h.swap(i, least)
		i = least
	}
}

func (h *indexedHeap[T]) swap(i, j int) {
	h.elems[i], h.elems[j] = h.elems[j], h.elems[i]
	*h.position(h.elems[i]) = i
	*h.position(h.elems[j]) = j
}
