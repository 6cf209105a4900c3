package cfvfleet

import (
	"cmp"
	"slices"
	"time"

	"coltsfootvalve/core/cfvmirror"
)

// Endpoint is one incarnation of an endpoint, as announced by its process.
type Endpoint struct {
	ID              string
	StartMillis     int64 // start of the process in Unix milliseconds; 0: unknown
	Service         string
	Addr            string
	Domain          string
	SoftwareVersion string
	Slots           int
	Leaving         bool
	ColdFor         time.Duration    // remaining cold time at the announcement
	Weights         map[string]int64 // loaded version by model
}

// Incarnation identifies one start of an endpoint's process.
type Incarnation struct {
	ID          string
	StartMillis int64
}

// Incarnation returns the identity of this start.
func (e *Endpoint) Incarnation() Incarnation { return Incarnation{e.ID, e.StartMillis} }

// Change is one update of the key-value store. Exactly one field other than Revision is set.
type Change struct {
	Revision cfvmirror.Revision
	Config   *Config
	Endpoint *EndpointChange
	Weights  *DesiredWeights
	Domain   *DomainChange
	Entry    *EntryChange

	RolloutOrder    *RolloutOrder
	RolloutProgress *RolloutProgress
}

// EndpointChange is an announcement of an endpoint, or its removal if Endpoint is nil.
type EndpointChange struct {
	ID       string
	Endpoint *Endpoint
}

// DesiredWeights sets the desired version of a model's weights.
type DesiredWeights struct {
	Model   string
	Version int64
}

// DomainChange drains a failure domain or returns it to service.
type DomainChange struct {
	Domain  string
	Drained bool
}

// EntryChange is an announcement of an entry, or its removal if Addr is empty.
type EntryChange struct {
	Name     string
	Addr     string // peer address
	Domain   string
	LinkMbps int
}

// Entry is an entry process as it announced itself.
type Entry struct {
	Name     string
	Addr     string
	Domain   string
	LinkMbps int // of its VM; 0: unknown
}

// endpointState is the last announcement of an endpoint and its local times.
type endpointState struct {
	endpoint  *Endpoint
	coldUntil time.Duration
	firstSeen time.Duration // when this incarnation was first announced
	removed   bool          // removed from the key-value store, but kept until graceUntil
}

// View is the state of the fleet as one entry knows it. Times are durations on a clock
// that keeps running while the VM is suspended. It is not safe for concurrent use.
type View struct {
	index      *Index
	endpoints  map[string]*endpointState
	weights    map[string]DesiredVersion
	drained    map[string]bool
	rollouts   map[string]rolloutState // by service
	entries    map[string]Entry
	now        time.Duration // of the last change
	graceUntil time.Duration // until then, removals may result from a store outage
	hasRemoved bool          // some removed endpoints are kept until graceUntil

	usable  map[string][]*Endpoint      // results of Usable by service; nil after a change
	serving map[string]servingEndpoints // the same, split by the roll-outs

	established map[string]establishedVersions // by service
	roster      *Roster                        // nil after a change of the entries
}

// RemovalGracePeriod is how long a removed endpoint stays usable after the key-value store
// has recovered from an outage: live endpoints announce themselves again within two seconds.
const RemovalGracePeriod = 2500 * time.Millisecond

// NewView returns an empty view.
func NewView() *View {
	return &View{
		endpoints: make(map[string]*endpointState), weights: make(map[string]DesiredVersion),
		drained: make(map[string]bool), entries: make(map[string]Entry), rollouts: make(map[string]rolloutState),
		established: make(map[string]establishedVersions),
	}
}

// Apply applies a change and reports whether the view changed. It ignores configurations
// and weight versions that are not newer than the current ones.
func (v *View) Apply(now time.Duration, c Change) bool {
	v.now, v.usable, v.serving = now, nil, nil
	switch {
	case c.Config != nil:
		if v.index != nil && v.index.cfg.Version >= c.Config.Version {
			return false
		}
		replaced := v.index
		v.index = NewIndex(c.Config)
		if replaced != nil {
			v.index.scopes.follow(now, replaced.scopes)
		}
	case c.Endpoint != nil:
		return v.applyEndpoint(now, c.Endpoint)
	case c.Weights != nil:
		if v.weights[c.Weights.Model].Version >= c.Weights.Version {
			return false
		}
		v.weights[c.Weights.Model] = v.weights[c.Weights.Model].add(WeightsVersion{Version: c.Weights.Version, Since: now, NotBefore: now, Certain: true})
	case c.Domain != nil:
		if v.drained[c.Domain.Domain] == c.Domain.Drained {
			return false
		}
		v.drained[c.Domain.Domain] = c.Domain.Drained
	case c.RolloutOrder != nil:
		return v.applyRolloutOrder(now, c.Revision, *c.RolloutOrder)
	case c.RolloutProgress != nil:
		return v.applyRolloutProgress(now, c.Revision, *c.RolloutProgress)
	case c.Entry != nil && c.Entry.Addr == "":
		v.roster = nil
		delete(v.entries, c.Entry.Name)
	case c.Entry != nil:
		v.roster = nil
		v.entries[c.Entry.Name] = Entry(*c.Entry)
	}
	return true
}

