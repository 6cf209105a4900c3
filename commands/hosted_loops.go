package commands

import (
	"context"
	"slices"
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
	inventory := cfvinventory.New(cfvinventory.Config{
		IsRelay: func() bool { return h.roster().IsListedRelay(h.settings.Node) }, Events: h.control.WatchParts, List: h.control.ListParts, View: h.state.Read, Catalog: h.parts.Do, Reaches: h.entry.ReachesEndpoints,
		Now: cfvclock.SinceBoot, Log: h.log.Component("stock"),
	})
	go h.watcher.Run(ctx)
	go h.exchange.Run(ctx)
	go h.reserver.Run(ctx)
	go inventory.Run(ctx)
	go h.reporter.Run(ctx)
	if h.metering != nil {
		go h.metering.reporter.Run(ctx)
	}
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
			return cfvrollout.Leader{Name: name, Addr: e.Addr, Term: int64(record.Revision)}, true
		}
	}
	return leader, false
}

// newWatcher returns the watcher of the key-value store.
func (h *hostedEntry) newWatcher() *cfvwatch.Watcher {
	return cfvwatch.New(cfvwatch.Config{
		List: h.keyValueStore.List, Watch: h.keyValueStore.Watch, Compacted: platform.ErrCompacted, RecordUntoldRestore: h.keyValueStore.RecordUntoldRestore, State: h.state,
		IsWatcher: h.isWatcher, IsStandby: func() bool { return h.exchange.CurrentRoster().IsStandby(h.settings.Node) }, NoContact: h.exchange.NoContact,
		Rank: h.watcherRank, StartDelay: h.watchDelay(), Now: cfvclock.SinceBoot, Log: h.log.Component("follow"),
	})
}

// watcherRank returns the position of this entry among the watchers of the key-value store, -1 if it is none.
func (h *hostedEntry) watcherRank() (rank, watchers int) {
	list := h.exchange.CurrentRoster().Watchers()
	return slices.IndexFunc(list, func(e cfvfleet.Entry) bool { return e.Name == h.settings.Node }), len(list)
}

// announceInterval is the time between checks that the entry is announced.
const announceInterval = 500 * time.Millisecond

// announce writes the entry's address to the key-value store, so that peers find it. The leader removes the
// item of an entry that does not respond for long; if the entry returns, it writes the item again.
func (h *hostedEntry) announce(ctx context.Context) {
	w, err := platform.EntryAnnouncement(cfvfleet.Entry{Name: h.settings.Node, Addr: h.settings.PeerAddr, Domain: h.settings.Domain, LinkMbps: h.settings.LinkMbps}, 0)
	if err != nil {
		h.log.Warnw("could not encode the announcement of the entry", "error", err.Error())
		return
	}
	written := cfvmirror.Revision(0) // of the item
	for ok := true; ok; ok = cfvclock.Sleep(ctx, announceInterval) {
		if have, listed := h.state.Record(w.Key); listed && string(have.Value) == string(w.Value) {
			continue
		}
		if _, known := h.state.Age(); !known || h.state.AsOf() < written {
			continue
		}
		if written, err = h.keyValueStore.Commit(ctx, nil, []platform.Write{w}); err != nil {
			h.log.Warnw("could not announce the entry", "error", err.Error())
			continue
		}
		h.log.Infow("entry announced", "addr", h.settings.PeerAddr)
	}
}

// removeEntry removes the item of another entry, unless it was announced again or this entry is no longer the leader.
func (h *hostedEntry) removeEntry(ctx context.Context, fencingToken int64, name string) error {
	item, ok := h.state.Record(platform.EntryKey(name))
	if !ok {
		return nil
	}
	_, err := h.keyValueStore.Commit(ctx, []platform.Precondition{platform.LeaderPrecondition(fencingToken), {Key: item.Key, Revision: item.Revision}},
		[]platform.Write{{Key: item.Key, Remove: true}})
	return err
}

// lastLeader returns the record of the entry that last sent orders, also if a restored key-value store has lost it.
func (h *hostedEntry) lastLeader() (cfvmirror.Record, bool) {
	if r, ok := h.state.Lost(platform.KeyLastLeader); ok {
		return r, true
	}
	return h.state.Record(platform.KeyLastLeader)
}

// isLeader reports whether the key-value store names this entry as the leader.
func (h *hostedEntry) isLeader() bool {
	leader, ok := h.currentLeader()
	return ok && leader.Name == h.settings.Node
}

// newLeader returns the leadership loop of this entry.
func (h *hostedEntry) newLeader() *cfvleader.Leader {
	return cfvleader.New(cfvleader.Config{
		Self: h.settings.Node, IsRelay: h.isRelay, State: h.state, LoadedVersion: h.entry.WeightsVersion, SetLoadedVersion: h.entry.ObserveWeights,
		RunningRequests: func(id string) int { return h.entry.Loads()[id].Running }, ShortPool: h.entry.ShortPool,
		LoadStatus: h.control.LoadedWeights, LoadWeights: h.control.LoadWeights, FreeParts: h.control.FreeParts,
		Catalog:       func(f func(*cfvparts.Catalog)) { h.parts.Do(f) },
		Rollouts:      h.rollouts.Tick,
		ReportUsage:   h.metering.tick(),
		GoneEntries:   h.exchange.Gone,
		CutOff:        h.entry.CutOff,
		HandoverPause: h.settings.Bounds.HandoverPause, Now: cfvclock.SinceBoot, Log: h.log.Component("duty"), Count: h.metrics.Count,
		CurrentLeader: func() (cfvmirror.Record, bool) { return h.state.Record(platform.KeyLeader) },
		LastLeader:    h.lastLeader,
		Store: cfvleader.Store{
			Grant: h.keyValueStore.GrantLease, Renew: h.keyValueStore.RenewLease, Revoke: h.keyValueStore.RevokeLease, LeaseNotFound: platform.ErrLeaseNotFound, Conflict: platform.ErrConflict,
			Acquire: func(ctx context.Context, lease int64, leader []byte) (int64, error) {
				revision, err := h.keyValueStore.Commit(ctx, []platform.Precondition{{Key: platform.KeyLeader}}, []platform.Write{{Key: platform.KeyLeader, Value: leader, Lease: lease}})
				return int64(revision), err
			},
			RemoveEntry: h.removeEntry,
			RecordOrders: func(ctx context.Context, fencingToken int64, record []byte) error {
				_, err := h.keyValueStore.Commit(ctx, []platform.Precondition{platform.LeaderPrecondition(fencingToken)}, []platform.Write{{Key: platform.KeyLastLeader, Value: record}})
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
		Record: func(ctx context.Context, w cfvrollout.Write) (cfvmirror.Revision, error) {
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
