package cfvlimit

import (
	"slices"
	"time"
)

// recordServed records when an answer of a service began. Of answers that began soon after each other it
// keeps the first, and besides the newest.
func (q *PartQuarantine) recordServed(service string, began time.Duration) {
	list, ok := q.served[service]
	n := len(list)
	switch {
	case !ok && len(q.served) >= maxServedServices || n > 0 && began <= list[n-1]:
		return
	case n > 1 && began-list[n-2] < servedInterval:
		list[n-1] = began
	default:
		list = append(list, began)
	}
	q.served[service] = list[max(len(list)-maxServedTimes, 0):]
}

// recordDown records that an incarnation of an endpoint went down.
func (q *PartQuarantine) recordDown(service, endpoint string, at time.Duration) {
	downs := q.downs[service]
	if downs == nil {
		downs = make(map[string]time.Duration)
		q.downs[service] = downs
	}
	if have, ok := downs[endpoint]; ok && at < have || !ok && len(downs) < maxDowns {
		downs[endpoint] = at
	}
}

// inMassFailure reports whether several endpoints of a service went down about the given time.
func (q *PartQuarantine) inMassFailure(service string, at time.Duration) bool {
	n := 0
	for _, down := range q.downs[service] {
		if (down - at).Abs() <= massWindow/2 {
			n++
		}
	}
	return n >= massFailure
}

// counted returns the crashes that count against a part, in the order of their times. A mass failure tells
// nothing about a part that was answered before.
func (q *PartQuarantine) counted(service string, s *suspectPart) []partCrash {
	list := s.uncleared()
	if !s.answered {
		return list
	}
	return slices.DeleteFunc(list, func(c partCrash) bool { return q.inMassFailure(service, c.at) })
}

// lastServed returns when the newest answer of a service began.
func (q *PartQuarantine) lastServed(service string) (at time.Duration, ok bool) {
	list := q.served[service]
	if len(list) == 0 {
		return 0, false
	}
	return list[len(list)-1], true
}

// servedBetween reports whether an answer of a service began after one time and before another. What is
// older than the recorded times counts as served.
func (q *PartQuarantine) servedBetween(service string, after, before time.Duration) bool {
	list := q.served[service]
	i, _ := slices.BinarySearch(list, after+1)
	return i == 0 && len(list) == maxServedTimes || i < len(list) && list[i] < before
}

// recordAnswered records when an answer on a part began. It keeps two generations, so that
// the table stays bounded.
func (q *PartQuarantine) recordAnswered(key PartKey, began time.Duration) {
	if len(key.Part) > maxPartBytes {
		return
	}
	if at, ok := q.lastAnswer(key); ok && at > began {
		began = at
	}
	if _, ok := q.answered[key]; !ok && len(q.answered) >= maxAnsweredParts {
		q.older, q.answered = q.answered, make(map[PartKey]time.Duration)
	}
	q.answered[key] = began
}

// lastAnswer returns when the newest answer on a part began at this entry.
func (q *PartQuarantine) lastAnswer(key PartKey) (at time.Duration, ok bool) {
	if at, ok = q.answered[key]; ok {
		return at, true
	}
	at, ok = q.older[key]
	return at, ok
}
