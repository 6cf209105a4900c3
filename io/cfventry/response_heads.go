package cfventry

import (
	"sync"

	"coltsfootvalve/core/cfvlimit"
)

// responseHead reserves the memory for the head of a response while it is read and until its attempt has ended. The first
// readBufferSize bytes, which the connection's buffer holds, are not reserved.
type responseHead struct {
	budget *cfvlimit.ByteBudget

	mu       sync.Mutex
	reading  bool // the next bytes belong to a head
	arrived  int64
	reserved int64
}

// begin begins with the head of another response.
func (h *responseHead) begin() {
	h.release()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reading, h.arrived = true, 0
}

// add reserves memory for n bytes that have arrived. It reports whether there was room.
func (h *responseHead) add(n int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.reading {
		return true
	}
	h.arrived += int64(n)
	more := (h.arrived-readBufferSize)*headMemoryFactor - h.reserved
	if more <= 0 {
		return true
	}
	if !h.budget.Reserve(h.reserved, more) {
		return false
	}
	h.reserved += more
	return true
}

// end tells that the head is complete.
func (h *responseHead) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reading = false
}

// release returns the reserved memory.
func (h *responseHead) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.budget.Release(h.reserved)
	h.reading, h.reserved = false, 0
}
