package limiter

// indexedHeap is a binary heap that tells its elements their indices, so that they can be removed
// from anywhere. Unlike container/heap it needs no interface values, which would allocate.
type indexedHeap[E any] struct {
	list []E
	less func(a, b E) bool
	// moved records the index of an element.
	moved func(e E, i int)
}

func (h *indexedHeap[E]) push(e E) {
	h.list = append(h.list, e)
	h.up(len(h.list) - 1)
}

// remove removes the element at index i.
func (h *indexedHeap[E]) remove(i int) {
	last := len(h.list) - 1
	e := h.list[last]
	var none E
	h.list[last] = none
	h.list = h.list[:last]
	if i < last {
		h.list[i] = e
		h.fix(i)
	}
}

// fix restores the order after the element at index i has changed.
func (h *indexedHeap[E]) fix(i int) {
	if h.up(i) == i {
		h.down(i)
	}
}

// up moves the element at index i towards the front and returns its new index.
func (h *indexedHeap[E]) up(i int) int {
	e := h.list[i]
	for i > 0 && h.less(e, h.list[(i-1)/2]) {
		h.set(i, h.list[(i-1)/2])
		i = (i - 1) / 2
	}
	h.set(i, e)
	return i
}

// down moves the element at index i towards the end.
func (h *indexedHeap[E]) down(i int) {
	e := h.list[i]
	for {
		child := 2*i + 1
		if child+1 < len(h.list) && h.less(h.list[child+1], h.list[child]) {
			child++
		}
		if child >= len(h.list) || !h.less(h.list[child], e) {
			break
		}
		h.set(i, h.list[child])
		i = child
	}
	h.set(i, e)
}

func (h *indexedHeap[E]) set(i int, e E) {
	h.list[i] = e
	h.moved(e, i)
}
