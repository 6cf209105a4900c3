// Package cfvfleet holds the state of the fleet as an entry on a hosted platform knows it:
// the operators' configuration, the endpoints, the desired weights and the drained
// failure domains. Routing decisions are made elsewhere.
package cfvfleet

import (
	"strings"
	"time"
)

// Kind is the kind of a route's requests. It determines whether they may be retried.
type Kind int

// Kinds of requests.
const (
	Unsafe    Kind = iota // runs at most once
	Safe                  // may run any number of times
	Streaming             // the response is an event stream; unsafe unless the route is resumable
)

// SplitTarget is one service of a route that splits its traffic.
type SplitTarget struct {
	Service string
	Weight  int // relative to the other targets
}

// Route maps requests to a service and sets their limits.
type Route struct {
	Name             string
	Host             string
	PathPrefix       string // begins and ends with a slash
	Kind             Kind
	Service          string
	Split            []SplitTarget // replaces Service if not empty
	MaxAttempts      int           // maximum number of endpoints that a request may be sent to
	Timeout          time.Duration // 0: none
	LatencyObjective time.Duration // for the response or the first event
	Patience         time.Duration // how long callers wait for the first event; 0: until the deadline
	Priority         int           // 0 is the highest
	Public           bool          // needs no API key
	Sticky           bool          // requests carry prompts
	Resumable        bool          // a stream may continue at another endpoint
	Regions          []string      // allowed regions; empty: all
}

// Retryable reports whether a request of the route may run more than once.
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

// Store describes a cache store, which holds KV caches of prompt parts.
type Store struct {
	Addr             string
	Domain           string
	CapacityTokens   int
	LinkMbps         float64
	FirstByteLatency time.Duration // latency of the first byte of each transfer
	Managed          bool          // evicts nothing on its own
	MaxEventCalls    int           // maximum number of concurrent event calls
}

// Service is a set of endpoints that routes refer to, or a cache store.
type Service struct {
	Name                  string
	HealthPath            string
	MaxConns              int
	ColdFor               time.Duration
	ColdRequestsPerSecond float64 // limit for each cold endpoint; 0: no limit
	Engine                *Engine // nil for plain services
	Store                 *Store  // nil unless the service is a cache store
}

// Workspace is a customer with its API keys.
type Workspace struct {
	Name        string
	Keys        []string
	Priority    int
	HasPriority bool // Priority overrides that of the route
	Isolated    bool // shares no cached parts with other workspaces
}

// Limits are the limits for requests of callers.
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
	Workspaces []Workspace // nil: requests need no API key; empty: none is accepted
	Limits     Limits
}

// Index looks up the routes, services and workspaces of a configuration.
type Index struct {
	cfg      *Config
	hosts    map[string][]*Route
	services map[string]*Service
	keys     map[string]*Workspace
	scopes   cacheScopes
}

// NewIndex returns an index of a configuration, which must not be modified afterwards.
func NewIndex(cfg *Config) *Index {
	x := &Index{cfg, make(map[string][]*Route), make(map[string]*Service), make(map[string]*Workspace), newCacheScopes(cfg)}
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

// Route returns the route of the host with the longest matching path prefix, or nil.
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

// Workspace returns the workspace with the API key, or nil.
func (x *Index) Workspace(key string) *Workspace { return x.keys[key] }

// HasWorkspaces reports whether a list of workspaces is configured, even an empty one. Without a list, requests need no
// API key.
func (x *Index) HasWorkspaces() bool { return x.cfg.Workspaces != nil }

// Stores returns the services that are cache stores.
func (x *Index) Stores() []*Service {
	var out []*Service
	for i := range x.cfg.Services {
		if x.cfg.Services[i].Store != nil {
			out = append(out, &x.cfg.Services[i])
		}
	}
	return out
}

// Units of link rates.
const (
	bitsPerByte      = 8
	bitsPerMsPerMbps = 1000 // bits that a link of 1 Mbit/s carries in a millisecond
)

// StoreTokensPerMs returns how many tokens the network link of a cache store carries in a
// millisecond, for the engines with the largest tokens. It is 0 if the rate is not known.
func (x *Index) StoreTokensPerMs(s *Store) float64 {
	tokenBytes := 0
	for _, service := range x.cfg.Services {
		if service.Engine != nil {
			tokenBytes = max(tokenBytes, service.Engine.TokenBytes)
		}
	}
	if tokenBytes == 0 {
		return 0
	}
	return s.LinkMbps * bitsPerMsPerMbps / float64(tokenBytes*bitsPerByte)
}

// PickService selects a service by the weights of the split. The random number u is in [0, 1).
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
