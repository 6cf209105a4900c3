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
	"coltsfootvalve/io/cfvwatch"
	"coltsfootvalve/platform"
)

// startLoops starts what keeps the belief up to date.
func (h *hostedEntry) startLoops(ctx context.Context) {
	follower := cfvwatch.New(cfvwatch.Config{
		List: h.store.List, Watch: h.store.Watch, HistoryGone: platform.ErrCompacted, State: h.belief,
		IsRelay: h.hub, Now: cfvclock.SinceBoot, Log: h.log.Component("follow"),
	})
	stock := cfvinventory.New(cfvinventory.Config{
		Self: h.settings.Node, Events: h.engines.WatchParts, List: h.engines.ListParts, View: h.belief.Read, Catalog: h.parts.Do,
		Now: cfvclock.SinceBoot, Log: h.log.Component("stock"),
	})
	go follower.Run(ctx)
	go h.exchange.Run(ctx)
	go h.reserver.Run(ctx)
	go stock.Run(ctx)
	go h.announce(ctx)
}

// announcePause is the time between two tries to announce the entry.
const announcePause = 500 * time.Millisecond

// announce writes the entry's address into the store, so that others find it.
func (h *hostedEntry) announce(ctx context.Context) {
	w, err := platform.EntryAnnouncement(cfvfleet.Entry{Name: h.settings.Node, Addr: h.settings.PeerAddr, Domain: h.settings.Domain, LinkMbps: h.settings.LinkMbps}, 0)
	if err != nil {
		h.log.Warnw("the entry can't be announced", "error", err.Error())
		return
	}
	for {
		if have, ok := h.belief.Record(w.Key); ok && string(have.Value) == string(w.Value) {
			return
		}
		if _, known := h.belief.Age(); known {
			if _, err = h.store.Commit(ctx, nil, []platform.Write{w}); err == nil {
				h.log.Infow("the entry was announced", "addr", h.settings.PeerAddr)
				return
			}
			h.log.Warnw("the entry could not be announced", "error", err.Error())
		}
		if !cfvclock.Sleep(ctx, announcePause) {
			return
		}
	}
}

// duty puts the giving of orders together.
func (h *hostedEntry) duty() *cfvleader.Leader {
	return cfvleader.New(cfvleader.Config{
		Self: h.settings.Node, IsRelay: h.hub, State: h.belief, LoadedVersion: h.entry.WeightsVersion, SetLoadedVersion: h.entry.ObserveWeights,
		RunningRequests: func(id string) int { return h.entry.Loads()[id].Running }, ShortPool: h.entry.ShortPool,
		LoadStatus: h.engines.LoadedWeights, LoadWeights: h.engines.LoadWeights, FreeParts: h.engines.FreeParts,
		Catalog:       func(f func(*cfvparts.Catalog)) { h.parts.Do(f) },
		HandoverPause: h.settings.Bounds.HandoverPause, Now: cfvclock.SinceBoot, Log: h.log.Component("duty"), Count: h.metrics.Count,
		CurrentLeader: func() (cfvmirror.Record, bool) { return h.belief.Record(platform.KeyLeader) },
		LastLeader:    func() (cfvmirror.Record, bool) { return h.belief.Record(platform.KeyLastLeader) },
		Store: cfvleader.Store{
			Grant: h.store.GrantLease, Renew: h.store.RenewLease, Revoke: h.store.RevokeLease, LeaseNotFound: platform.ErrLeaseNotFound, Conflict: platform.ErrConflict,
			Acquire: func(ctx context.Context, lease int64, holder []byte) (int64, error) {
				return h.store.Commit(ctx, []platform.Precondition{{Key: platform.KeyLeader}}, []platform.Write{{Key: platform.KeyLeader, Value: holder, Lease: lease}})
			},
			RecordOrders: func(ctx context.Context, fence int64, record []byte) error {
				_, err := h.store.Commit(ctx, []platform.Precondition{{Key: platform.KeyLeader, Revision: fence}}, []platform.Write{{Key: platform.KeyLastLeader, Value: record}})
				return err
			},
		},
	})
}
