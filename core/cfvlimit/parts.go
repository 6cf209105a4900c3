package cfvlimit

import (
	"maps"
	"slices"
	"time"
)

// PartKey names a part of the prompts that a service's endpoints run.
type PartKey struct {
	Service string
	Part    string
}

// PartCrash is the crash of an endpoint while it ran a request with a part.
type PartCrash struct {
	Endpoint  string // with its incarnation
	Age       time.Duration
	Answering bool // each such request had got several events before
	Cleared   bool // an answer on the part began later and went on
}

// PartSuspicion lists the crashes with a part.
type PartSuspicion struct {
	PartKey
	Crashes  []PartCrash
	Answered bool // the part has been answered at some time
}

// PartUpdate is what an entry tells its peers about parts.
type PartUpdate struct {
	Suspicions []PartSuspicion
	Served     map[string]time.Duration // time since the newest answer of each service began
}

// PartConfig configures a PartQuarantine.
type PartConfig struct {
	Crashes          int           // crashed endpoints from which a part is blocked
	AnsweringCrashes int           // the same, if requests count that had got several events
	CrashesInOutage  int           // the same, while nothing else of the service is answered either
	Spread           time.Duration // least time between the moments of these crashes
	UnansweredSpread time.Duration // the same for a part that was never answered
	RetryCrashes     int           // crashed endpoints, UnansweredSpread apart, from which a request with a part that was never answered is not sent again
	BlockTime        time.Duration // how long a part is blocked after its last crash; doubled each time it crashes again afterwards
	MaxBlockTime     time.Duration
	Retention        time.Duration // how long the crashes of a part that was never blocked are kept
}

// DefaultPartConfig returns the configuration for a fleet of entries.
func DefaultPartConfig() PartConfig {
	return PartConfig{
		Crashes: 3, AnsweringCrashes: 5, CrashesInOutage: 5, Spread: time.Second, UnansweredSpread: 300 * time.Millisecond, RetryCrashes: 2,
		BlockTime: 3 * time.Minute, MaxBlockTime: time.Hour,
		Retention: 10 * time.Minute,
	}
}

// Limits of the tables and messages about parts.
const (
	maxSuspectParts     = 2048
	maxCrashesPerPart   = 16
	maxDroppedPerPart   = 256  // crashes of which only the endpoint and the time are kept
	maxPartBytes        = 256  // parts with longer names are not remembered
	maxAnsweredParts    = 4096 // in each generation
	maxServedServices   = 256
	maxServedTimes      = 256  // of each service
	maxDowns            = 2048 // of each service
	moments             = 2    // at which crashes with a part must be
	momentsIfAnswered   = 3    // the same for a part that was answered before
	massFailure         = 5    // endpoints that go down within massWindow
	massWindow          = 200 * time.Millisecond
	servedInterval      = 250 * time.Millisecond
	maxUrgentPerUpdate  = 16
	maxChangedPerUpdate = 128
	maxRepeatsPerUpdate = 64
	maxRotatedPerUpdate = 4
	resendTime          = time.Second // after which a change is sent once more, or after twice as long
	peerRetention       = time.Minute
)

// PartQuarantine finds the parts of prompts that crash the endpoints that begin to answer
// on them. It counts the crashes of each part until an answer on the part clears them. It
// is not safe for concurrent use.
type PartQuarantine struct {
	cfg      PartConfig
	parts    map[PartKey]*suspectPart
	served   map[string][]time.Duration          // when answers of each service began, the oldest first
	downs    map[string]map[string]time.Duration // crashes by service and endpoint incarnation
	answered map[PartKey]time.Duration
	older    map[PartKey]time.Duration // the generation of answered before this one
	changes  uint64                    // number of changes so far
	order    []PartKey                 // the parts in the order in which they are sent again
	peers    map[string]*peerProgress  // by peer
}

// NewPartQuarantine returns an empty quarantine.
func NewPartQuarantine(cfg PartConfig) *PartQuarantine {
	return &PartQuarantine{
		cfg: cfg, parts: make(map[PartKey]*suspectPart), served: make(map[string][]time.Duration), answered: make(map[PartKey]time.Duration),
		downs: make(map[string]map[string]time.Duration),
		peers: make(map[string]*peerProgress),
	}
}

// RecordCrash records that an incarnation of an endpoint crashed while it ran a request
// with the given parts.
func (q *PartQuarantine) RecordCrash(now time.Duration, service string, parts []string, endpoint string, answering bool) {
	for _, part := range parts {
		q.addCrash(now, PartKey{service, part}, endpoint, partCrash{at: now, answering: answering})
	}
}

