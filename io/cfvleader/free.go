package cfvleader

import (
	"context"
	"time"

	"coltsfootvalve/core/cfvcall"
	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvparts"
)

// freeParts frees cache parts of replaced weights, and of cache scopes that the configuration no longer uses, once no
// fetch of them can be in progress.
func (l *Leader) freeParts(ctx context.Context) {
	now := l.cfg.Now()
	if now-l.lastFreeAt < freeInterval {
		return
	}
	l.lastFreeAt = now
	var index *cfvfleet.Index
	desired := make(map[string]cfvfleet.DesiredVersion)
	l.cfg.State.Read(func(v *cfvfleet.View) {
		index = v.Index()
		for _, m := range v.Models() {
			desired[m] = v.Desired(m)
		}
	})
	age, known := l.cfg.State.Age()
	current := known && age <= cfvparts.MaxFreeStateAge
	l.unusedScopes.begin(now, index)
	loadedModels := l.loadedModels(now, desired)
	outdated := func(text string) bool {
		salt, ok := cfvcall.ParseSalt(text)
		if !ok {
			return false
		}
		if current && l.unusedScopes.time(salt.Scope) > scopeFreeDelay {
			return true
		}
		d, known := desired[salt.Model]
		if !known || salt.Version >= d.Version {
			return false
		}
		newer, replaced := d.ReplacedBy(salt.Version)
		return replaced && (now-newer.Since > freeDelay || loadedModels[salt.Model])
	}
	var addrs []string
	l.cfg.Catalog(func(c *cfvparts.Catalog) { addrs = c.Addrs() })
	for _, addr := range addrs {
		var keys []cfvparts.Key
		var epoch, until int64
		l.cfg.Catalog(func(c *cfvparts.Catalog) {
			keys, epoch = c.StartFree(now, addr, freeBatchSize, outdated)
			if clock := c.Clock(now, addr); clock > 0 {
				until = clock + cfvparts.FreeTimeout.Milliseconds()
			}
		})
		if len(keys) == 0 {
			continue
		}
		if err := l.cfg.FreeParts(ctx, addr, epoch, until, keys); err != nil {
			l.cfg.Log.Infow("could not free parts", "store", addr, "parts", len(keys), "error", err.Error())
			continue
		}
		l.cfg.Count("duty.freed", int64(len(keys)))
	}
}

// loadedModels returns the models whose desired weights all endpoints have run for longer than
// loadedFreeDelay.
func (l *Leader) loadedModels(now time.Duration, desired map[string]cfvfleet.DesiredVersion) map[string]bool {
	out := make(map[string]bool)
	var all []*cfvfleet.Endpoint
	l.cfg.State.Read(func(v *cfvfleet.View) { all = v.All() })
	for model, d := range desired {
		key := cfvfleet.DesiredWeights{Model: model, Version: d.Version}
		behind := false
		for _, e := range all {
			if _, has := e.Weights[model]; has && l.cfg.LoadedVersion(e, model) < d.Version {
				behind = true
			}
		}
		if behind {
			delete(l.loadedSince, key)
			continue
		}
		if _, ok := l.loadedSince[key]; !ok {
			l.loadedSince[key] = now
		}
		out[model] = now-l.loadedSince[key] > loadedFreeDelay
	}
	return out
}

// unusedScopes holds since when cache scopes of cached parts have not been used by the configuration.
type unusedScopes struct {
	index *cfvfleet.Index
	now   time.Duration
	since map[string]time.Duration
}

// begin starts a round over the cached parts with the configuration in force, or nil before the first one.
func (u *unusedScopes) begin(now time.Duration, index *cfvfleet.Index) {
	u.now, u.index = now, index
	if u.since == nil {
		u.since = make(map[string]time.Duration)
	}
	for scope := range u.since {
		if u.used(scope) {
			delete(u.since, scope)
		}
	}
}

// used reports whether the configuration uses a scope, or may use it since it is not known.
func (u *unusedScopes) used(scope string) bool {
	if u.index == nil {
		return true
	}
	_, ok := u.index.CacheScopeSince(scope)
	return ok
}

// time returns for how long a scope has not been used.
func (u *unusedScopes) time(scope string) time.Duration {
	if u.used(scope) {
		return 0
	}
	since, ok := u.since[scope]
	if !ok {
		since = u.now
		u.since[scope] = since
	}
	return u.now - since
}
