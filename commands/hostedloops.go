package commands

import (
	"context"
	"time"

	"coltsfootvalve/common/cfvclock"
	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvmirror"
	"coltsfootvalve/core/cfvparts"
	"coltsfootvalve/io/cfvduty"
	"coltsfootvalve/io/cfvfollow"
	"coltsfootvalve/io/cfvstock"
	"coltsfootvalve/platform"
)

// startLoops starts what keeps the belief up to date.
func (h *hostedEntry) startLoops(ctx context.Context) {
	follower := cfvfollow.New(cfvfollow.Config{
		List: h.store.List, Watch: h.store.Watch, HistoryGone: platform.ErrHistoryGone, Belief: h.belief,
		Hub: h.hub, Now: cfvclock.Boot, Log: h.log.Part("follow"),
	})
	stock := cfvstock.New(cfvstock.Config{
		Self: h.settings.Node, Events: h.engines.Events, List: h.engines.List, View: h.belief.Read, Catalog: h.parts.Do,
		Now: cfvclock.Boot, Log: h.log.Part("stock"),
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
	w, err := platform.EntryWrite(cfvfleet.Entry{Name: h.settings.Node, Addr: h.settings.Peers, Domain: h.settings.Domain, LinkMbps: h.settings.LinkMbps}, 0)
	if err != nil {
		h.log.Alarm("the entry can't be announced", "error", err.Error())
		return
	}
	for {
		if have, ok := h.belief.Item(w.Key); ok && string(have.Value) == string(w.Value) {
			return
		}
		if _, known := h.belief.Age(); known {
			if _, err = h.store.Commit(ctx, nil, []platform.Write{w}); err == nil {
				h.log.Say("the entry was announced", "addr", h.settings.Peers)
				return
			}
			h.log.Alarm("the entry could not be announced", "error", err.Error())
		}
		if !cfvclock.Sleep(ctx, announcePause) {
			return
		}
	}
}

// duty puts the giving of orders together.
func (h *hostedEntry) duty() *cfvduty.Duty {
	return cfvduty.New(cfvduty.Config{
		Self: h.settings.Node, Hub: h.hub, Belief: h.belief, Version: h.entry.Version, Loaded: h.entry.Loaded,
		Running: func(id string) int { return h.entry.Loads()[id].Running }, Short: h.entry.ShortLane,
		Report: h.engines.Weights, Load: h.engines.Load, Free: h.engines.Free,
		Catalog: func(f func(*cfvparts.Catalog)) { h.parts.Do(f) },
		Pause:   h.settings.Bounds.Lease, Now: cfvclock.Boot, Log: h.log.Part("duty"), Count: h.metrics.Count,
		Holder:    func() (cfvmirror.Record, bool) { return h.belief.Item(platform.KeyOrders) },
		LastGiver: func() (cfvmirror.Record, bool) { return h.belief.Item(platform.KeyLastGiver) },
		Store: cfvduty.Store{
			Grant: h.store.Grant, Renew: h.store.Renew, End: h.store.End, NoLease: platform.ErrNoLease, Conflict: platform.ErrConflict,
			Take: func(ctx context.Context, lease int64, holder []byte) (int64, error) {
				return h.store.Commit(ctx, []platform.Expected{{Key: platform.KeyOrders}}, []platform.Write{{Key: platform.KeyOrders, Value: holder, Lease: lease}})
			},
			Record: func(ctx context.Context, fence int64, record []byte) error {
				_, err := h.store.Commit(ctx, []platform.Expected{{Key: platform.KeyOrders, Revision: fence}}, []platform.Write{{Key: platform.KeyLastGiver, Value: record}})
				return err
			},
		},
	})
}
