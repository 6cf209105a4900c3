package cfvlimit

import (
	"sort"
	"time"
)

// Limits of the quarantine.
const (
	defaultCrashThreshold = 2
	defaultDuration       = 30 * time.Minute
	maxSuspicions         = 4096
	defaultAnsweredTTL    = 10 * time.Second // an answer shows for this long that the request ends no endpoint
	maxAnswered           = 8192             // in each of two generations
)

// Suspicion lists the endpoint incarnations that crashed while they ran a request. Merging
// two suspicions keeps the union, so the list only grows until the suspicion expires.
type Suspicion struct {
	Fingerprint string   // of the request
	Endpoints   []string // empty: the request was answered lately, so it is not suspected
	Until       time.Time
}

// Quarantine remembers requests that crashed endpoints. A request that crashes endpoints is never answered. One that many callers
// send is in progress at any endpoint that ends for a reason of its own, so a request that was answered lately is not suspected.
// A Quarantine is not safe for concurrent use.
type Quarantine struct {
	threshold     int
	duration      time.Duration
	answeredTTL   time.Duration
	byFingerprint map[string]*suspectRequest
	answered      map[string]time.Time // last answers by fingerprint
	older         map[string]time.Time // the generation of answered before this one
	cleared       map[string]int       // how often it was sent to peers that a request was answered, by fingerprint; only suspected ones
	rotatedAt     time.Time
}

// QuarantineConfig configures a Quarantine.
type QuarantineConfig struct {
	CrashThreshold int           // crashed endpoints after which a request is refused
	Duration       time.Duration // how long a suspicion lasts
	AnsweredTTL    time.Duration // how long an answer keeps a request from being suspected
}

// suspectRequest is the merged suspicion of one request.
type suspectRequest struct {
	endpoints map[string]bool
	until     time.Time
	timesSent int
}

// NewQuarantine returns an empty quarantine with a threshold of two crashes and a duration
// of half an hour.
func NewQuarantine() *Quarantine {
	return NewQuarantineWith(QuarantineConfig{CrashThreshold: defaultCrashThreshold, Duration: defaultDuration, AnsweredTTL: defaultAnsweredTTL})
}

// NewQuarantineWith returns an empty quarantine with the given configuration.
func NewQuarantineWith(cfg QuarantineConfig) *Quarantine {
	return &Quarantine{
		threshold: cfg.CrashThreshold, duration: cfg.Duration, answeredTTL: cfg.AnsweredTTL, byFingerprint: make(map[string]*suspectRequest),
		answered: make(map[string]time.Time), cleared: make(map[string]int),
	}
}

// RecordResponse records that an endpoint responded to the request at a time, so the request did not
// cause the crashes of that time.
func (q *Quarantine) RecordResponse(at time.Time, fingerprint string) {
	q.rotate(at)
	if at.After(q.answeredAt(fingerprint)) {
		q.answered[fingerprint] = at
	}
	if _, ok := q.byFingerprint[fingerprint]; ok {
		q.clear(fingerprint)
	}
}

// clear ends a suspicion against a request that was answered. Peers are told.
func (q *Quarantine) clear(fingerprint string) {
	delete(q.byFingerprint, fingerprint)
	if _, ok := q.cleared[fingerprint]; ok || len(q.cleared) < maxSuspicions {
		q.cleared[fingerprint] = 0
	}
}

// answeredLately reports whether the request was answered within AnsweredTTL.
func (q *Quarantine) answeredLately(now time.Time, fingerprint string) bool {
	return now.Sub(q.answeredAt(fingerprint)) < q.answeredTTL
}

// answeredAt returns when the request was answered last; the zero time if that is not known.
func (q *Quarantine) answeredAt(fingerprint string) time.Time {
	if at, ok := q.answered[fingerprint]; ok {
		return at
	}
	return q.older[fingerprint]
}

// rotate begins a new generation of answers when the present one is full or old.
func (q *Quarantine) rotate(now time.Time) {
	if len(q.answered) < maxAnswered && now.Sub(q.rotatedAt) < q.answeredTTL {
		return
	}
	q.older, q.answered, q.rotatedAt = q.answered, make(map[string]time.Time), now
}