// RecordAnswer records that an answer on the given parts began at a time and went on. An
// endpoint does not survive the begin of an answer on a part that crashes endpoints, so the
// crashes before are cleared.
func (q *PartQuarantine) RecordAnswer(now, began time.Duration, service string, parts []string) {
	q.recordServed(service, began)
	for _, part := range parts {
		key := PartKey{service, part}
		q.recordAnswered(key, began)
		s := q.parts[key]
		if s == nil {
			continue
		}
		if !s.answered {
			s.answered = true
			q.markChanged(now, s)
		}
		for _, c := range s.crashes {
			if !c.cleared && c.at < began {
				c.cleared = true
				s.open--
				q.markChanged(now, s)
			}
		}
	}
}

// Merge adds what a peer reported. A crash is dated by its age at the arrival of the report
// and thus never before it happened.
func (q *PartQuarantine) Merge(now time.Duration, u PartUpdate) {
	for service, age := range u.Served {
		q.recordServed(service, now-max(age, 0))
	}
	for _, s := range u.Suspicions {
		for _, c := range s.Crashes {
			q.addCrash(now, s.PartKey, c.Endpoint, partCrash{at: now - max(c.Age, 0), answering: c.Answering, cleared: c.Cleared})
		}
		if have := q.parts[s.PartKey]; have != nil && s.Answered && !have.answered {
			have.answered = true
			q.markChanged(now, have)
		}
	}
}

// addCrash merges a crash into the evidence against a part.
func (q *PartQuarantine) addCrash(now time.Duration, key PartKey, endpoint string, c partCrash) {
	if now-c.at > q.cfg.MaxBlockTime || len(key.Part) > maxPartBytes {
		return
	}
	q.recordDown(key.Service, endpoint, c.at)
	s := q.parts[key]
	if s == nil {
		q.evictPart()
		s = &suspectPart{crashes: make(map[string]*partCrash)}
		_, s.answered = q.lastAnswer(key)
		q.parts[key] = s
		q.order = append(q.order, key)
	}
	have := s.crashes[endpoint]
	if have == nil {
		if began, ok := q.lastAnswer(key); ok && c.at < began {
			c.cleared = true
		}
		if s.insert(endpoint, c) {
			q.markChanged(now, s)
		}
		return
	}
	have.at = min(have.at, c.at)
	if have.answering && !c.answering {
		have.answering = false
		q.markChanged(now, s)
	}
	if !have.cleared && c.cleared {
		have.cleared = true
		s.open--
		q.markChanged(now, s)
	}
}

// markChanged records that the evidence against a part changed, so that peers are told.
func (q *PartQuarantine) markChanged(now time.Duration, s *suspectPart) {
	q.changes++
	s.change = q.changes
	s.changedAt = now
}

// Blocked returns the first of a request's parts because of which it is refused.
func (q *PartQuarantine) Blocked(now time.Duration, service string, parts []string) (part string, blocked bool) {
	for _, part := range parts {
		key := PartKey{service, part}
		if q.parts[key] != nil && q.suspected(now, key) && !q.explained(now, key, parts) {
			return part, true
		}
	}
	return "", false
}

// MaySendAgain reports whether a request that an endpoint crashed under may be sent to another one. It
// returns the part because of which it may not.
func (q *PartQuarantine) MaySendAgain(now time.Duration, service string, parts []string) (part string, ok bool) {
	for _, part := range parts {
		key := PartKey{service, part}
		s := q.parts[key]
		if s == nil || s.answered || s.open < q.cfg.RetryCrashes {
			continue
		}
		list := s.uncleared()
		if list[len(list)-1].at-list[0].at >= q.cfg.UnansweredSpread && !q.explained(now, key, parts) {
			return part, false
		}
	}
	return "", true
}

// suspected reports whether the crashes with a part suffice to block it. While nothing of the service is
// answered, other parts look alike. Then a part that was never answered needs more crashes, and one that was
// is not blocked: there must be answers between its crashes.
func (q *PartQuarantine) suspected(now time.Duration, key PartKey) bool {
	s := q.parts[key]
	if s.open < q.cfg.Crashes {
		return false
	}
	list := q.counted(key.Service, s)
	if len(list) == 0 {
		return false
	}
	first, last := list[0].at, list[len(list)-1].at
	served, ok := q.lastServed(key.Service)
	switch {
	case !ok:
		return false
	case s.answered && !q.servedBetween(key.Service, first, last):
		return false
	case served <= first && len(list) < q.cfg.CrashesInOutage:
		return false
	}
	until, ok := q.blockedUntil(s, list)
	return ok && now < until
}

