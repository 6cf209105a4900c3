// Package cfvparts knows which parts of prompts the stores hold, where a new part is saved
// and when a part may be freed. A part is named by its salt, which holds the version of the
// weights, so that a part of older weights is never found.
package cfvparts

import (
	"cmp"
	"slices"
	"time"
)

// Key names a part in a store.
type Key struct {
	Salt string
	Part string
}

// Event says that a store now holds a part completely, or no longer.
type Event struct {
	Sequence int64 // in the order of the store
	Salt     string
	Part     string
	Tokens   int
	Removed  bool
}

// Position is how far the knowledge of one store goes.
type Position struct {
	Addr  string
	Epoch int64
	Next  int64 // number of the first event that is not known
}

// News is what another entry knows of one store beyond a position.
type StoreUpdate struct {
	Position
	Full        bool // a listing of everything
	Events      []Event
	Age         time.Duration // how long ago the store was heard
	ClockMillis int64         // the store's clock at that time; 0: not known
}

// Batch is what a store told at once.
type Batch struct {
	Epoch       int64 // changes when the store restarts, empty
	Next        int64 // where to go on
	EventsLost  bool  // events before these are missing
	Full        bool  // a listing of everything
	Events      []Event
	ClockMillis int64 // the store's clock; 0: not said
}

// Store is what is fixed about a store.
type Store struct {
	Addr             string
	Domain           string
	CapacityTokens   int           // capacity
	FirstByteLatency time.Duration // added to each transfer
}

// shelf is what is believed of one store.
type shelf struct {
	store Store
	epoch int64
	next  int64
	known bool // false until a batch has told what it holds
	heard time.Duration
	last  map[Key]Event // newest event of each part, also of removed ones
	held  map[Key]int
	used  int
	wants map[Key]want          // saves under way
	freed map[Key]time.Duration // parts that are about to be freed
	clock int64                 // the store's clock in milliseconds, as of clockAt
	at    time.Duration
}

// want is a save under way.
type want struct {
	begun  time.Duration
	tokens int
}

// saveTime is how long a save may take before it counts as lost: transfers that would wait
// over two seconds are not started.
const saveTime = 3 * time.Second

// fillShare is the share of a store's capacity up to which parts are saved; the rest is
// left for parts that are being written and for blocks that are not filled.
const fillShare = 0.95

// Catalog is the knowledge of one entry. Times are durations on a clock that also runs
// while the machine is suspended. It is not safe for concurrent use.
type Catalog struct {
	shelves map[string]*shelf
}

// NewCatalog returns an empty catalogue.
func NewCatalog() *Catalog { return &Catalog{shelves: make(map[string]*shelf)} }

// SetStores says which stores there are.
func (c *Catalog) SetStores(stores []Store) {
	keep := make(map[string]bool)
	for _, s := range stores {
		keep[s.Addr] = true
		if have := c.shelves[s.Addr]; have != nil {
			have.store = s
			continue
		}
		c.shelves[s.Addr] = newShelf(s)
	}
	for addr := range c.shelves {
		if !keep[addr] {
			delete(c.shelves, addr)
		}
	}
}

func newShelf(s Store) *shelf {
	return &shelf{store: s, last: make(map[Key]Event), held: make(map[Key]int), wants: make(map[Key]want), freed: make(map[Key]time.Duration)}
}

// Addrs returns the addresses of all stores, sorted.
func (c *Catalog) Addrs() []string {
	var out []string
	for addr := range c.shelves {
		out = append(out, addr)
	}
	slices.Sort(out)
	return out
}

// Apply takes what a store told. It reports false if the catalogue must be filled from a
// listing: the store restarted, or events were lost.
func (c *Catalog) Apply(now time.Duration, addr string, b Batch) bool {
	s := c.shelves[addr]
	if s == nil {
		return true
	}
	if b.Full || b.Epoch != s.epoch {
		s.restart(b.Epoch)
	}
	s.clock, s.at, s.heard = b.ClockMillis, now, now
	for _, e := range b.Events {
		s.take(e)
	}
	s.next = b.Next
	s.known = s.known || b.Full
	s.trim()
	return s.known && !b.EventsLost
}

// restart forgets everything but what is fixed.
func (s *shelf) restart(epoch int64) {
	fresh := newShelf(s.store)
	fresh.epoch = epoch
	*s = *fresh
}

// take applies one event, unless a newer one of the part is known.
func (s *shelf) take(e Event) {
	k := Key{e.Salt, e.Part}
	if have, ok := s.last[k]; ok && have.Sequence > e.Sequence {
		return
	}
	s.last[k] = e
	s.used -= s.held[k]
	delete(s.held, k)
	delete(s.wants, k)
	if e.Removed || e.Tokens <= 0 {
		delete(s.freed, k)
		return
	}
	s.held[k] = e.Tokens
	s.used += e.Tokens
}

// spareEvents is how many removals are remembered beside twice the parts held.
const spareEvents = 4096

