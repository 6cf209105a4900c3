package cfventry

import (
	"slices"
	"time"

	"coltsfootvalve/core/cfvfleet"
)

// Times that tell whether an endpoint went down at a doubtful end.
const (
	crashSpread    = 250 * time.Millisecond // all connections of an endpoint that goes down end within this time
	doubtTime      = 3 * time.Second        // in which an endpoint that went down is found to be down
	minRestartTime = time.Second            // an endpoint that went down is not back sooner
	defaultSilence = 5 * time.Second        // Config.SilenceTime
	maxDoubtTime   = 20 * time.Second       // doubtful ends are forgotten then
)

// Limits of the doubtful ends that are kept.
const (
	maxDoubtfulEnds      = 32 // of each incarnation of an endpoint
	maxDoubtfulEndpoints = 1024
)

// doubtfulEnd is an answer without length or chunks that ended with its connection. It is whole if its endpoint survived the end.
type doubtfulEnd struct {
	endpoint    *cfvfleet.Endpoint
	at          time.Duration
	service     string
	fingerprint string
	parts       []string
	began       time.Duration // 0: it tells nothing of parts
	answering   bool          // several batches of events had arrived
}

// recordDoubtfulEnd keeps the end of an answer that may be whole or may have been broken off.
func (q *request) recordDoubtfulEnd(ep *cfvfleet.Endpoint, ok bool) {
	e := q.entry
	if e.leaves(ep) {
		return
	}
	d := doubtfulEnd{endpoint: ep, at: e.cfg.Now(), service: q.service.Name, fingerprint: q.fingerprint, parts: q.sharedPartIDs(), answering: q.answer.batches > 1}
	if ok && len(q.meta.Prompt.Parts) > 0 && !q.answer.recorded {
		d.began = q.answer.began
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dispatcher.FailedSince(ep.ID, d.at-crashSpread) {
		e.recordDown(d)
		return
	}
	id := incarnation(ep)
	list, known := e.doubtfulEnds[id]
	if !known && len(e.doubtfulEnds) >= maxDoubtfulEndpoints {
		return
	}
	if len(list) >= maxDoubtfulEnds { // the first ones will be settled next, and the last ones tell of a crash
		list = slices.Delete(list, maxDoubtfulEnds/2, maxDoubtfulEnds/2+1)
	}
	e.doubtfulEnds[id] = append(list, d)
}

// recordDown records that an endpoint went down at an end. The caller must hold e.mu.
func (e *Entry) recordDown(d doubtfulEnd) {
	id := incarnation(d.endpoint)
	e.cfg.Metrics.Count("endpoints.brokenOff", 1)
	e.parts.RecordCrash(e.cfg.Now(), d.service, d.parts, id, d.answering)
	e.quarantine.RecordCrash(time.Now(), d.fingerprint, id)
}

// recordSurvived records that an endpoint survived an end, so that the answer was whole. The caller must hold e.mu.
func (e *Entry) recordSurvived(d doubtfulEnd) {
	now := e.cfg.Now()
	e.quarantine.RecordResponse(time.Now().Add(d.at-now), d.fingerprint)
	if d.began > 0 {
		e.parts.RecordAnswer(now, d.began, d.service, d.parts)
	}
}

// confirmDoubtfulEnds records the last doubtful ends of an endpoint as broken off, since it is down. The caller must hold e.mu.
func (e *Entry) confirmDoubtfulEnds(ep *cfvfleet.Endpoint) {
	id, now := incarnation(ep), e.cfg.Now()
	for _, d := range e.doubtfulEnds[id] {
		if now-d.at <= doubtTime {
			e.recordDown(d)
		}
	}
	delete(e.doubtfulEnds, id)
}

// recordAlive records that an endpoint responded to a request that was sent at a time, over a connection that was opened at a time. It
// survived the ends before: the process is the same if the connection is older, and if there was no time to start again. The caller
// must hold e.mu.
func (e *Entry) recordAlive(ep *cfvfleet.Endpoint, connectedAt, sentAt time.Duration) {
	id, now := incarnation(ep), e.cfg.Now()
	list, ok := e.doubtfulEnds[id]
	if !ok {
		return
	}
	list = slices.DeleteFunc(list, func(d doubtfulEnd) bool {
		survived := sentAt-d.at >= crashSpread && (connectedAt < d.at || now-d.at < minRestartTime)
		if survived {
			e.recordSurvived(d)
		}
		return survived
	})
	if e.doubtfulEnds[id] = list; len(list) == 0 {
		delete(e.doubtfulEnds, id)
	}
}

// settleDoubtfulEnds settles the ends whose endpoints have announced themselves, or have not, for long enough since.
func (e *Entry) settleDoubtfulEnds() {
	now := e.cfg.Now()
	age, known := e.cfg.State.Age()
	current := make(map[string]cfvfleet.Incarnation)
	e.cfg.State.Read(func(v *cfvfleet.View) {
		for _, ep := range v.All() {
			current[ep.ID] = ep.Incarnation()
		}
	})
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, list := range e.doubtfulEnds {
		list = slices.DeleteFunc(list, func(d doubtfulEnd) bool {
			if !known || now-age-d.at < e.cfg.SilenceTime {
				return now-d.at > maxDoubtTime
			}
			have, listed := current[d.endpoint.ID]
			switch {
			case !listed || d.endpoint.StartMillis == 0: // it may have left, or started again
			case have != d.endpoint.Incarnation():
				e.recordDown(d)
			case !e.dispatcher.Failing(d.endpoint.ID):
				e.recordSurvived(d)
			}
			return true
		})
		if e.doubtfulEnds[id] = list; len(list) == 0 {
			delete(e.doubtfulEnds, id)
		}
	}
}
