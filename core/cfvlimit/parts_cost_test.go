package cfvlimit

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// manySuspects returns a quarantine that suspects n parts, in six crashes of one of some endpoints each.
func manySuspects(n, endpoints int) (q *PartQuarantine, now time.Duration) {
	q, now = NewPartQuarantine(DefaultPartConfig()), time.Minute
	for c := range 6 {
		now += 500 * ms
		for p := range n {
			q.RecordCrash(now, "s", []string{fmt.Sprint("p", p)}, fmt.Sprintf("endpoint-%d-%d/1234567890", p%endpoints, c), false)
		}
		q.RecordAnswer(now, now, "s", []string{"x"})
	}
	return q, now
}

// Each request asks this under the lock of its entry.
func BenchmarkBlockedPart(b *testing.B) {
	for _, n := range []int{1, 50, 200, maxSuspectParts} {
		for _, endpoints := range []int{50, n} {
			b.Run(fmt.Sprintf("%d suspected parts, %d endpoints", n, endpoints), func(b *testing.B) {
				q, now := manySuspects(n, endpoints)
				for i := range b.N {
					q.Blocked(now, "s", []string{fmt.Sprint("p", i%n)})
				}
			})
		}
	}
}

func BenchmarkBlockedParts(b *testing.B) {
	for _, n := range []int{50, 200, maxSuspectParts} {
		for _, endpoints := range []int{50, n} {
			b.Run(fmt.Sprintf("%d suspected parts, %d endpoints", n, endpoints), func(b *testing.B) {
				q, now := manySuspects(n, endpoints)
				for b.Loop() {
					q.BlockedParts(now)
				}
			})
		}
	}
}

// Failure: callers could let an entry remember any number of bytes as the names of parts.
func TestLongPartsAreNotRemembered(t *testing.T) {
	q, now := NewPartQuarantine(DefaultPartConfig()), time.Minute
	long := strings.Repeat("x", maxPartBytes+1)
	for i := range 3 {
		now += time.Second
		q.RecordCrash(now, "s", []string{long, long[1:]}, fmt.Sprint("e", i), false)
		q.RecordAnswer(now, now, "s", []string{long + "answered"})
	}
	assert.Equal(t, len(q.parts), 1)
	assert.Equal(t, len(q.answered), 0)
	_, blocked := q.Blocked(now, "s", []string{long[1:]})
	assert.Assert(t, blocked)
}
