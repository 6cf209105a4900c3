// Package cfvstate keeps the state of the fleet as one entry knows it. The state is updated
// from the platform's key-value store and from peers. Its age is the time since it was last known
// to be complete.
package cfvstate

import (
	"sync"
	"time"

	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvmirror"
)

// Config configures a State.
type Config struct {
	Decode    func(cfvmirror.Record) (cfvfleet.Change, error)
	OnHistory func(cfvmirror.History) // called under the lock when the state moves to a later history of the store; nil: nobody is told
	Now       func() time.Duration    // a clock that also runs while the VM is suspended
	Log       cfvlog.Logger
	OnChange  func(cfvfleet.Change)      // called after a change was applied, outside the lock
	Count     func(name string, n int64) // nil: nothing is counted
	// SilenceTime is the time after which the store has removed the item of an endpoint that has ended; 0: unknown.
	SilenceTime time.Duration
}

// State is a mirror of the key-value store and the view of the fleet decoded from it. It is safe
// for concurrent use.
type State struct {
	cfg    Config
	mu     sync.Mutex
	mirror *cfvmirror.Mirror
	view   *cfvfleet.View

	advancedAt   time.Duration // when the mirror reached its revision
	contradicted bool          // the last confirmation was by a revision below that, at a later time

	withheld map[string]time.Duration // until when the view is not told of a key's record, which came with a restore
}

// New returns an empty state.
func New(cfg Config) *State {
	if cfg.OnChange == nil {
		cfg.OnChange = func(cfvfleet.Change) {}
	}
	if cfg.Count == nil {
		cfg.Count = func(string, int64) {}
	}
	return &State{cfg: cfg, mirror: cfvmirror.New(), view: cfvfleet.NewView()}
}

// Apply applies records that are complete up to revision asOf. If full is set, they replace
// all records. The parameter from is their source, for the log.
func (s *State) Apply(from string, records []cfvmirror.Record, asOf cfvmirror.Revision, full bool) {
	s.mu.Lock()
	now := s.cfg.Now()
	age, known := s.mirror.Age(now)
	before := s.mirror.Revision()
	var updated []cfvmirror.Record
	if full {
		updated = s.mirror.Replace(records, asOf)
	} else {
		updated = s.mirror.Merge(records, asOf)
	}
	if s.mirror.Revision() != before {
		s.advancedAt = now
	}
	if after := s.mirror.Revision().History(); after > before.History() && s.cfg.OnHistory != nil {
		s.cfg.OnHistory(after)
	}
	s.view.Expire(now)
	if after := s.mirror.Revision(); before > 0 && after.History() > before.History() {
		updated = s.withhold(now, updated)
		s.logHistory(from, before, after)
	}
	applied := s.applyToView(now, from, updated)
	applied = append(applied, s.releaseWithheld(now)...)
	if known {
		s.view.SetRolloutsNotBefore(now, now-age)
	}
	if known && age <= cfvfleet.MaxWeightsLag {
		s.view.SetWeightsNotBefore(now, now-age)
	} else {
		s.view.MarkWeightsUncertain(now)
	}
	s.mu.Unlock()
	for _, c := range applied {
		s.cfg.OnChange(c)
	}
}

// applyToView applies records to the view and returns the changes that changed it. The caller must hold the lock.
func (s *State) applyToView(now time.Duration, from string, records []cfvmirror.Record) (applied []cfvfleet.Change) {
	age, known := s.mirror.Age(now)
	for _, r := range records {
		delete(s.withheld, r.Key)
		c, err := s.cfg.Decode(r)
		if err != nil {
			s.cfg.Log.Warnw("could not decode a record, ignoring it", "key", r.Key, "revision", int64(r.Revision), "error", err.Error())
		}
		if err != nil && c.Endpoint == nil {
			continue
		}
		if s.view.Apply(now, c) {
			applied = append(applied, c)
			s.logChange(from, c, age, known)
		}
	}
	return applied
}

// logHistory logs that the state is of a later history. The state of a peer of an earlier release tells none.
func (s *State) logHistory(from string, before, after cfvmirror.Revision) {
	fields := []any{"from", from, "before", int64(before), "after", int64(after), "withheld", len(s.withheld)}
	if !cfvmirror.IsRestore(before.History(), after.History()) {
		s.cfg.Log.Infow("the key-value store tells its era", fields...)
		return
	}
	s.cfg.Log.Warnw("the key-value store was restored from an older copy", fields...)
}

