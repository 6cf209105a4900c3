package cfvlimit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Failure: once a deadly part had more crashes than are kept of a part, a sound part that ran beside it looked
// unexplained and was blocked.
func TestSoundPartIsExplainedByManyCrashes(t *testing.T) {
	for _, crashes := range []int{maxCrashesPerPart, 40, 12 * maxCrashesPerPart} {
		for _, every := range []int{1, 6} {
			t.Run(fmt.Sprintf("%d crashes, each %d. also with the sound part", crashes, every), func(t *testing.T) {
				q := NewPartQuarantine(DefaultPartConfig())
				now := time.Minute
				q.RecordAnswer(now, now, "s", []string{"sound"})
				for i := range crashes {
					now += 60 * ms
					parts := []string{"deadly"}
					if i%every == every/2 {
						parts = append(parts, "sound")
					}
					q.RecordCrash(now, "s", parts, fmt.Sprint("e", i), false)
					q.RecordAnswer(now+ms, now+ms, "s", []string{"other"})
				}
				_, deadly := q.Blocked(now, "s", []string{"deadly"})
				_, sound := q.Blocked(now, "s", []string{"sound"})
				assert.Assert(t, deadly)
				assert.Assert(t, !sound)
			})
		}
	}
}