// trim forgets removals when there are many. A peer that misses one asks the store for a
// part in vain.
func (s *shelf) trim() {
	if len(s.last) <= 2*len(s.held)+spareEvents {
		return
	}
	for k, e := range s.last {
		if e.Removed {
			delete(s.last, k)
		}
	}
}

// Positions returns how far the knowledge of each store goes.
func (c *Catalog) Positions() []Position {
	var out []Position
	for _, addr := range c.Addrs() {
		s := c.shelves[addr]
		p := Position{Addr: addr}
		if s.known {
			p.Epoch, p.Next = s.epoch, s.next
		}
		out = append(out, p)
	}
	return out
}

// maxNews bounds the events that one answer carries; more follow with the next.
const maxNews = 2000

// Since returns what is known beyond another entry's positions.
func (c *Catalog) UpdatesSince(now time.Duration, positions []Position) []StoreUpdate {
	var out []StoreUpdate
	for _, p := range positions {
		s := c.shelves[p.Addr]
		if s == nil || !s.known {
			continue
		}
		n := StoreUpdate{Position: Position{p.Addr, s.epoch, s.next}, Age: now - s.heard, ClockMillis: s.clock}
		n.Full = p.Epoch != s.epoch || p.Next > s.next
		for _, e := range s.last {
			if n.Full && !e.Removed || !n.Full && e.Sequence >= p.Next {
				n.Events = append(n.Events, e)
			}
		}
		if len(n.Events) > maxNews && !n.Full {
			slices.SortFunc(n.Events, func(a, b Event) int { return cmp.Compare(a.Sequence, b.Sequence) })
			n.Events = n.Events[:maxNews]
			n.Next = n.Events[maxNews-1].Sequence
		}
		out = append(out, n)
	}
	return out
}

// Merge takes what another entry knows. Sent is when it was asked.
func (c *Catalog) Merge(sent time.Duration, n StoreUpdate) {
	s := c.shelves[n.Addr]
	heard := sent - n.Age
	if s == nil || s.known && s.epoch != n.Epoch && s.heard >= heard {
		return
	}
	if !s.known || s.epoch != n.Epoch {
		if !n.Full {
			return
		}
		s.restart(n.Epoch)
		s.known = true
	}
	for _, e := range n.Events {
		s.take(e)
	}
	s.next = max(s.next, n.Next)
	if heard > s.heard {
		s.heard = heard
		if n.ClockMillis > 0 {
			s.clock, s.at = n.ClockMillis, heard
		}
	}
}

// staleAfter is the age from which a store may have restarted unnoticed, so that nothing
// is fetched from it: stores restart within two seconds at the soonest.
const staleAfter = 1800 * time.Millisecond

// Forget drops what is believed of a store that does not answer: it may have restarted.
func (c *Catalog) Forget(addr string) {
	if s := c.shelves[addr]; s != nil {
		*s = *newShelf(s.store)
	}
}

// Find returns the address of a store that holds all tokens of a part; empty: none is
// known to. Where several do, one in the given failure domain goes first.
func (c *Catalog) Find(now time.Duration, k Key, tokens int, domain string) string {
	best := ""
	for _, addr := range c.Addrs() {
		s := c.shelves[addr]
		if !s.known || now-s.heard > staleAfter || s.held[k] < tokens || tokens <= 0 {
			continue
		}
		if _, going := s.freed[k]; going {
			continue
		}
		if best == "" || s.store.Domain == domain {
			best = addr
		}
	}
	return best
}

// pending returns a bound on the tokens of saves under way, and drops the lost ones.
func (s *shelf) pending(now time.Duration) int {
	n := 0
	for k, w := range s.wants {
		if now-w.begun >= saveTime {
			delete(s.wants, k)
			continue
		}
		n += w.tokens
	}
	return n
}

// Outdated returns parts of a store for which old says so, at most n, and the store's
// epoch. They are no longer found from now on.
func (c *Catalog) StartFree(now time.Duration, addr string, n int, old func(salt string) bool) (keys []Key, epoch int64) {
	s := c.shelves[addr]
	if s == nil || !s.known {
		return nil, 0
	}
	for k := range s.held {
		if len(keys) == n {
			break
		}
		if old(k.Salt) {
			keys = append(keys, k)
			s.freed[k] = now
		}
	}
	return keys, s.epoch
}

// Clock returns the stores' clock in milliseconds, or 0 where none has told it.
func (c *Catalog) Clock(now time.Duration, addr string) int64 {
	s := c.shelves[addr]
	if s == nil || s.clock == 0 {
		return 0
	}
	return s.clock + (now - s.at).Milliseconds()
}

// Held returns how many parts and tokens a store is believed to hold.
func (c *Catalog) Usage(addr string) (parts, tokens int) {
	if s := c.shelves[addr]; s != nil {
		return len(s.held), s.used
	}
	return 0, 0
}
