package cfvexchange

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"coltsfootvalve/common/cfvclock"
	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/io/cfvwire/cfvwireentry"
)

// Times of peers that do not respond.
const (
	pullDelay       = 350 * time.Millisecond  // after this the next peer is pulled from, while the pull goes on: peers that are only busy get no more pulls than before
	failedInterval  = 50 * time.Millisecond   // until the next peer is pulled from after a pull that failed or is delayed
	maxPulls        = 3                       // pulls in progress
	relayGonePeriod = 1500 * time.Millisecond // after this another entry takes the place of a relay that does not respond
	contactPeriod   = 900 * time.Millisecond  // after this without a response, standbys watch the key-value store, and others pull from them
	standbyPullAge  = 2800 * time.Millisecond // a relay with an older state also pulls from the standbys
	recheckInterval = time.Second             // between the pulls that check whether an entry responds again
	leaderInterval  = 200 * time.Millisecond  // between the pulls of the leader from entries that it has not heard from
	silentPeriod    = 5 * time.Second         // for this long
	gonePeriod      = 10 * time.Second        // entries that did not respond for this long are gone, if goneFailures pulls failed
	goneFailures    = 3
)

// liveRoster is a roster without impaired entries, and what it was made from.
type liveRoster struct {
	listed                  *cfvfleet.Roster
	unresponsive, storeLost []string
	live                    *cfvfleet.Roster
}

// get returns the roster for the given impaired entries.
func (l *liveRoster) get(listed *cfvfleet.Roster, unresponsive, storeLost []string) *cfvfleet.Roster {
	if l.live == nil || l.listed != listed || !slices.Equal(l.unresponsive, unresponsive) || !slices.Equal(l.storeLost, storeLost) {
		*l = liveRoster{listed: listed, unresponsive: unresponsive, storeLost: storeLost, live: listed.Without(unresponsive, storeLost)}
	}
	return l.live
}

// Roster returns the announced entries. The relays are entries that respond, or did so just now: a place is not given to
// another entry for a short delay.
func (x *Exchange) Roster() *cfvfleet.Roster {
	listed := x.listed()
	x.mu.Lock()
	defer x.mu.Unlock()
	unresponsive, _ := x.conditions.Impaired(x.cfg.Now(), relayGonePeriod)
	return x.settledRoster.get(listed, unresponsive, nil)
}

// CurrentRoster returns the same, but leaves out at once the entries that do not respond, and the watchers that do not
// reach the key-value store.
func (x *Exchange) CurrentRoster() *cfvfleet.Roster {
	listed, lost := x.listed(), x.cfg.StoreLost()
	x.mu.Lock()
	defer x.mu.Unlock()
	unresponsive, storeLost := x.conditions.Impaired(x.cfg.Now(), 0)
	if lost {
		storeLost = append(storeLost, x.cfg.Self)
		slices.Sort(storeLost)
	}
	return x.currentRoster.get(listed, unresponsive, storeLost)
}

// Responding returns the other announced entries that respond, as far as is known.
func (x *Exchange) Responding() []cfvfleet.Entry {
	entries := x.listed().Entries()
	x.mu.Lock()
	defer x.mu.Unlock()
	unresponsive, _ := x.conditions.Impaired(x.cfg.Now(), 0)
	return slices.DeleteFunc(slices.Clone(entries), func(e cfvfleet.Entry) bool {
		_, found := slices.BinarySearch(unresponsive, e.Name)
		return found || e.Name == x.cfg.Self
	})
}

// listed returns the announced entries with their relays, whether these respond or not.
func (x *Exchange) listed() (r *cfvfleet.Roster) {
	x.cfg.State.Read(func(v *cfvfleet.View) { r = v.Roster() })
	return r
}

// Gone returns the entries that have not responded for so long that they will probably not return, and were not
// heard from meanwhile.
func (x *Exchange) Gone() (names []string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.cfg.Now()
	return slices.DeleteFunc(x.conditions.Gone(now, gonePeriod, goneFailures), func(name string) bool {
		at, heard := x.heardAt[name]
		return heard && now-at < gonePeriod
	})
}

// recheck pulls from entries that did not respond, so that those that return are noticed. On the leader it also pulls
// from entries that were not heard from, which finds those that are gone.
func (x *Exchange) recheck(ctx context.Context) {
	for checkedAt := x.cfg.Now(); cfvclock.Sleep(ctx, leaderInterval); {
		switch {
		case x.cfg.Now()-checkedAt >= recheckInterval:
			checkedAt = x.cfg.Now()
			x.checkNext(ctx, func(name string) bool { return x.conditions.Unresponsive(checkedAt, name, 0) })
		case x.cfg.IsLeader():
			x.checkNext(ctx, x.silent)
		}
	}
}

// silent reports whether an entry was not heard from for a while, for no known reason. The caller must hold x.mu.
func (x *Exchange) silent(name string) bool {
	now := x.cfg.Now()
	at, heard := x.heardAt[name]
	return (!heard || now-at > silentPeriod) && !x.conditions.Unresponsive(now, name, 0)
}

