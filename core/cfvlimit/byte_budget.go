package cfvlimit

import "sync/atomic"

// Requests of at most SmallBytes may use the whole of a ByteBudget. Longer ones leave the last part of it to them, so
// that clients with long bodies can't keep out those with short ones.
const (
	SmallBytes     = 64 << 10
	smallPartShare = 8 // one part in so many
)

// ByteBudget limits the bytes that requests hold together. It is safe for concurrent use. A nil ByteBudget has no
// limit.
type ByteBudget struct {
	size int64
	used atomic.Int64
}

// NewByteBudget returns a budget of the given size.
func NewByteBudget(size int64) *ByteBudget { return &ByteBudget{size: size} }

// Largest returns the largest number of bytes that a single request can reserve.
func (b *ByteBudget) Largest() int64 { return b.size - b.size/smallPartShare }

// Reserve reserves n bytes for a request that holds some already. It reserves nothing and returns false if there is no
// room.
func (b *ByteBudget) Reserve(held, n int64) bool {
	if b == nil {
		return true
	}
	limit := b.size
	if held+n > SmallBytes {
		limit = b.Largest()
	}
	for {
		used := b.used.Load()
		if n > limit-used {
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// Release returns n reserved bytes.
func (b *ByteBudget) Release(n int64) {
	if b != nil {
		b.used.Add(-n)
	}
}

// Scarce reports whether more than half of the budget is reserved.
func (b *ByteBudget) Scarce() bool { return b != nil && b.used.Load() > b.size/2 }

// Used returns the number of reserved bytes.
func (b *ByteBudget) Used() int64 {
	if b == nil {
		return 0
	}
	return b.used.Load()
}
