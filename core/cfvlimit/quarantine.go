package cfvlimit

import (
	"sort"
	"time"
)

// Bounds of the quarantine.
const (
	crashesToQuarantine = 2
	suspicionLength     = 30 * time.Minute
	maxSuspicions       = 4096
)

// Suspicion names the boots of endpoints that went down while they ran a request. Merging
// keeps the union, so it only grows until it runs out.
type Suspicion struct {
	Fingerprint string
	Endpoints   []string
	Until       time.Time
}

// Quarantine remembers requests that crashed endpoints. It is not safe for concurrent
// use.
type Quarantine struct {
	crashes int
	length  time.Duration
	byPrint map[string]*suspect
}

// QuarantineConfig configures a Quarantine.
type QuarantineConfig struct {
	CrashThreshold int           // endpoints that a request takes down before it is refused
	Duration       time.Duration // how long a suspicion lasts
}

type suspect struct {
	endpoints map[string]bool
	until     time.Time
	sent      int
}

// NewQuarantine returns an empty quarantine of two crashes and half an hour.
func NewQuarantine() *Quarantine {
	return NewQuarantineWith(QuarantineConfig{CrashThreshold: crashesToQuarantine, Duration: suspicionLength})
}

// NewQuarantineWith returns an empty quarantine.
func NewQuarantineWith(cfg QuarantineConfig) *Quarantine {
	return &Quarantine{crashes: cfg.CrashThreshold, length: cfg.Duration, byPrint: make(map[string]*suspect)}
}

// Served notes that an endpoint answered the request, so that the crashes that it met were
// not its own.
func (q *Quarantine) RecordResponse(fingerprint string) { delete(q.byPrint, fingerprint) }

// Crashed notes that an endpoint at one boot went down while it ran the request, and
// returns what is suspected of the request by now.
func (q *Quarantine) RecordCrash(now time.Time, fingerprint, endpointBoot string) Suspicion {
	q.Merge(now, Suspicion{fingerprint, []string{endpointBoot}, now.Add(q.length)})
	s := q.byPrint[fingerprint]
	return Suspicion{fingerprint, s.names(), s.until}
}

// Merge takes a suspicion of this node or a peer and reports whether it says anything
// new.
func (q *Quarantine) Merge(now time.Time, s Suspicion) bool {
	if !now.Before(s.Until) {
		return false
	}
	have, ok := q.byPrint[s.Fingerprint]
	if !ok {
		q.makeRoom()
		have = &suspect{endpoints: make(map[string]bool)}
		q.byPrint[s.Fingerprint] = have
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
		have.sent = 0
	}
	return grew
}

// makeRoom forgets the suspicion that runs out first when there are too many.
func (q *Quarantine) makeRoom() {
	if len(q.byPrint) < maxSuspicions {
		return
	}
	var oldest string
	for f, s := range q.byPrint {
		if oldest == "" || s.until.Before(q.byPrint[oldest].until) {
			oldest = f
		}
	}
	delete(q.byPrint, oldest)
}

// Blocked reports whether the request is quarantined.
func (q *Quarantine) Blocked(now time.Time, fingerprint string) bool {
	s, ok := q.byPrint[fingerprint]
	return ok && now.Before(s.until) && len(s.endpoints) >= q.crashes
}

// Updates returns up to n suspicions to send to a peer, those sent least often first and
// none more than most times.
func (q *Quarantine) Updates(n, most int) []Suspicion {
	var prints []string
	for f, s := range q.byPrint {
		if s.sent < most {
			prints = append(prints, f)
		}
	}
	sort.Slice(prints, func(i, j int) bool {
		a, b := q.byPrint[prints[i]], q.byPrint[prints[j]]
		if a.sent != b.sent {
			return a.sent < b.sent
		}
		return prints[i] < prints[j]
	})
	var out []Suspicion
	for _, f := range prints[:min(n, len(prints))] {
		s := q.byPrint[f]
		s.sent++
		out = append(out, Suspicion{f, s.names(), s.until})
	}
	return out
}

func (s *suspect) names() []string {
	out := make([]string, 0, len(s.endpoints))
	for e := range s.endpoints {
		out = append(out, e)
	}
	sort.Strings(out)
	return out
}

// Expire forgets suspicions that have run out.
func (q *Quarantine) Expire(now time.Time) {
	for f, s := range q.byPrint {
		if !now.Before(s.until) {
			delete(q.byPrint, f)
		}
	}
}