// checkNext pulls from the next entry, after the one that was checked last, for which check returns true.
func (x *Exchange) checkNext(ctx context.Context, check func(name string) bool) {
	listed := x.listed()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conditions.Forget(listed)
	maps.DeleteFunc(x.heardAt, func(name string, _ time.Duration) bool { return !listed.Lists(name) })
	entries := listed.Entries()
	for range entries {
		x.nextCheck = (x.nextCheck + 1) % len(entries)
		if e := entries[x.nextCheck]; e.Name != x.cfg.Self && !x.pulling[e.Name] && check(e.Name) {
			go x.pullFrom(ctx, e.Name, e.Addr)
			return
		}
	}
}

// choosePeer returns the peer to pull from next. Relays pull from each other in turn, and from a
// random entry every randomPullEvery pulls. Other entries pull from a relay that responds, if
// possible one of their failure domain. Where no relay responds, both pull from a random entry. Seeds are
// used while no other entry is known. isRelay reports whether this entry is a relay.
func (x *Exchange) choosePeer() (isRelay bool, name, addr string) {
	roster := x.CurrentRoster()
	age, known := x.cfg.State.Age()
	entries, relays := roster.Entries(), roster.RelaysByProximity(cfvfleet.Entry{Name: x.cfg.Self, Domain: x.cfg.Domain})
	isRelay = roster.IsRelay(x.cfg.Self)
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.pulling) >= maxPulls {
		return isRelay, "", ""
	}
	if len(entries) == 0 || len(entries) == 1 && entries[0].Name == x.cfg.Self {
		if len(x.cfg.Seeds) == 0 {
			return false, "", ""
		}
		seed := x.cfg.Seeds[rand.IntN(len(x.cfg.Seeds))]
		return false, seed, seed
	}
	x.round++
	peer, ok := x.relayToPull(roster, relays, isRelay)
	switch standbys := roster.Standbys(); {
	case !ok || isRelay && x.round%randomPullEvery == 0:
		peer = entries[rand.IntN(len(entries))]
	case (known && age > standbyPullAge || x.noContact()) && len(standbys) > 0 && x.round%2 == 0:
		peer = standbys[x.round/2%len(standbys)] // they watch the store by now
	}
	if x.pulling[peer.Name] || peer.Name == x.cfg.Self {
		return isRelay, "", ""
	}
	return isRelay, peer.Name, peer.Addr
}

// relayToPull returns the relay to pull from next, and false if none responds. The caller must hold x.mu.
func (x *Exchange) relayToPull(roster *cfvfleet.Roster, relays []cfvfleet.Entry, isRelay bool) (cfvfleet.Entry, bool) {
	if isRelay {
		return x.relayPeer(roster, relays)
	}
	i := slices.IndexFunc(relays, x.responds)
	if i < 0 {
		return cfvfleet.Entry{}, false
	}
	return relays[i], true
}

// relayPeer returns the relay that this relay pulls from next: in turn from one that watches the key-value
// store, and from any. Relays that did not respond are left out, since a pull from one that is
// gone takes as long as several others, and the state grows old meanwhile. The caller must hold x.mu.
func (x *Exchange) relayPeer(roster *cfvfleet.Roster, relays []cfvfleet.Entry) (cfvfleet.Entry, bool) {
	lists := [][]cfvfleet.Entry{relays}
	if x.round%2 == 0 {
		lists = [][]cfvfleet.Entry{roster.Watchers(), relays}
	}
	for _, list := range lists {
		for i := range list {
			peer := list[(x.round/2+i)%len(list)]
			if peer.Name != x.cfg.Self && x.responds(peer) {
				return peer, true
			}
		}
	}
	return cfvfleet.Entry{}, false
}

// responds reports whether a peer responds, as far as is known, and no pull from it is in progress. The caller must
// hold x.mu.
func (x *Exchange) responds(e cfvfleet.Entry) bool {
	return !x.pulling[e.Name] && !x.conditions.Unresponsive(x.cfg.Now(), e.Name, 0)
}

// NoContact reports whether no peer has responded lately.
func (x *Exchange) NoContact() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.noContact()
}

// noContact does the same. The caller must hold x.mu.
func (x *Exchange) noContact() bool { return x.cfg.Now()-x.respondedAt > contactPeriod }

// SetSeeds sets the addresses to pull from while no other entry is known.
func (x *Exchange) SetSeeds(addrs []string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cfg.Seeds = addrs
}

// conditionsToWire returns the conditions of this entry and of those that it has seen to be impaired.
func (x *Exchange) conditionsToWire() (out []*cfvwireentry.EntryCondition) {
	lost := x.cfg.StoreLost()
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range x.conditions.Own(x.cfg.Now()) {
		out = append(out, &cfvwireentry.EntryCondition{Entry: c.Entry, Unresponsive: c.Unresponsive, StoreLost: c.StoreLost})
	}
	if lost {
		out = append(out, &cfvwireentry.EntryCondition{Entry: x.cfg.Self, StoreLost: true})
	}
	return out
}

func conditionsFromWire(list []*cfvwireentry.EntryCondition) (out []cfvfleet.Condition) {
	for _, w := range list {
		out = append(out, cfvfleet.Condition{Entry: w.GetEntry(), Unresponsive: w.GetUnresponsive(), StoreLost: w.GetStoreLost()})
	}
	return out
}
