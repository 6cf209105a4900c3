package cfvfleet

import (
	"slices"
	"time"
)

// Endpoint is one start of one endpoint's process, as it announced itself.
type Endpoint struct {
	ID              string
	StartMillis     int64 // start of the process in Unix milliseconds; 0: not said
	Service         string
	Addr            string
	Domain          string
	SoftwareVersion string // version of its software
	Slots           int
	Leaving         bool
	ColdFor         time.Duration // how long it stays cold, as of the announcement
	Weights         map[string]int64
}

// Incarnation names one start of an endpoint.
type Incarnation struct {
	ID          string
	StartMillis int64
}

// Incarnation returns the name of this start.
func (e *Endpoint) Incarnation() Incarnation { return Incarnation{e.ID, e.StartMillis} }

// Change is one thing that an entry learns. Exactly one field other than Revision is set.
type Change struct {
	Revision int64
	Config   *Config
	Endpoint *EndpointChange
	Weights  *DesiredWeights
	Domain   *DomainChange
	Entry    *EntryChange
}

// EndpointChange is a new announcement of an endpoint, or its end where Endpoint is nil.
type EndpointChange struct {
	ID       string
	Endpoint *Endpoint
}

// NamedWeights says which version of a model's weights is wanted.
type DesiredWeights struct {
	Model   string
	Version int64
}

// DomainChange takes a failure domain out or back in.
type DomainChange struct {
	Domain  string
	Drained bool
}

// EntryChange announces an entry, or its end where Addr is empty.
type EntryChange struct {
	Name     string
	Addr     string // of its interface for peers
	Domain   string
	LinkMbps int
}

// Entry is a process of the system.
type Entry struct {
	Name     string
	Addr     string
	Domain   string
	LinkMbps int // of its VM; 0: not said
}

// Wanted is the newest version of a model's weights and when this process learned of it.
type DesiredVersion struct {
	Version int64
	Since   time.Duration // on the clock of the process
}

// known is an endpoint and when its announcement was learned.
type known struct {
	endpoint *Endpoint
	coldTo   time.Duration
	begun    time.Duration // when its process was first heard of
	gone     bool          // removed, but kept until the grace ends
}

// View is the belief of one entry. Times are durations on a clock that also runs while the
// machine is suspended. It is not safe for concurrent use.
type View struct {
	index     *Index
	endpoints map[string]*known
	weights   map[string]DesiredVersion
	out       map[string]bool
	entries   map[string]Entry
	uncertain time.Duration // until then removals may be the store's fault
	kept      bool          // some removed endpoints are kept until then
}

// RemovalGrace is how long after the store's return a removed endpoint stays usable: living
// endpoints announce themselves again within two seconds.
const RemovalGracePeriod = 2500 * time.Millisecond

// NewView returns an empty belief.
func NewView() *View {
	return &View{
		endpoints: make(map[string]*known), weights: make(map[string]DesiredVersion),
		out: make(map[string]bool), entries: make(map[string]Entry),
	}
}

// Apply takes a change and reports whether it changed the belief. An older configuration
// or older weights change nothing.
func (v *View) Apply(now time.Duration, c Change) bool {
	switch {
	case c.Config != nil:
		if v.index != nil && v.index.cfg.Version >= c.Config.Version {
			return false
		}
		v.index = NewIndex(c.Config)
	case c.Endpoint != nil:
		return v.applyEndpoint(now, c.Endpoint)
	case c.Weights != nil:
		if v.weights[c.Weights.Model].Version >= c.Weights.Version {
			return false
		}
		v.weights[c.Weights.Model] = DesiredVersion{c.Weights.Version, now}
	case c.Domain != nil:
		if v.out[c.Domain.Domain] == c.Domain.Drained {
			return false
		}
		v.out[c.Domain.Domain] = c.Domain.Drained
	case c.Entry != nil && c.Entry.Addr == "":
		delete(v.entries, c.Entry.Name)
	case c.Entry != nil:
		v.entries[c.Entry.Name] = Entry(*c.Entry)
	}
	return true
}

func (v *View) applyEndpoint(now time.Duration, c *EndpointChange) bool {
	have := v.endpoints[c.ID]
	if c.Endpoint == nil {
		if have == nil || have.gone {
			return false
		}
		if now < v.uncertain && !have.endpoint.Leaving {
			have.gone, v.kept = true, true
			return true
		}
		delete(v.endpoints, c.ID)
		return true
	}
	k := &known{endpoint: c.Endpoint, coldTo: now + c.Endpoint.ColdFor, begun: now}
	if c.Endpoint.ColdFor == 0 {
		k.coldTo = 0
	}
	if have != nil && have.endpoint.Incarnation() == c.Endpoint.Incarnation() {
		k.begun = have.begun
		c.Endpoint.Leaving = c.Endpoint.Leaving || have.endpoint.Leaving // never taken back by the same process
	}
	v.endpoints[c.ID] = k
	return true
}

// StoreReturned notes that the store was away until now, so that removals that follow may
// concern living endpoints.
func (v *View) KeyValueStoreRecovered(now time.Duration) { v.uncertain = now + RemovalGracePeriod }

// Expire drops removed endpoints once the grace has ended.
func (v *View) Expire(now time.Duration) {
	if !v.kept || now < v.uncertain {
		return
	}
	v.kept = false
	for id, k := range v.endpoints {
		if k.gone {
			delete(v.endpoints, id)
		}
	}
}

// Index returns the configuration in force, or nil before the first.
func (v *View) Index() *Index { return v.index }

// Endpoint returns the endpoint's newest announcement, or nil.
func (v *View) Endpoint(id string) *Endpoint {
	if k := v.endpoints[id]; k != nil {
		return k.endpoint
	}
	return nil
}

// ColdUntil returns until when the endpoint is cold by its announcement; 0: it is not.
func (v *View) ColdUntil(id string) time.Duration {
	if k := v.endpoints[id]; k != nil {
		return k.coldTo
	}
	return 0
}

// KnownSince returns when the endpoint's process was first heard of; the present for one
// that is not known.
func (v *View) KnownSince(now time.Duration, id string) time.Duration {
	if k := v.endpoints[id]; k != nil {
		return k.begun
	}
	return now
}

// Usable returns the endpoints of a service that may get work, by id.
func (v *View) Usable(service string) []*Endpoint {
	var out []*Endpoint
	for _, k := range v.endpoints {
		e := k.endpoint
		if e.Service == service && !e.Leaving && !v.out[e.Domain] {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b *Endpoint) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

// All returns every endpoint that is believed to live.
func (v *View) All() []*Endpoint {
	out := make([]*Endpoint, 0, len(v.endpoints))
	for _, k := range v.endpoints {
		out = append(out, k.endpoint)
	}
	return out
}

// Wanted returns the weights that are wanted of a model.
func (v *View) Desired(model string) DesiredVersion { return v.weights[model] }

// Models returns the models whose weights have been named.
func (v *View) Models() []string {
	var out []string
	for m := range v.weights {
		out = append(out, m)
	}
	slices.Sort(out)
	return out
}

// DomainOut reports whether the failure domain is taken out.
func (v *View) DomainDrained(domain string) bool { return v.out[domain] }

// Entries returns all announced entries, sorted by name.
func (v *View) Entries() []Entry {
	var out []Entry
	for _, e := range v.entries {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Entry) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}
