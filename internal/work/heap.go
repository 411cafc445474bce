package work

// Element is an element of a Heap.
type Element[E any] interface {
	Before(other E) bool
	// SetHeapIndex records where in the heap the element is.
	SetHeapIndex(i int)
}

// Heap is a binary heap whose elements know their indices.
type Heap[E Element[E]] []E

// Push adds an element.
func (h *Heap[E]) Push(e E) {
	*h = append(*h, e)
	e.SetHeapIndex(len(*h) - 1)
	h.up(len(*h) - 1)
}

// Remove removes the element at index i.
func (h *Heap[E]) Remove(i int) {
	last := len(*h) - 1
	h.swap(i, last)
	*h = (*h)[:last]
	if i < last {
		h.Fix(i)
	}
}

// Fix moves the element at index i to where it belongs.
func (h Heap[E]) Fix(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

// Init restores the order of all elements.
func (h Heap[E]) Init() {
	for i := len(h)/2 - 1; i >= 0; i-- {
		h.down(i)
	}
}

// First returns the first element in the part of the heap below index i for which skip returns false. It looks below
// skipped elements only.
func (h Heap[E]) First(i int, skip func(E) bool) (first E, found bool) {
	if i >= len(h) {
		return first, false
	}
	if !skip(h[i]) {
		return h[i], true
	}
	left, leftFound := h.First(2*i+1, skip)
	right, rightFound := h.First(2*i+2, skip)
	if !leftFound || rightFound && right.Before(left) {
		return right, rightFound
	}
	return left, true
}

func (h Heap[E]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h[i].Before(h[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

// down moves the element at index i towards the leaves. It reports whether it moved.
func (h Heap[E]) down(i int) bool {
	start := i
	for {
		child := 2*i + 1
		if child >= len(h) {
			break
		}
		if child+1 < len(h) && h[child+1].Before(h[child]) {
			child++
		}
		if !h[child].Before(h[i]) {
			break
		}
		h.swap(i, child)
		i = child
	}
	return i > start
}

func (h Heap[E]) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].SetHeapIndex(i)
	h[j].SetHeapIndex(j)
}