// logChange logs a change of the state. The state had the given age before, if it was known.
func (s *State) logChange(from string, c cfvfleet.Change, age time.Duration, known bool) {
	l := s.cfg.Log
	switch {
	case c.Config != nil:
		l.Infow("configuration applied", "from", from, "revision", c.Revision, "version", c.Config.Version, "routes", len(c.Config.Routes), "workspaces", len(c.Config.Workspaces),
			"cacheScope", s.view.Index().CacheScope(""))
	case c.Weights != nil:
		l.Infow("weights were named", "from", from, "revision", c.Revision, "model", c.Weights.Model, "version", c.Weights.Version,
			"stateKnown", known, "stateAgeMillis", age.Milliseconds())
	case c.Domain != nil:
		l.Infow("failure domain drained or returned to service", "from", from, "revision", c.Revision, "domain", c.Domain.Domain, "out", c.Domain.Drained)
	case c.RolloutOrder != nil:
		l.Infow("a roll-out was ordered or withdrawn", "from", from, "revision", c.Revision, "service", c.RolloutOrder.Service, "target", c.RolloutOrder.Target, "durationMillis", c.RolloutOrder.Duration.Milliseconds())
	case c.RolloutProgress != nil:
		p := c.RolloutProgress
		l.Infow("a roll-out made progress", "from", from, "revision", c.Revision, "service", p.Service, "target", p.Target, "phase", int(p.Phase), "share", p.Share, "cause", p.Cause)
	case c.Entry != nil:
		l.Infow("entry added or removed", "from", from, "entry", c.Entry.Name, "addr", c.Entry.Addr)
	case c.Endpoint != nil && c.Endpoint.Endpoint == nil:
		l.Infow("an endpoint is gone", "from", from, "revision", c.Revision, "endpoint", c.Endpoint.ID, "keptMillis", s.view.KeptFor(s.cfg.Now(), c.Endpoint.ID).Milliseconds())
	case c.Endpoint != nil:
		e := c.Endpoint.Endpoint
		l.Infow("endpoint announced", "from", from, "revision", c.Revision, "endpoint", e.ID, "service", e.Service, "leaving", e.Leaving, "coldMillis", e.ColdFor.Milliseconds(), "born", e.StartMillis)
	}
}

// Contradicts reports whether a listing of the key-value store, complete up to asOf, shows that the store has gone back since it had the
// revision that this state had when the listing was requested.
func (s *State) Contradicts(listing []cfvmirror.Record, asOf, requestedAt cfvmirror.Revision) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mirror.Contradicts(listing, asOf, requestedAt)
}

// Confirm records that no revision newer than asOf existed at time t. The parameter from is its source, for the log. It
// confirms nothing if the key-value store has gone back since: the state may lack what the store has now, and have what it lost.
func (s *State) Confirm(from string, asOf cfvmirror.Revision, t time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.observeContradiction(from, asOf, t); s.contradicted {
		return
	}
	s.mirror.Confirm(asOf, t)
}

// observeContradiction counts confirmations by a revision below the state's at a time at which the state already had its revision:
// the key-value store has gone back since. It logs the first in a row. The caller must hold the lock.
func (s *State) observeContradiction(from string, asOf cfvmirror.Revision, t time.Duration) {
	have := s.mirror.Revision()
	before := s.contradicted
	s.contradicted = asOf.History() == have.History() && asOf < have && t > s.advancedAt
	if !s.contradicted {
		return
	}
	s.cfg.Count("belief.contradicted", 1)
	if !before {
		s.cfg.Log.Warnw("the key-value store had an earlier revision than the state", "from", from, "asOf", int64(asOf), "stateAsOf", int64(have),
			"stateSinceMillis", (s.cfg.Now() - s.advancedAt).Milliseconds())
	}
}

// StoreRecovered records that the key-value store was unreachable until now.
func (s *State) StoreRecovered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.KeyValueStoreRecovered(s.cfg.Now())
}

// AsOf returns the revision up to which the state is complete.
func (s *State) AsOf() cfvmirror.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mirror.Revision()
}

// Age returns how long ago the state was known to be complete, and false if it never was.
func (s *State) Age() (age time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mirror.Age(s.cfg.Now())
}

// SetWeightsSince records that a peer has known a version of a model's weights since a time between the given ones.
func (s *State) SetWeightsSince(model string, version int64, earliest, latest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.view.Desired(model)
	s.view.SetWeightsSince(model, version, earliest, latest)
	if after := s.view.Desired(model); after.WeightsVersion != before.WeightsVersion {
		s.cfg.Log.Infow("a peer knows since when weights are set", "model", model, "version", version,
			"ageMillis", (s.cfg.Now() - after.Since).Milliseconds(), "ageBeforeMillis", (s.cfg.Now() - before.Since).Milliseconds(), "certainBefore", before.Certain)
	}
}

// SetWeightsHeard records that a peer heard of a version of a model's weights at the given time, and does not
// know for how long it had been set.
func (s *State) SetWeightsHeard(model string, version int64, heard time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := len(s.view.Desired(model).History())
	s.view.SetWeightsHeard(model, version, heard)
	if len(s.view.Desired(model).History()) > before {
		s.cfg.Log.Infow("a peer knows weights that were replaced", "model", model, "version", version, "heardMillis", (s.cfg.Now() - heard).Milliseconds())
	}
}

// Read calls f with the view under the lock. f must not retain the view.
func (s *State) Read(f func(v *cfvfleet.View)) {
	var released []cfvfleet.Change
	defer func() { // runs after the lock is released
		for _, c := range released {
			s.cfg.OnChange(c)
		}
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.Expire(s.cfg.Now())
	released = s.releaseWithheld(s.cfg.Now())
	f(s.view)
}

// Record returns the newest record of a key, and false if there is none.
func (s *State) Record(key string) (r cfvmirror.Record, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mirror.Get(key)
}

// Lost returns the last record of a key that a restored key-value store has lost, and false if it lost none or the key has
// been written again.
func (s *State) Lost(key string) (r cfvmirror.Record, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mirror.Lost(key)
}

// Restored reports whether this process knows that the key-value store was restored from an older copy.
func (s *State) Restored() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mirror.Restored()
}
