package commands

import (
	"context"
	"time"

	"coltsfootvalve/common/cfvclock"
	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvmirror"
	"coltsfootvalve/core/cfvparts"
	"coltsfootvalve/io/cfvinventory"
	"coltsfootvalve/io/cfvleader"
	"coltsfootvalve/io/cfvrollout"
	"coltsfootvalve/io/cfvwatch"
	"coltsfootvalve/platform"
)

// startLoops starts the loops that update the state of the fleet, talk to peers and announce
// this entry.
func (h *hostedEntry) startLoops(ctx context.Context) {
	watcher := cfvwatch.New(cfvwatch.Config{
		List: h.keyValueStore.List, Watch: h.keyValueStore.Watch, Compacted: platform.ErrCompacted, State: h.state,
		IsWatcher: h.isWatcher, StartDelay: h.watchDelay(), Now: cfvclock.SinceBoot, Log: h.log.Component("follow"),
	})
	inventory := cfvinventory.New(cfvinventory.Config{
		Self: h.settings.Node, Events: h.control.WatchParts, List: h.control.ListParts, View: h.state.Read, Catalog: h.parts.Do,
		Now: cfvclock.SinceBoot, Log: h.log.Component("stock"),
	})
	go watcher.Run(ctx)
	go h.exchange.Run(ctx)
	go h.reserver.Run(ctx)
	go inventory.Run(ctx)
	go h.reporter.Run(ctx)
	go h.announce(ctx)
}

// newReporter returns the reporter of the evidence about roll-outs.
func (h *hostedEntry) newReporter() *cfvrollout.Reporter {
	return cfvrollout.NewReporter(cfvrollout.ReporterConfig{
		Self: h.settings.Node, StartMillis: time.Now().UnixMilli(), Evidence: h.entry.RolloutEvidence, Leader: h.currentLeader,
		Entries: func() int { return len(h.roster().Entries()) }, Send: cfvrollout.SendReports(), Now: cfvclock.SinceBoot, Log: h.log.Component("rollout"), Count: h.metrics.Count,
	})
}

// currentLeader returns the entry that the key-value store names as the leader, and false if none is known.
func (h *hostedEntry) currentLeader() (leader cfvrollout.Leader, ok bool) {
	record, ok := h.state.Record(platform.KeyLeader)
	if !ok {
		return leader, false
	}
	name, ok := cfvleader.Name(record)
	if !ok {
		return leader, false
	}
	for _, e := range h.roster().Entries() {
		if e.Name == name {
			return cfvrollout.Leader{Name: name, Addr: e.Addr, Term: record.Revision}, true
		}
	}
	return leader, false
}

// announceRetryInterval is the time between attempts to announce the entry.
const announceRetryInterval = 500 * time.Millisecond

// announce writes the entry's address to the key-value store, so that peers find it. It
// retries until the item is written.
func (h *hostedEntry) announce(ctx context.Context) {
	w, err := platform.EntryAnnouncement(cfvfleet.Entry{Name: h.settings.Node, Addr: h.settings.PeerAddr, Domain: h.settings.Domain, LinkMbps: h.settings.LinkMbps}, 0)
	if err != nil {
		h.log.Warnw("could not encode the announcement of the entry", "error", err.Error())
		return
	}
	for {
		if have, ok := h.state.Record(w.Key); ok && string(have.Value) == string(w.Value) {
			return
		}
		if _, known := h.state.Age(); known {
			if _, err = h.keyValueStore.Commit(ctx, nil, []platform.Write{w}); err == nil {
				h.log.Infow("entry announced", "addr", h.settings.PeerAddr)
				return
			}
			h.log.Warnw("could not announce the entry", "error", err.Error())
		}
		if !cfvclock.Sleep(ctx, announceRetryInterval) {
			return
		}
	}
}

// newLeader returns the leadership loop of this entry.
func (h *hostedEntry) newLeader() *cfvleader.Leader {
	return cfvleader.New(cfvleader.Config{
		Self: h.settings.Node, IsRelay: h.isRelay, State: h.state, LoadedVersion: h.entry.WeightsVersion, SetLoadedVersion: h.entry.ObserveWeights,
		RunningRequests: func(id string) int { return h.entry.Loads()[id].Running }, ShortPool: h.entry.ShortPool,
		LoadStatus: h.control.LoadedWeights, LoadWeights: h.control.LoadWeights, FreeParts: h.control.FreeParts,
		Catalog:       func(f func(*cfvparts.Catalog)) { h.parts.Do(f) },
		Rollouts:      h.rollouts.Tick,
		HandoverPause: h.settings.Bounds.HandoverPause, Now: cfvclock.SinceBoot, Log: h.log.Component("duty"), Count: h.metrics.Count,
		CurrentLeader: func() (cfvmirror.Record, bool) { return h.state.Record(platform.KeyLeader) },
		LastLeader:    func() (cfvmirror.Record, bool) { return h.state.Record(platform.KeyLastLeader) },
		Store: cfvleader.Store{
			Grant: h.keyValueStore.GrantLease, Renew: h.keyValueStore.RenewLease, Revoke: h.keyValueStore.RevokeLease, LeaseNotFound: platform.ErrLeaseNotFound, Conflict: platform.ErrConflict,
			Acquire: func(ctx context.Context, lease int64, leader []byte) (int64, error) {
				return h.keyValueStore.Commit(ctx, []platform.Precondition{{Key: platform.KeyLeader}}, []platform.Write{{Key: platform.KeyLeader, Value: leader, Lease: lease}})
			},
			RecordOrders: func(ctx context.Context, fencingToken int64, record []byte) error {
				_, err := h.keyValueStore.Commit(ctx, []platform.Precondition{{Key: platform.KeyLeader, Revision: fencingToken}}, []platform.Write{{Key: platform.KeyLastLeader, Value: record}})
				return err
			},
		},
	})
}

// newRollouts returns the controller of the roll-outs.
func (h *hostedEntry) newRollouts() *cfvrollout.Controller {
	b := h.settings.Bounds
	return cfvrollout.NewController(cfvrollout.ControllerConfig{
		View: h.state.Read, Conflict: platform.ErrConflict, Now: cfvclock.SinceBoot, Log: h.log.Component("rollout"), Count: h.metrics.Count,
		Millis: func() int64 { return time.Now().UnixMilli() },
		Limits: exposureLimits(b),
		Record: func(ctx context.Context, w cfvrollout.Write) (int64, error) {
			writes, err := platform.RolloutWrites(w.Progress)
			if err != nil {
				return 0, err
			}
			return h.keyValueStore.Commit(ctx, platform.RolloutPreconditions(w.Progress.Service, w.FencingToken, w.Order, w.Record), writes)
		},
	})
}

// exposureLimits returns the bounds on the requests that a version may get while it is rolled out.
func exposureLimits(b platform.Bounds) cfvrollout.Limits {
	return cfvrollout.Limits{ExposureShare: b.ExposureShare, ExposureSlack: b.ExposureSlack}
}