func (v *View) applyEndpoint(now time.Duration, c *EndpointChange) bool {
	have := v.endpoints[c.ID]
	if c.Endpoint == nil {
		if have == nil || have.removed {
			return false
		}
		if now < v.graceUntil && !have.endpoint.Leaving {
			have.removed, v.hasRemoved = true, true
			return true
		}
		delete(v.endpoints, c.ID)
		return true
	}
	s := &endpointState{endpoint: c.Endpoint, coldUntil: now + c.Endpoint.ColdFor, firstSeen: now}
	if c.Endpoint.ColdFor == 0 {
		s.coldUntil = 0
	}
	if have != nil && have.endpoint.Incarnation() == c.Endpoint.Incarnation() {
		s.firstSeen = have.firstSeen
		c.Endpoint.Leaving = c.Endpoint.Leaving || have.endpoint.Leaving // a process that is leaving does not return
	}
	v.endpoints[c.ID] = s
	return true
}

// Withdraw removes an endpoint at once, also during a grace period, until it announces itself again.
func (v *View) Withdraw(now time.Duration, id string) {
	v.now, v.usable, v.serving = now, nil, nil
	delete(v.endpoints, id)
}

// KeyValueStoreRecovered records that the key-value store was unavailable until now.
// Removals within the following RemovalGracePeriod may concern live endpoints whose
// records expired during the outage.
func (v *View) KeyValueStoreRecovered(now time.Duration) { v.graceUntil = now + RemovalGracePeriod }

// Expire deletes removed endpoints once the grace period has ended.
func (v *View) Expire(now time.Duration) {
	v.now, v.serving = now, nil
	if !v.hasRemoved || now < v.graceUntil {
		return
	}
	v.hasRemoved, v.usable, v.serving = false, nil, nil
	for id, s := range v.endpoints {
		if s.removed {
			delete(v.endpoints, id)
		}
	}
}

// KeptFor returns for how long the view keeps an endpoint that was removed; 0: it does not.
func (v *View) KeptFor(now time.Duration, id string) time.Duration {
	if s := v.endpoints[id]; s != nil && s.removed {
		return max(v.graceUntil-now, 0)
	}
	return 0
}

// Index returns the index of the current configuration, or nil before the first one.
func (v *View) Index() *Index { return v.index }

// Endpoint returns the endpoint's last announcement, or nil.
func (v *View) Endpoint(id string) *Endpoint {
	if s := v.endpoints[id]; s != nil {
		return s.endpoint
	}
	return nil
}

// ColdUntil returns the time until which the endpoint is cold according to its
// announcement, or 0 if it was announced as warm.
func (v *View) ColdUntil(id string) time.Duration {
	if s := v.endpoints[id]; s != nil {
		return s.coldUntil
	}
	return 0
}

// KnownSince returns the time at which the endpoint's current incarnation was first
// announced, or now for an unknown endpoint.
func (v *View) KnownSince(now time.Duration, id string) time.Duration {
	if s := v.endpoints[id]; s != nil {
		return s.firstSeen
	}
	return now
}

// Usable returns the endpoints of a service that may receive requests, sorted by id. Leaving
// endpoints and those in a drained failure domain are left out. The caller must not change the result.
func (v *View) Usable(service string) []*Endpoint {
	if out, ok := v.usable[service]; ok {
		return out
	}
	var out []*Endpoint
	for _, s := range v.endpoints {
		e := s.endpoint
		if e.Service == service && !e.Leaving && !v.drained[e.Domain] {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b *Endpoint) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	if v.usable == nil {
		v.usable = make(map[string][]*Endpoint)
	}
	v.usable[service] = out
	return out
}

// All returns all known endpoints in no particular order.
func (v *View) All() []*Endpoint {
	out := make([]*Endpoint, 0, len(v.endpoints))
	for _, s := range v.endpoints {
		out = append(out, s.endpoint)
	}
	return out
}

// Desired returns the desired version of a model's weights.
func (v *View) Desired(model string) DesiredVersion { return v.weights[model] }

// Models returns the models with a desired version of weights, sorted by name.
func (v *View) Models() []string {
	var out []string
	for m := range v.weights {
		out = append(out, m)
	}
	slices.Sort(out)
	return out
}

// DomainDrained reports whether the failure domain is drained.
func (v *View) DomainDrained(domain string) bool { return v.drained[domain] }

// Roster returns the announced entries.
func (v *View) Roster() *Roster {
	if v.roster != nil {
		return v.roster
	}
	list := make([]Entry, 0, len(v.entries))
	for _, e := range v.entries {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	v.roster = NewRoster(list)
	return v.roster
}