// RecordCrash records that an incarnation of an endpoint crashed while it ran the request,
// and returns the merged suspicion, which is empty if the request was answered lately.
func (q *Quarantine) RecordCrash(now time.Time, fingerprint, endpointBoot string) Suspicion {
	q.Merge(now, Suspicion{fingerprint, []string{endpointBoot}, now.Add(q.duration)})
	s, ok := q.byFingerprint[fingerprint]
	if !ok {
		return Suspicion{Fingerprint: fingerprint, Until: now.Add(q.answeredTTL)}
	}
	return Suspicion{fingerprint, s.endpointNames(), s.until}
}

// Merge adds a suspicion of this node or a peer and reports whether it contained endpoints
// that were not known before.
func (q *Quarantine) Merge(now time.Time, s Suspicion) bool {
	if !now.Before(s.Until) {
		return false
	}
	if len(s.Endpoints) == 0 { // a peer got an answer, or knows of one; others hear of it from here
		if at := s.Until.Add(-q.answeredTTL); !at.Before(q.answeredAt(s.Fingerprint)) {
			q.rotate(now)
			q.answered[s.Fingerprint] = at
		}
		if _, ok := q.byFingerprint[s.Fingerprint]; ok {
			q.clear(s.Fingerprint)
		}
		return false
	}
	if q.answeredLately(now, s.Fingerprint) {
		q.clear(s.Fingerprint)
		return false
	}
	have, ok := q.byFingerprint[s.Fingerprint]
	if !ok {
		q.evictOldest()
		have = &suspectRequest{endpoints: make(map[string]bool)}
		q.byFingerprint[s.Fingerprint] = have
	}
	grew := false
	for _, e := range s.Endpoints {
		if !have.endpoints[e] {
			have.endpoints[e] = true
			grew = true
		}
	}
	if s.Until.After(have.until) {
		have.until = s.Until
	}
	if grew {
		have.timesSent = 0
	}
	return grew
}

// evictOldest deletes the suspicion that expires first if the table is full.
func (q *Quarantine) evictOldest() {
	if len(q.byFingerprint) < maxSuspicions {
		return
	}
	var oldest string
	for f, s := range q.byFingerprint {
		if oldest == "" || s.until.Before(q.byFingerprint[oldest].until) {
			oldest = f
		}
	}
	delete(q.byFingerprint, oldest)
}

// Blocked reports whether the request is quarantined.
func (q *Quarantine) Blocked(now time.Time, fingerprint string) bool {
	s, ok := q.byFingerprint[fingerprint]
	return ok && now.Before(s.until) && len(s.endpoints) >= q.threshold
}

// clearancesSent is how often peers are told that a suspected request was answered: a relay and the entries behind it are told in
// turn.
const clearancesSent = 32

// clearances returns up to half of n suspicions that have ended because the request was answered. Each is returned clearancesSent
// times.
func (q *Quarantine) clearances(n int) (out []Suspicion) {
	for f, sent := range q.cleared {
		if len(out) >= n/2 {
			break
		}
		if sent >= clearancesSent {
			delete(q.cleared, f)
			continue
		}
		q.cleared[f] = sent + 1
		out = append(out, Suspicion{Fingerprint: f, Until: q.answeredAt(f).Add(q.answeredTTL)})
	}
	return out
}

// Updates returns up to n suspicions to send to a peer, least often sent first. Each
// suspicion is returned at most maxSends times.
func (q *Quarantine) Updates(n, maxSends int) []Suspicion {
	var fingerprints []string
	for f, s := range q.byFingerprint {
		if s.timesSent < maxSends {
			fingerprints = append(fingerprints, f)
		}
	}
	sort.Slice(fingerprints, func(i, j int) bool {
		a, b := q.byFingerprint[fingerprints[i]], q.byFingerprint[fingerprints[j]]
		if a.timesSent != b.timesSent {
			return a.timesSent < b.timesSent
		}
		return fingerprints[i] < fingerprints[j]
	})
	out := q.clearances(n)
	for _, f := range fingerprints[:min(n-len(out), len(fingerprints))] {
		s := q.byFingerprint[f]
		s.timesSent++
		out = append(out, Suspicion{f, s.endpointNames(), s.until})
	}
	return out
}

func (s *suspectRequest) endpointNames() []string {
	out := make([]string, 0, len(s.endpoints))
	for e := range s.endpoints {
		out = append(out, e)
	}
	sort.Strings(out)
	return out
}

// Expire deletes expired suspicions.
func (q *Quarantine) Expire(now time.Time) {
	for f, s := range q.byFingerprint {
		if !now.Before(s.until) {
			delete(q.byFingerprint, f)
		}
	}
}
