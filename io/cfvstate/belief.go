// Package cfvstate keeps what one entry believes, brought up to date from the platform's
// store and from other entries, and says how old it is.
package cfvstate

import (
	"sync"
	"time"

	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvmirror"
)

// Config configures a Belief.
type Config struct {
	Decode   func(cfvmirror.Record) (cfvfleet.Change, error)
	Now      func() time.Duration // a clock that also runs while the machine is suspended
	Log      cfvlog.Logger
	OnChange func(cfvfleet.Change) // called after a change was applied, outside the lock
}

// Belief is a mirror of the store and what it means. It is safe for concurrent use.
type State struct {
	cfg    Config
	mu     sync.Mutex
	mirror *cfvmirror.Mirror
	view   *cfvfleet.View
}

// New returns an empty belief.
func New(cfg Config) *State {
	if cfg.OnChange == nil {
		cfg.OnChange = func(cfvfleet.Change) {}
	}
	return &State{cfg: cfg, mirror: cfvmirror.New(), view: cfvfleet.NewView()}
}

// Learn takes records that are complete up to a revision; full means that they are a
// listing of everything. From names where they came from.
func (b *State) Apply(from string, records []cfvmirror.Record, asOf int64, full bool) {
	var applied []cfvfleet.Change
	b.mu.Lock()
	now := b.cfg.Now()
	var news []cfvmirror.Record
	if full {
		news = b.mirror.Replace(records, asOf)
	} else {
		news = b.mirror.Merge(records, asOf)
	}
	b.view.Expire(now)
	for _, r := range news {
		c, err := b.cfg.Decode(r)
		if err != nil {
			b.cfg.Log.Warnw("an item can't be read and is ignored", "key", r.Key, "revision", r.Revision, "error", err.Error())
		}
		if err != nil && c.Endpoint == nil {
			continue
		}
		if b.view.Apply(now, c) {
			applied = append(applied, c)
			b.tell(from, c)
		}
	}
	b.mu.Unlock()
	for _, c := range applied {
		b.cfg.OnChange(c)
	}
}

// tell logs a change of the belief.
func (b *State) tell(from string, c cfvfleet.Change) {
	l := b.cfg.Log
	switch {
	case c.Config != nil:
		l.Infow("a configuration is in force", "from", from, "revision", c.Revision, "version", c.Config.Version, "routes", len(c.Config.Routes), "workspaces", len(c.Config.Workspaces))
	case c.Weights != nil:
		l.Infow("weights were named", "from", from, "revision", c.Revision, "model", c.Weights.Model, "version", c.Weights.Version)
	case c.Domain != nil:
		l.Infow("a failure domain was taken out or back", "from", from, "revision", c.Revision, "domain", c.Domain.Domain, "out", c.Domain.Drained)
	case c.Entry != nil:
		l.Infow("an entry came or went", "from", from, "entry", c.Entry.Name, "addr", c.Entry.Addr)
	case c.Endpoint != nil && c.Endpoint.Endpoint == nil:
		l.Infow("an endpoint is gone", "from", from, "revision", c.Revision, "endpoint", c.Endpoint.ID)
	case c.Endpoint != nil:
		e := c.Endpoint.Endpoint
		l.Infow("an endpoint announced itself", "from", from, "revision", c.Revision, "endpoint", e.ID, "service", e.Service, "leaving", e.Leaving, "coldMillis", e.ColdFor.Milliseconds(), "born", e.StartMillis)
	}
}

// Confirm notes that nothing newer than a revision existed at time t.
func (b *State) Confirm(asOf int64, t time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mirror.Confirm(asOf, t)
}

// StoreReturned notes that the store could not be reached until now.
func (b *State) StoreRecovered() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.view.KeyValueStoreRecovered(b.cfg.Now())
}

// AsOf returns the revision up to which the belief is complete.
func (b *State) AsOf() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.mirror.Revision()
}

// Age returns how long ago the belief was known to be complete, and false if it never was.
func (b *State) Age() (age time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.mirror.Age(b.cfg.Now())
}

// Delta returns what another entry lacks that is complete up to a revision.
func (b *State) Delta(since int64) (records []cfvmirror.Record, asOf int64, full bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if since >= b.mirror.Revision() {
		return nil, b.mirror.Revision(), false
	}
	records, full = b.mirror.Delta(since)
	return records, b.mirror.Revision(), full
}

// Read calls f with the view, which f must not keep.
func (b *State) Read(f func(v *cfvfleet.View)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.view.Expire(b.cfg.Now())
	f(b.view)
}

// Item returns the newest record of a key, and false if there is none.
func (b *State) Record(key string) (r cfvmirror.Record, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.mirror.Get(key)
}
