package cfvleader

import (
	"context"
	"time"

	"coltsfootvalve/core/cfvcall"
	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvparts"
)

// freeParts frees cache parts of weights that were replaced a while ago.
func (d *Leader) freeParts(ctx context.Context) {
	now := d.cfg.Now()
	if now-d.freed < freeEvery {
		return
	}
	d.freed = now
	current := make(map[string]cfvfleet.DesiredVersion)
	d.cfg.State.Read(func(v *cfvfleet.View) {
		for _, m := range v.Models() {
			current[m] = v.Desired(m)
		}
	})
	loaded := d.loaded(now, current)
	old := func(salt string) bool {
		model, version, ok := cfvcall.ParseSalt(salt)
		w, named := current[model]
		return ok && named && version < w.Version && (now-w.Since > freeAfter || loaded[model])
	}
	var addrs []string
	d.cfg.Catalog(func(c *cfvparts.Catalog) { addrs = c.Addrs() })
	for _, addr := range addrs {
		var keys []cfvparts.Key
		var epoch int64
		d.cfg.Catalog(func(c *cfvparts.Catalog) { keys, epoch = c.StartFree(now, addr, freeAtOnce, old) })
		if len(keys) == 0 {
			continue
		}
		if err := d.cfg.FreeParts(ctx, addr, epoch, keys); err != nil {
			d.cfg.Log.Infow("parts could not be freed", "store", addr, "parts", len(keys), "error", err.Error())
			continue
		}
		d.cfg.Count("duty.freed", int64(len(keys)))
	}
}

// loaded returns the models whose newest weights all endpoints have run for a while.
func (d *Leader) loaded(now time.Duration, current map[string]cfvfleet.DesiredVersion) map[string]bool {
	out := make(map[string]bool)
	var all []*cfvfleet.Endpoint
	d.cfg.State.Read(func(v *cfvfleet.View) { all = v.All() })
	for model, w := range current {
		key := cfvfleet.DesiredWeights{Model: model, Version: w.Version}
		behind := false
		for _, e := range all {
			if _, has := e.Weights[model]; has && d.cfg.LoadedVersion(e, model) < w.Version {
				behind = true
			}
		}
		if behind {
			delete(d.loadedAt, key)
			continue
		}
		if _, ok := d.loadedAt[key]; !ok {
			d.loadedAt[key] = now
		}
		out[model] = now-d.loadedAt[key] > freeLoaded
	}
	return out
}
