package ledger

// heapStep is by how many bytes what is held changes before the limit of the heap does.
const heapStep = 1 << 20

// Heap is the limit of a process's heap, which falls by what connections hold: most of that
// lies outside of the heap or is garbage soon. It is not safe for concurrent use.
type Heap struct {
	ledger  *Ledger
	bytes   int64 // without connections
	limit   func(bytes int64) int64
	current int64 // 0 before the first update
}

// Heap returns the limit of a process's heap, which is so many bytes without connections. limit
// sets it, as debug.SetMemoryLimit does. Nothing is limited if limit is nil or bytes is 0.
func (l *Ledger) Heap(bytes int64, limit func(bytes int64) int64) *Heap {
	return &Heap{ledger: l, bytes: bytes, limit: limit}
}

// Update adapts the limit to what connections hold now.
func (h *Heap) Update() {
	if h.limit == nil || h.bytes <= 0 {
		return
	}
	to := h.bytes - h.ledger.total.Load()
	if h.current != 0 && to <= h.current+heapStep && to >= h.current-heapStep {
		return
	}
	h.current = to
	h.limit(to)
}
