package cfvlimit

import (
	"cmp"
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
	Spread           time.Duration // least time between the first and the last of these crashes
	UnansweredSpread time.Duration // the same for a part that was never answered
	RetryCrashes     int           // crashed endpoints from which a request with a part that was never answered isn't sent again
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
	maxAnsweredParts    = 4096 // in each generation
	maxServedServices   = 256
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
	served   map[string]time.Duration // when the newest answer of each service began
	answered map[PartKey]time.Duration
	older    map[PartKey]time.Duration // the generation of answered before this one
	changes  uint64                    // number of changes so far
	order    []PartKey                 // the parts in the order in which they are sent again
	peers    map[string]*peerProgress  // by peer
}

// peerProgress is how far a peer has been told of the changes.
type peerProgress struct {
	sent    uint64
	marked  uint64 // sent at markAt
	settled uint64 // sent at least resendTime ago
	resent  uint64
	markAt  time.Duration
	usedAt  time.Duration
}

// suspectPart is the merged evidence against a part.
type suspectPart struct {
	crashes   map[string]*partCrash // by endpoint incarnation
	open      int                   // crashes that no answer has cleared
	answered  bool
	changedAt time.Duration
	change    uint64 // number of the last change of any part, at this one's last change
}

type partCrash struct {
	at        time.Duration
	answering bool
	cleared   bool
}

// NewPartQuarantine returns an empty quarantine.
func NewPartQuarantine(cfg PartConfig) *PartQuarantine {
	return &PartQuarantine{
		cfg: cfg, parts: make(map[PartKey]*suspectPart), served: make(map[string]time.Duration), answered: make(map[PartKey]time.Duration),
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
	if now-c.at > q.cfg.MaxBlockTime {
		return
	}
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

// insert adds a crash and deletes the least important one if there are too many. It reports whether the
// added one is kept.
func (s *suspectPart) insert(endpoint string, c partCrash) bool {
	s.crashes[endpoint] = &c
	if !c.cleared {
		s.open++
	}
	if len(s.crashes) <= maxCrashesPerPart {
		return true
	}
	least := s.leastImportant()
	s.remove(least)
	return least != endpoint
}

// leastImportant returns the oldest of the crashes that are cleared. If none is, it returns one from the
// middle, since the first and the last ones tell when and for how long the part is blocked.
func (s *suspectPart) leastImportant() string {
	endpoints := slices.Collect(maps.Keys(s.crashes))
	slices.SortFunc(endpoints, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.crashes[a].at, s.crashes[b].at), cmp.Compare(a, b))
	})
	for _, e := range endpoints {
		if s.crashes[e].cleared {
			return e
		}
	}
	return endpoints[len(endpoints)/2]
}

// remove deletes the crash of an endpoint.
func (s *suspectPart) remove(endpoint string) {
	if !s.crashes[endpoint].cleared {
		s.open--
	}
	delete(s.crashes, endpoint)
}

// recordServed records when an answer of a service began.
func (q *PartQuarantine) recordServed(service string, began time.Duration) {
	if at, ok := q.served[service]; ok && began > at || !ok && len(q.served) < maxServedServices {
		q.served[service] = began
	}
}

