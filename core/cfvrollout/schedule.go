package cfvrollout

import "time"

// rampShares are the shares of the target version after the canary share. Few requests go to a version that
// turns bad late, since these steps take the last part of the duration only.
var rampShares = []float64{0.2, 0.4, 1}

// stepsBeforeFull are the times of the steps before the last one, in intervals. The first step takes two, since
// slow responses are known late.
var stepsBeforeFull = []time.Duration{3, 1, 0}

// schedule holds the times of one roll-out, counted from its order.
type schedule struct {
	steps    []time.Duration // when each of rampShares is due
	finish   time.Duration   // when the roll-out is completed if all went well
	decision time.Duration   // when an unfinished roll-out is decided by the evidence that there is
	interval time.Duration   // between two steps
}

// Parts of the duration.
const (
	finishParts   = 10 // one in this many of the duration is left for the last write and its retries
	minFinishLeft = time.Second
	maxFinishLeft = 5 * time.Second
	stepParts     = 12
	minStep       = 500 * time.Millisecond
	maxStep       = 4 * time.Second
	drainParts    = 15 // the old endpoints finish their requests meanwhile
	minDrain      = 800 * time.Millisecond
	maxDrain      = 3 * time.Second
)

func newSchedule(duration time.Duration) schedule {
	left := min(max(duration/finishParts, minFinishLeft), maxFinishLeft, duration/2)
	step := min(max(duration/stepParts, minStep), maxStep)
	s := schedule{finish: duration - left, decision: duration - left/2, interval: step}
	full := s.finish - min(max(duration/drainParts, minDrain), maxDrain)
	for i := range rampShares {
		s.steps = append(s.steps, full-step*stepsBeforeFull[i])
	}
	return s
}
