package cfvlimit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Failure: when updates were lost for four seconds, a peer never learned that the crashes with a part were cleared, and
// went on to block it.
func TestLostClearingIsToldAgain(t *testing.T) {
	for _, others := range []int{0, 7, 100} {
		t.Run(fmt.Sprint(others, " other parts"), func(t *testing.T) {
			q, peer := NewPartQuarantine(DefaultPartConfig()), NewPartQuarantine(DefaultPartConfig())
			now := time.Minute
			for i := range others {
				q.RecordCrash(now, "s", []string{fmt.Sprint("other", i)}, "e", false)
			}
			for i := range 3 {
				now += time.Second
				q.RecordCrash(now, "s", []string{"p"}, fmt.Sprint("e", i), false)
				q.RecordAnswer(now+ms, now+ms, "s", []string{"another"})
			}
			peer.Merge(now, q.Update(now, "peer"))
			now += 100 * ms
			q.RecordAnswer(now, now, "s", []string{"p"})
			for range 20 {
				now += 200 * ms
				q.Update(now, "peer")
			}
			_, blocked := peer.Blocked(now, "s", []string{"p"})
			assert.Assert(t, blocked, "the peer doesn't know yet")
			for range 30 {
				now += 200 * ms
				peer.Merge(now, q.Update(now, "peer"))
				q.Update(now, "another peer") // must not take this one's turn
			}
			_, blocked = peer.Blocked(now, "s", []string{"p"})
			assert.Assert(t, !blocked)
		})
	}
}
