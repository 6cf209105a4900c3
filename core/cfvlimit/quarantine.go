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
)

// Suspicion lists the endpoint incarnations that crashed while they ran a request. Merging
// two suspicions keeps the union, so the list only grows until the suspicion expires.
type Suspicion struct {
	Fingerprint string // of the request
	Endpoints   []string
	Until       time.Time
}

// Quarantine remembers requests that crashed endpoints. It is not safe for concurrent
// use.
type Quarantine struct {
	threshold     int
	duration      time.Duration
	byFingerprint map[string]*suspectRequest
}

// QuarantineConfig configures a Quarantine.
type QuarantineConfig struct {
	CrashThreshold int           // crashed endpoints after which a request is refused
	Duration       time.Duration // how long a suspicion lasts
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
	return NewQuarantineWith(QuarantineConfig{CrashThreshold: defaultCrashThreshold, Duration: defaultDuration})
}

// NewQuarantineWith returns an empty quarantine with the given configuration.
func NewQuarantineWith(cfg QuarantineConfig) *Quarantine {
	return &Quarantine{threshold: cfg.CrashThreshold, duration: cfg.Duration, byFingerprint: make(map[string]*suspectRequest)}
}

// RecordResponse records that an endpoint responded to the request, so the request did not
// cause the earlier crashes.
func (q *Quarantine) RecordResponse(fingerprint string) { delete(q.byFingerprint, fingerprint) }

// RecordCrash records that an incarnation of an endpoint crashed while it ran the request,
// and returns the merged suspicion.
func (q *Quarantine) RecordCrash(now time.Time, fingerprint, endpointBoot string) Suspicion {
	q.Merge(now, Suspicion{fingerprint, []string{endpointBoot}, now.Add(q.duration)})
	s := q.byFingerprint[fingerprint]
	return Suspicion{fingerprint, s.endpointNames(), s.until}
}

// Merge adds a suspicion of this node or a peer and reports whether it contained endpoints
// that were not known before.
func (q *Quarantine) Merge(now time.Time, s Suspicion) bool {
	if !now.Before(s.Until) {
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
	var out []Suspicion
	for _, f := range fingerprints[:min(n, len(fingerprints))] {
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
