package contract

// indexedHeap is a binary heap whose items know their index, so that an item can
// be moved or removed without a search. It allocates only to grow.
type indexedHeap[T any] struct {
	items    []T
	less     func(a, b T) bool
	setIndex func(item T, index int) // index -1: no longer in the heap
}

func (h *indexedHeap[T]) len() int { return len(h.items) }

func (h *indexedHeap[T]) min() T { return h.items[0] }

func (h *indexedHeap[T]) push(item T) {
	h.items = append(h.items, item)
	h.setIndex(item, len(h.items)-1)
	h.up(len(h.items) - 1)
}

func (h *indexedHeap[T]) remove(index int) {
	last := len(h.items) - 1
	item := h.items[index]
	h.swap(index, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	h.setIndex(item, -1)
	if index < last {
		h.fix(index)
	}
}

func (h *indexedHeap[T]) fix(index int) {
	if !h.down(index) {
		h.up(index)
	}
}

func (h *indexedHeap[T]) swap(i, j int) {
	if i == j {
		return
	}
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.setIndex(h.items[i], i)
	h.setIndex(h.items[j], j)
}

func (h *indexedHeap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *indexedHeap[T]) down(i int) bool {
	moved := false
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return moved
		}
		if right := child + 1; right < len(h.items) && h.less(h.items[right], h.items[child]) {
			child = right
		}
		if !h.less(h.items[child], h.items[i]) {
			return moved
		}
		h.swap(i, child)
		i = child
		moved = true
	}
}
