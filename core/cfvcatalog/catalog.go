// Package cfvcatalog indexes the settings tree for request handling: workspaces by API key,
// services with their limits, and endpoints split into groups.
package cfvcatalog

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"strings"
	"time"

	"coltsfootvalve/core/cfvmove"
	"coltsfootvalve/core/cfvowner"
	"coltsfootvalve/core/cfvslot"
	"coltsfootvalve/core/cfvtree"
)

// Workspace holds the limits and the cache secret of one workspace.
type Workspace struct {
	Name          string
	CacheSecret   string
	Priority      int
	MaxPerSecond  int // 0: no limit
	MaxConcurrent int // 0: no limit
}

// Service holds the limits and the version move of one service.
type Service struct {
	Name              string
	Plain             bool            // a plain service, not a model engine
	HonoursKey        bool            // the service runs an idempotency key at most once
	IdempotentMethods map[string]bool // by method
	Priority          int
	QueueTimeout      time.Duration
	QueueLength       int
	RequestTimeout    time.Duration
	IdleTimeout       time.Duration
	MaxBodyBytes      int64
	RetryPercent      int
	Plan              cfvmove.Plan
}

// Group is one group of a service's endpoints in one failure domain.
type Group struct {
	Key       string
	Region    string
	Domain    string
	Drained   bool // all endpoints are drained
	Endpoints []cfvslot.EndpointConfig
}

// Catalog is an immutable index of one revision of the settings tree.
type Catalog struct {
	revision          uint64
	tree              cfvtree.Tree
	workspaces        map[string]Workspace
	services          map[string]Service
	groups            map[string][]Group
	stores            map[string]string
	maxRequestTimeout time.Duration
	bookingWindow     time.Duration
}

