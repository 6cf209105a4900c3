package cfvlimit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Failure: two crashes at one moment sufficed to refuse that a request is sent again, as did crashes that a deadly part
// that the request lacks explains.
func TestWhenRequestMayBeSentAgain(t *testing.T) {
	tests := map[string]struct {
		setUp func(q *PartQuarantine, now time.Duration)
		want  bool
	}{
		"one crash": {want: true, setUp: func(q *PartQuarantine, now time.Duration) { crashAt(q, "p", now) }},
		"two crashes at one moment": {want: true, setUp: func(q *PartQuarantine, now time.Duration) {
			crashAt(q, "p", now, now+50*ms)
		}},
		"two crashes": {setUp: func(q *PartQuarantine, now time.Duration) { crashAt(q, "p", now, now+time.Second) }},
		"two crashes beside a deadly part": {want: true, setUp: func(q *PartQuarantine, now time.Duration) {
			crashAt(q, "p", now, now+time.Second)
			crashAt(q, "deadly", now, now+500*ms, now+time.Second)
		}},
		"two crashes, one beside a deadly part": {setUp: func(q *PartQuarantine, now time.Duration) {
			crashAt(q, "p", now, now+time.Second)
			crashAt(q, "deadly", now, now+500*ms, now+1500*ms)
		}},
		"answered before": {want: true, setUp: func(q *PartQuarantine, now time.Duration) {
			q.RecordAnswer(now, now-time.Second, "s", []string{"p"})
			crashAt(q, "p", now, now+time.Second)
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			q := NewPartQuarantine(DefaultPartConfig())
			tt.setUp(q, time.Minute)
			part, ok := q.MaySendAgain(time.Minute+2*time.Second, "s", []string{"p"})
			assert.Equal(t, ok, tt.want, fmt.Sprint("part ", part))
		})
	}
}