// blockedUntil returns the end of the block that the uncleared crashes of a part, in the order of their
// times, lead to.
func (q *PartQuarantine) blockedUntil(s *suspectPart, list []partCrash) (until time.Duration, ok bool) {
	spread, needed := q.cfg.Spread, momentsIfAnswered
	if !s.answered {
		spread, needed = q.cfg.UnansweredSpread, moments
	}
	waiting, seen := 0, 0
	var moment time.Duration
	blockTime := q.cfg.BlockTime
	for i, c := range list {
		if i == 0 || c.at-moment >= spread {
			seen++
			moment = c.at
		}
		if !c.answering {
			waiting++
		}
		switch enough := waiting >= q.cfg.Crashes || i+1 >= q.cfg.AnsweringCrashes; {
		case !enough || seen < needed:
			continue
		case ok && c.at > until:
			blockTime = min(2*blockTime, q.cfg.MaxBlockTime)
		}
		until, ok = c.at+blockTime, true
	}
	return until, ok
}

// explained reports whether other parts, which the request doesn't have, explain each crash
// with a part: each was also a crash with one of these, and they are at least as suspect.
// Parts that were never answered are more suspect than the others, and of parts that are alike
// in this the one with more crashes is.
func (q *PartQuarantine) explained(now time.Duration, key PartKey, request []string) bool {
	s := q.parts[key]
	left := s.unclearedByEndpoint()
	total := len(left)
	for len(left) > 0 {
		before := len(left)
		for e := range left {
			if o := q.explainer(now, key, e, total, request); o != nil {
				for e := range o.unclearedByEndpoint() {
					delete(left, e)
				}
			}
			break
		}
		if len(left) == before {
			return false
		}
	}
	return true
}

// explainer returns a part that explains a crash with a part that has a number of uncleared crashes; nil if there is
// none. What costs most is asked last.
func (q *PartQuarantine) explainer(now time.Duration, key PartKey, endpoint string, total int, request []string) *suspectPart {
	s := q.parts[key]
	for other, o := range q.parts {
		if o.open < q.cfg.Crashes || o.answered && !s.answered || !o.mayHave(endpoint) || other.Service != key.Service {
			continue
		}
		if slices.Contains(request, other.Part) || !q.suspected(now, other) {
			continue
		}
		if crashes := o.unclearedByEndpoint(); crashes[endpoint] && (o.answered != s.answered || len(crashes) >= total) {
			return o
		}
	}
	return nil
}

// evictPart deletes the part with the fewest crashes, of these the one that changed first,
// if the table is full.
func (q *PartQuarantine) evictPart() {
	if len(q.parts) < maxSuspectParts {
		return
	}
	var least PartKey
	fewest := -1
	for key, s := range q.parts {
		if fewest < 0 || s.open < fewest || s.open == fewest && s.changedAt < q.parts[least].changedAt {
			least, fewest = key, s.open
		}
	}
	delete(q.parts, least)
}

// Expire deletes evidence that no longer counts.
func (q *PartQuarantine) Expire(now time.Duration) {
	for key, s := range q.parts {
		list := q.counted(key.Service, s)
		until, blocked := q.blockedUntil(s, list)
		for e, c := range s.crashes {
			if now-c.at > q.cfg.Retention && (c.cleared || !blocked) {
				s.remove(e)
			}
		}
		probation := min(2*q.cfg.BlockTime, q.cfg.MaxBlockTime)
		if len(s.crashes) == 0 || blocked && now > until+probation {
			delete(q.parts, key)
		}
	}
	q.order = slices.DeleteFunc(q.order, func(key PartKey) bool { return q.parts[key] == nil })
	if len(q.order) > 2*maxSuspectParts { // evicted parts that came back are in it twice
		q.order = slices.SortedFunc(maps.Keys(q.parts), compareKeys)
	}
	for _, downs := range q.downs {
		maps.DeleteFunc(downs, func(_ string, at time.Duration) bool { return now-at > q.cfg.Retention })
	}
	for name, p := range q.peers {
		if now-p.usedAt > peerRetention {
			delete(q.peers, name)
		}
	}
}

// Evidence returns what is known against a part.
func (q *PartQuarantine) Evidence(now time.Duration, key PartKey) PartSuspicion {
	if q.parts[key] == nil {
		return PartSuspicion{PartKey: key}
	}
	return q.suspicion(now, key)
}

// BlockedParts returns the evidence against the parts that are blocked, in the order of their names.
func (q *PartQuarantine) BlockedParts(now time.Duration) (out []PartSuspicion) {
	for key := range q.parts {
		if _, blocked := q.Blocked(now, key.Service, []string{key.Part}); blocked {
			out = append(out, q.suspicion(now, key))
		}
	}
	slices.SortFunc(out, func(a, b PartSuspicion) int { return compareKeys(a.PartKey, b.PartKey) })
	return out
}
