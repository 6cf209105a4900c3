package cfvlimit

import (
	"fmt"
	"testing"
	"time"
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