// New returns the catalog of a settings tree.
func New(revision uint64, t cfvtree.Tree) *Catalog {
	c := &Catalog{
		revision:      revision,
		tree:          t,
		workspaces:    make(map[string]Workspace),
		services:      make(map[string]Service),
		groups:        make(map[string][]Group),
		stores:        make(map[string]string),
		bookingWindow: millis(t.Int(cfvtree.Root, cfvtree.BookingWindowMillis)),
	}
	var endpoints []string
	for _, p := range t.Paths() {
		level, err := cfvtree.LevelOf(p)
		if err != nil {
			continue
		}
		switch level {
		case cfvtree.LevelWorkspace:
			c.addWorkspace(p)
		case cfvtree.LevelService:
			c.addService(p)
		case cfvtree.LevelStore:
			c.stores[cfvtree.Base(p)] = t.Text(p, cfvtree.Address)
		case cfvtree.LevelEndpoint:
			endpoints = append(endpoints, p)
		}
	}
	c.addEndpoints(endpoints)
	return c
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// addWorkspace adds the workspace at path p under the hash of its API key. Without a cache
// secret, the hash takes its place.
func (c *Catalog) addWorkspace(p string) {
	hash := c.tree.Text(p, cfvtree.KeyHash)
	if hash == "" {
		return
	}
	secret := c.tree.Text(p, cfvtree.CacheSecret)
	if secret == "" {
		secret = hash
	}
	c.workspaces[hash] = Workspace{
		Name:          cfvtree.Base(p),
		CacheSecret:   secret,
		Priority:      c.tree.Int(p, cfvtree.Priority),
		MaxPerSecond:  c.tree.Int(p, cfvtree.RequestsPerSecond),
		MaxConcurrent: c.tree.Int(p, cfvtree.ConcurrentRequests),
	}
}

// addService adds the service at path p.
func (c *Catalog) addService(p string) {
	t := c.tree
	s := Service{
		Name:              cfvtree.Base(p),
		Plain:             t.Text(p, cfvtree.ServiceKind) == "plain",
		HonoursKey:        t.Bool(p, cfvtree.HonoursKey),
		IdempotentMethods: make(map[string]bool),
		Priority:          t.Int(p, cfvtree.Priority),
		QueueTimeout:      millis(t.Int(p, cfvtree.QueueMillis)),
		QueueLength:       t.Int(p, cfvtree.QueueLength),
		RequestTimeout:    millis(t.Int(p, cfvtree.RequestMillis)),
		IdleTimeout:       millis(t.Int(p, cfvtree.SilenceMillis)),
		MaxBodyBytes:      int64(t.Int(p, cfvtree.MaxBodyBytes)),
		RetryPercent:      t.Int(p, cfvtree.RetryPercent),
	}
	for _, m := range strings.Split(t.Text(p, cfvtree.IdempotentMethods), ",") {
		s.IdempotentMethods[strings.TrimSpace(m)] = true
	}
	s.Plan = cfvmove.Plan{
		Service:          s.Name,
		From:             t.Text(p, cfvtree.ActiveVersion),
		To:               t.Text(p, cfvtree.MoveTo),
		Start:            time.UnixMilli(int64(t.Int(p, cfvtree.MoveStart))),
		Deadline:         time.UnixMilli(int64(t.Int(p, cfvtree.MoveDeadline))),
		TakenBack:        t.Bool(p, cfvtree.MoveTakenBack),
		MaxUnprovenShare: t.Int(p, cfvtree.BadSharePercent),
		LoadsAtOnce:      t.Int(p, cfvtree.LoadsAtOnce),
	}
	c.services[s.Name] = s
	c.maxRequestTimeout = max(c.maxRequestTimeout, s.RequestTimeout)
}

// addEndpoints splits the endpoints of each service and failure domain into groups.
func (c *Catalog) addEndpoints(paths []string) {
	byDomain := make(map[cfvowner.Group][]string) // by service and failure domain; Index is unset
	for _, p := range paths {
		parts := strings.Split(p, "/")
		key := cfvowner.Group{Service: c.tree.Text(p, cfvtree.EndpointService), Region: parts[1], Domain: parts[2]}
		byDomain[key] = append(byDomain[key], p)
	}
	for key, list := range byDomain {
		index := cfvowner.Partition(list)
		byIndex := make(map[int][]string)
		for _, p := range list {
			byIndex[index[p]] = append(byIndex[index[p]], p)
		}
		for i, members := range byIndex {
			key.Index = i
			c.groups[key.Service] = append(c.groups[key.Service], c.newGroup(key, members))
		}
	}
	for _, list := range c.groups {
		sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	}
}

// newGroup returns the group that consists of the endpoints at the given paths.
func (c *Catalog) newGroup(key cfvowner.Group, paths []string) Group {
	g := Group{Key: key.String(), Region: key.Region, Domain: key.Domain, Drained: true}
	for _, p := range paths {
		e := c.endpointConfig(p, g.Key)
		g.Drained = g.Drained && e.Drained
		g.Endpoints = append(g.Endpoints, e)
	}
	return g
}

// endpointConfig returns the configuration of the endpoint at path p.
func (c *Catalog) endpointConfig(p, group string) cfvslot.EndpointConfig {
	t := c.tree
	version := t.Text(p, cfvtree.EndpointVersion)
	if version == "" {
		version = t.Text("services/"+t.Text(p, cfvtree.EndpointService), cfvtree.ActiveVersion)
	}
	return cfvslot.EndpointConfig{
		Name:            strings.TrimPrefix(p, "regions/"),
		Group:           group,
		Address:         t.Text(p, cfvtree.Address),
		Version:         version,
		ColdSlots:       t.Int(p, cfvtree.ColdSlots),
		WarmSlots:       t.Int(p, cfvtree.WarmSlots),
		MinRampInterval: millis(t.Int(p, cfvtree.RampStepMillis)),
		MaxReportAge:    millis(t.Int(p, cfvtree.ReportLagMillis)),
		Drained:         t.Bool(p, cfvtree.Drained),
	}
}

// Revision returns the revision of the settings.
func (c *Catalog) Revision() uint64 { return c.revision }

// Tree returns the settings tree.
func (c *Catalog) Tree() cfvtree.Tree { return c.tree }

// MaxRequestTimeout returns the longest request timeout of all services.
func (c *Catalog) MaxRequestTimeout() time.Duration { return c.maxRequestTimeout }

// BookingWindow returns how long idempotency keys are remembered.
func (c *Catalog) BookingWindow() time.Duration { return c.bookingWindow }

// HashKey returns the hash of a workspace's API key. Settings store only the hash.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// WorkspaceByKey returns the workspace with the given API key.
func (c *Catalog) WorkspaceByKey(key string) (Workspace, bool) {
	w, ok := c.workspaces[HashKey(key)]
	return w, ok
}

// Service returns the service with the given name.
func (c *Catalog) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Services returns all services, sorted by name.
func (c *Catalog) Services() []Service {
	out := make([]Service, 0, len(c.services))
	for _, s := range c.services {
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Stores returns the addresses of the cache store VMs by name.
func (c *Catalog) Stores() map[string]string { return c.stores }

// Groups returns the groups of a service, sorted by key.
func (c *Catalog) Groups(service string) []Group { return c.groups[service] }

// Group returns the group with the given key.
func (c *Catalog) Group(key string) (Group, bool) {
	service, _, _ := strings.Cut(key, "/")
	for _, g := range c.groups[service] {
		if g.Key == key {
			return g, true
		}
	}
	return Group{}, false
}
