// Package cfvfleet holds what an entry on a hosted platform believes about the world: the
// operators' configuration, the endpoints, the weights that were named and the failure
// domains that are taken out. It decides nothing about requests.
package cfvfleet

import (
	"strings"
	"time"
)

// Kind says which repetitions a request bears.
type Kind int

// The kinds of requests.
const (
	Unsafe    Kind = iota // runs at most once
	Safe                  // may run any number of times
	Streaming             // answered by events; unsafe unless the route is resumable
)

// Share is one branch of a split route.
type SplitTarget struct {
	Service string
	Weight  int // relative to the other branches
}

// Route says which requests go to which service, and within which bounds.
type Route struct {
	Name             string
	Host             string
	PathPrefix       string // begins and ends with a slash
	Kind             Kind
	Service          string
	Split            []SplitTarget // replaces Service where present
	MaxAttempts      int           // most endpoints that one request may be sent to
	Timeout          time.Duration // 0: none
	LatencyObjective time.Duration // time to the answer or to the first event
	Priority         int           // 0 is the most urgent
	Public           bool          // needs no key
	Sticky           bool          // carries prompts
	Resumable        bool          // a stream may go on at another endpoint
	Regions          []string      // the only regions allowed; empty: all
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots       int
	CacheTokens int
	TokenBytes  int
	LinkMbps    float64
	Models      []string
}

// Store describes a store of cache parts.
type Store struct {
	Addr             string
	Domain           string
	CapacityTokens   int // capacity
	LinkMbps         float64
	FirstByteLatency time.Duration // added to each transfer
	Managed          bool          // drops nothing on its own
	MaxEventCalls    int           // event calls that it holds at once
}

// Service is a set of endpoints behind routes, or a store.
type Service struct {
	Name                  string
	HealthPath            string
	MaxConns              int
	ColdFor               time.Duration
	ColdRequestsPerSecond float64 // requests a second that a cold endpoint bears; 0: no limit
	Engine                *Engine // nil for plain services
	Store                 *Store  // nil unless the service is a store
}

// Workspace is a customer.
type Workspace struct {
	Name        string
	Keys        []string
	Priority    int
	HasPriority bool // Priority goes before that of the route
	Isolated    bool // shares no cache part with other workspaces
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operators' configuration.
type Config struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Index finds routes, services and workspaces of a configuration.
type Index struct {
	cfg      *Config
	hosts    map[string][]*Route
	services map[string]*Service
	keys     map[string]*Workspace
}

// NewIndex indexes a configuration, which must not change any more.
func NewIndex(cfg *Config) *Index {
	x := &Index{cfg, make(map[string][]*Route), make(map[string]*Service), make(map[string]*Workspace)}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		x.hosts[r.Host] = append(x.hosts[r.Host], r)
	}
	for i := range cfg.Services {
		x.services[cfg.Services[i].Name] = &cfg.Services[i]
	}
	for i := range cfg.Workspaces {
		for _, k := range cfg.Workspaces[i].Keys {
			x.keys[k] = &cfg.Workspaces[i]
		}
	}
	return x
}

// Config returns the indexed configuration.
func (x *Index) Config() *Config { return x.cfg }

// Route returns the route of the host with the longest prefix of the path, or nil.
func (x *Index) Route(host, path string) *Route {
	var best *Route
	for _, r := range x.hosts[host] {
		if strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}

// Service returns the named service, or nil.
func (x *Index) Service(name string) *Service { return x.services[name] }

// Workspace returns the workspace that holds the key, or nil.
func (x *Index) Workspace(key string) *Workspace { return x.keys[key] }

// HasWorkspaces reports whether requests need keys at all.
func (x *Index) HasWorkspaces() bool { return len(x.cfg.Workspaces) > 0 }

// Stores returns the services that are stores of cache parts.
func (x *Index) Stores() []*Service {
	var out []*Service
	for i := range x.cfg.Services {
		if x.cfg.Services[i].Store != nil {
			out = append(out, &x.cfg.Services[i])
		}
	}
	return out
}

// Pick returns the service of a route for a random number u in [0, 1).
func (r *Route) PickService(u float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	if total <= 0 {
		return r.Service
	}
	n := int(u * float64(total))
	for _, s := range r.Split {
		if n -= s.Weight; n < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