// recordAnswered records when an answer on a part began. It keeps two generations, so that
// the table stays bounded.
func (q *PartQuarantine) recordAnswered(key PartKey, began time.Duration) {
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
func (q *PartQuarantine) MaySendAgain(service string, parts []string) (part string, ok bool) {
	for _, part := range parts {
		if s := q.parts[PartKey{service, part}]; s != nil && !s.answered && s.open >= q.cfg.RetryCrashes {
			return part, false
		}
	}
	return "", true
}

// suspected reports whether the crashes with a part suffice to block it. While nothing of the service is
// answered, other parts look alike; then only more crashes with a part that was never answered do.
func (q *PartQuarantine) suspected(now time.Duration, key PartKey) bool {
	s := q.parts[key]
	if s.open < q.cfg.Crashes {
		return false
	}
	list := s.uncleared()
	served, ok := q.served[key.Service]
	if !ok || served <= list[0].at && (s.answered || len(list) < q.cfg.CrashesInOutage) {
		return false
	}
	until, ok := q.blockedUntil(s, list)
	return ok && now < until
}

// blockedUntil returns the end of the block that the uncleared crashes of a part, in the order of their
// times, lead to.
func (q *PartQuarantine) blockedUntil(s *suspectPart, list []partCrash) (until time.Duration, ok bool) {
	spread := q.cfg.Spread
	if !s.answered {
		spread = q.cfg.UnansweredSpread
	}
	waiting := 0
	blockTime := q.cfg.BlockTime
	for i, c := range list {
		if !c.answering {
			waiting++
		}
		switch enough := waiting >= q.cfg.Crashes || i+1 >= q.cfg.AnsweringCrashes; {
		case !enough || c.at-list[0].at < spread:
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
	for other, o := range q.parts {
		if other.Service != key.Service || slices.Contains(request, other.Part) || !q.suspected(now, other) {
			continue
		}
		if o.answered && !s.answered || o.answered == s.answered && o.open < s.open {
			continue
		}
		for e := range o.unclearedByEndpoint() {
			delete(left, e)
		}
	}
	return len(left) == 0
}

// uncleared returns the crashes that no answer has cleared, in the order of their times.
func (s *suspectPart) uncleared() (out []partCrash) {
	for _, c := range s.crashes {
		if !c.cleared {
			out = append(out, *c)
		}
	}
	slices.SortFunc(out, func(a, b partCrash) int { return cmp.Compare(a.at, b.at) })
	return out
}

func (s *suspectPart) unclearedByEndpoint() map[string]bool {
	out := make(map[string]bool, len(s.crashes))
	for e, c := range s.crashes {
		if !c.cleared {
			out[e] = true
		}
	}
	return out
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
		list := s.uncleared()
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
	if len(q.order) > 2*maxSuspectParts {
		q.order = slices.SortedFunc(maps.Keys(q.parts), compareKeys)
	}
	for name, p := range q.peers {
		if now-p.usedAt > peerRetention {
			delete(q.peers, name)
		}
	}
}

// Update returns what a peer should know: the changes since the last update for this peer, about
// once a second the parts with several crashes, and of the other parts a few in turn. A change is sent twice, since an
// update may get lost.
func (q *PartQuarantine) Update(now time.Duration, peer string) PartUpdate {
	if len(q.parts) == 0 {
		return PartUpdate{}
	}
	p, due := q.progress(now, peer)
	var urgent, changed, repeated []PartKey
	for key, s := range q.parts {
		switch {
		case s.open >= q.cfg.Crashes && (due || s.change > p.sent):
			urgent = append(urgent, key)
		case s.change > p.sent:
			changed = append(changed, key)
		case s.change > p.resent && s.change <= p.settled:
			repeated = append(repeated, key)
		}
	}
	urgent, rest := q.mostCrashes(urgent, maxUrgentPerUpdate)
	changed, p.sent = q.firstChanged(append(changed, q.changedSince(rest, p.sent)...), maxChangedPerUpdate, q.changes)
	repeated, p.resent = q.firstChanged(repeated, maxRepeatsPerUpdate, p.settled)
	keys := slices.Concat(urgent, changed, repeated, q.rotate(maxRotatedPerUpdate))
	out := PartUpdate{Served: make(map[string]time.Duration)}
	for _, key := range keys {
		out.Suspicions = append(out.Suspicions, q.suspicion(now, key))
		if at, ok := q.served[key.Service]; ok {
			out.Served[key.Service] = now - at
		}
	}
	return out
}

// progress returns how far a peer has been told of the changes, and whether it is due to be told of the
// parts with several crashes again.
func (q *PartQuarantine) progress(now time.Duration, peer string) (p *peerProgress, due bool) {
	p = q.peers[peer]
	if p == nil {
		p = &peerProgress{markAt: now}
		q.peers[peer] = p
	}
	p.usedAt = now
	if due = now-p.markAt >= resendTime; due {
		p.settled, p.marked, p.markAt = p.marked, p.sent, now
	}
	return p, due
}

// rotate returns the next n parts of all that have uncleared crashes, in turn.
func (q *PartQuarantine) rotate(n int) (out []PartKey) {
	for range min(n, len(q.order)) {
		key := q.order[0]
		q.order = q.order[1:]
		if s := q.parts[key]; s != nil {
			q.order = append(q.order, key)
			if s.open > 0 {
				out = append(out, key)
			}
		}
	}
	return out
}

// firstChanged returns the n parts that changed first, and the last change up to which they are complete;
// last if all parts are among them.
func (q *PartQuarantine) firstChanged(keys []PartKey, n int, last uint64) ([]PartKey, uint64) {
	if len(keys) <= n {
		return keys, last
	}
	slices.SortFunc(keys, func(a, b PartKey) int { return cmp.Compare(q.parts[a].change, q.parts[b].change) })
	return keys[:n], q.parts[keys[n-1]].change
}

// changedSince returns the parts that changed after a change.
func (q *PartQuarantine) changedSince(keys []PartKey, change uint64) (out []PartKey) {
	for _, key := range keys {
		if q.parts[key].change > change {
			out = append(out, key)
		}
	}
	return out
}

// mostCrashes returns the n parts with most crashes, of these the ones that changed last, and the rest.
func (q *PartQuarantine) mostCrashes(keys []PartKey, n int) (most, rest []PartKey) {
	if len(keys) <= n {
		return keys, nil
	}
	slices.SortFunc(keys, func(a, b PartKey) int {
		x, y := q.parts[a], q.parts[b]
		return cmp.Or(cmp.Compare(y.open, x.open), cmp.Compare(y.change, x.change))
	})
	return keys[:n], keys[n:]
}

func compareKeys(a, b PartKey) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Part, b.Part))
}

// suspicion returns the evidence against a part, in the order of the endpoints.
func (q *PartQuarantine) suspicion(now time.Duration, key PartKey) PartSuspicion {
	s := q.parts[key]
	out := PartSuspicion{PartKey: key, Answered: s.answered}
	for e, c := range s.crashes {
		out.Crashes = append(out.Crashes, PartCrash{Endpoint: e, Age: now - c.at, Answering: c.answering, Cleared: c.cleared})
	}
	slices.SortFunc(out.Crashes, func(a, b PartCrash) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
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
