package cfventry

import (
	"fmt"
	"time"

	"coltsfootvalve/common/cfverror"
	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvlimit"
)

// minAnswerTime is how long an answer must go on until it shows that its endpoint survived the begin.
const minAnswerTime = 500 * time.Millisecond

// answerProgress is the progress of the answer that an attempt receives.
type answerProgress struct {
	began    time.Duration
	batches  int  // batches of events
	recorded bool // the answer has cleared the parts of the prompt
	crashed  bool // the last endpoint that went down did so before the answer had gone on
	unframed bool // it has neither a length nor chunks, so it ends like one whose endpoint goes down
}

// sharedPartIDs returns the IDs of the parts of the prompt that other requests may have.
func (q *request) sharedPartIDs() []string {
	parts := q.meta.Prompt.SharedParts()
	out := make([]string, 0, len(parts))
	for _, p := range parts {
		out = append(out, p.ID)
	}
	return out
}

// incarnation identifies one start of an endpoint.
func incarnation(ep *cfvfleet.Endpoint) string { return fmt.Sprintf("%s/%d", ep.ID, ep.StartMillis) }

// recordPartsAnswered records that the endpoint survived the begin of its answer.
func (q *request) recordPartsAnswered() {
	if len(q.meta.Prompt.Parts) == 0 || q.answer.recorded || q.answer.began == 0 {
		return
	}
	q.answer.recorded = true
	e := q.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	e.parts.RecordAnswer(e.cfg.Now(), q.answer.began, q.service.Name, q.sharedPartIDs())
}

// recordAnswering records that a batch of events has arrived.
func (q *request) recordAnswering() {
	now := q.entry.cfg.Now()
	if q.answer.batches == 0 {
		q.answer.began = now
	}
	q.answer.batches++
	if q.answer.batches > 1 && now-q.answer.began >= minAnswerTime {
		q.recordPartsAnswered()
	}
}

// partRefusal returns a refusal if a part of the prompt crashes endpoints.
func (q *request) partRefusal() *httpRefusal {
	q.entry.mu.Lock()
	defer q.entry.mu.Unlock()
	return q.partRefusalLocked()
}

// partRefusalLocked is partRefusal for callers that hold the entry's lock.
func (q *request) partRefusalLocked() *httpRefusal {
	if len(q.meta.Prompt.Parts) < 2 {
		return nil
	}
	e, now := q.entry, q.entry.cfg.Now()
	part, blocked := e.parts.Blocked(now, q.service.Name, q.sharedPartIDs())
	if !blocked && q.answer.crashed && !q.stream.hasStarted() {
		suspect, ok := e.parts.MaySendAgain(now, q.service.Name, q.sharedPartIDs())
		part, blocked = suspect, !ok
	}
	if !blocked {
		return nil
	}
	if q.stream.hasStarted() {
		q.abortStream("part " + part + " of the prompt takes endpoints down")
	}
	evidence := e.parts.Evidence(now, cfvlimit.PartKey{Service: q.service.Name, Part: part})
	return q.retryLater(quarantineRetryAfter, cfverror.ReasonPartQuarantined, "part %s of the prompt takes endpoints of %s down: %s", part, q.service.Name, describeCrashes(evidence))
}

// describeCrashes returns the endpoints that a part took down and how long ago.
func describeCrashes(s cfvlimit.PartSuspicion) (out string) {
	for _, c := range s.Crashes {
		if !c.Cleared {
			out += fmt.Sprintf("%s %s ago, ", c.Endpoint, c.Age.Round(time.Millisecond))
		}
	}
	if len(out) > 2 {
		out = out[:len(out)-2]
	}
	return out
}

// cleanUpParts removes evidence that no longer counts, and logs which parts are blocked and which no longer.
func (e *Entry) cleanUpParts() {
	e.settleDoubtfulEnds()
	now := e.cfg.Now()
	e.mu.Lock()
	e.parts.Expire(now)
	list := e.parts.BlockedParts(now)
	before := e.blockedParts
	e.blockedParts = make(map[cfvlimit.PartKey]bool, len(list))
	for _, s := range list {
		e.blockedParts[s.PartKey] = true
	}
	e.mu.Unlock()
	e.cfg.Metrics.Gauge("parts.blocked", int64(len(list)))
	for _, s := range list {
		if !before[s.PartKey] {
			e.cfg.Metrics.Count("parts.blocks", 1)
			e.cfg.Log.Warnw("a part of prompts takes endpoints down; requests with it are refused", "service", s.Service, "part", s.Part, "crashes", describeCrashes(s))
		}
		delete(before, s.PartKey)
	}
	for key := range before {
		e.cfg.Log.Infow("a part of prompts is no longer refused", "service", key.Service, "part", key.Part)
	}
}

// PartUpdate returns what a peer should know about parts of prompts that crash endpoints.
func (e *Entry) PartUpdate(peer string) cfvlimit.PartUpdate {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.parts.Update(e.cfg.Now(), peer)
}

// MergeParts merges what a peer reported about parts of prompts.
func (e *Entry) MergeParts(u cfvlimit.PartUpdate) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.parts.Merge(e.cfg.Now(), u)
}
