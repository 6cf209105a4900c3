package cfvrollout

import "time"

// schedule holds the times of one roll-out, counted from its order. The target gets the canary share until almost
// the deadline, since a version may turn bad at any time. From then on it gets all requests, so the time that is
// left is what the allowed exposure covers.
type schedule struct {
	full     time.Duration // when the target version gets all requests
	finish   time.Duration // when the roll-out is completed if all went well
	decision time.Duration // when an unfinished roll-out is decided by the evidence that there is
}

// Times of the schedule.
const (
	fullPart          = 0.5 // part of the allowed share of the duration in which the target version gets all requests
	unboundedFullPart = 0.1 // of the duration, if the exposure is not bounded
	minFullTime       = 950 * time.Millisecond
	maxFullTime       = 4 * time.Second
	finishPart        = 0.5                    // part of that time that is left for the last write and its retries
	minFinishLeft     = 650 * time.Millisecond // operators read the status now and then
	maxFinishLeft     = 1500 * time.Millisecond
	decisionDelay     = 100 * time.Millisecond // after the planned end, an end with little evidence
)

func newSchedule(duration time.Duration, l Limits) schedule {
	part := fullPart * l.ExposureShare
	if l.ExposureShare == 0 {
		part = unboundedFullPart
	}
	full := min(max(time.Duration(part*float64(duration)), minFullTime), maxFullTime, duration/2)
	left := min(max(time.Duration(finishPart*float64(full)), minFinishLeft), maxFinishLeft, duration/4)
	return schedule{full: duration - full, finish: duration - left, decision: duration - left + decisionDelay}
}
