// Package cfvparts keeps a catalog of the prompt parts that the cache stores hold. It decides
// where a new part is saved and marks parts that are being freed. The key of a part contains
// its salt, and the salt the version of the weights, so a lookup never finds a part of older
// weights.
package cfvparts

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Key identifies a part in a store.
type Key struct {
	Salt string
	Part string
}

// Event reports that a store holds a part completely, or that it has removed the part.
type Event struct {
	Sequence int64 // ascending within one epoch of the store
	Salt     string
	Part     string
	Tokens   int
	Removed  bool
}

// Position is the position up to which the events of one store have been applied.
type Position struct {
	Addr  string
	Epoch int64
	Next  int64 // sequence number of the first event that has not been applied
}

// StoreUpdate holds the events of one store that a peer has applied beyond a position.
type StoreUpdate struct {
	Position
	Full        bool // Events lists all parts that the store holds
	Lost        bool // the store stopped responding; it may restart empty
	Events      []Event
	Age         time.Duration // time since the store's last response, or since it was lost
	ClockMillis int64         // the store's clock at that time; 0 if unknown
}

// Batch holds the events of one response of a store.
type Batch struct {
	Epoch       int64 // changes when the store restarts; it is then empty
	Next        int64 // position to continue from
	EventsLost  bool  // events before this batch are missing
	Full        bool  // Events lists all parts that the store holds
	Events      []Event
	ClockMillis int64 // the store's clock; 0 if not reported
}

// Store holds the configured properties of a store.
type Store struct {
	Addr             string
	Domain           string
	CapacityTokens   int
	TokensPerMs      float64       // rate of the network link; 0: unknown
	FirstByteLatency time.Duration // latency added to each transfer
}

// storeState is the known content of one store.
type storeState struct {
	store       Store
	epoch       int64
	next        int64
	known       bool // set once a full listing has been applied
	updatedAt   time.Duration
	lostAt      time.Duration // when a peer or this entry last lost the store; 0: never
	lastEvents  map[Key]Event // newest event of each part; removals stay as tombstones
	heldTokens  map[Key]int
	usedTokens  int
	saves       map[Key]save          // saves in progress
	freeing     map[Key]time.Duration // parts that are being freed
	clockMillis int64                 // the store's clock at clockAt
	clockAt     time.Duration
}

// save is a save in progress.
type save struct {
	startedAt time.Duration
	tokens    int
}

// saveTimeout is the time after which a save counts as lost. Transfers that would wait for
// over two seconds are not started.
const saveTimeout = 3 * time.Second

// maxFillShare is the share of a store's capacity up to which parts are saved. The rest is
// reserved for parts that are being written and for partly filled blocks.
const maxFillShare = 0.95

// Catalog is one entry's view of the contents of all cache stores. Times are durations on a
// clock that also runs while the VM is suspended. It is not safe for concurrent use.
type Catalog struct {
	states  map[string]*storeState
	links   map[string]*link // by address of the store
	addrs   []string         // of the stores, sorted
	watched []watchedPrompt  // in the order of their start
}

// NewCatalog returns an empty catalog.
func NewCatalog() *Catalog {
	return &Catalog{states: make(map[string]*storeState), links: make(map[string]*link)}
}

// SetStores sets the configured stores. The contents of stores that remain are kept.
func (c *Catalog) SetStores(stores []Store) {
	keep := make(map[string]bool)
	for _, s := range stores {
		keep[s.Addr] = true
		if have := c.states[s.Addr]; have != nil {
			have.store = s
			continue
		}
		c.states[s.Addr] = newStoreState(s)
	}
	for addr := range c.states {
		if !keep[addr] {
			delete(c.states, addr)
			delete(c.links, addr)
		}
	}
	c.addrs = slices.Sorted(maps.Keys(c.states))
}

func newStoreState(s Store) *storeState {
	return &storeState{store: s, lastEvents: make(map[Key]Event), heldTokens: make(map[Key]int), saves: make(map[Key]save), freeing: make(map[Key]time.Duration)}
}

// Addrs returns the addresses of all stores, sorted. The caller must not change them.
func (c *Catalog) Addrs() []string { return c.addrs }

// Apply applies a batch of events of a store. It reports false if the store must be listed
// again because it restarted or events were lost.
func (c *Catalog) Apply(now time.Duration, addr string, b Batch) bool {
	s := c.states[addr]
	if s == nil {
		return true
	}
	if b.ClockMillis == 0 && b.Epoch == s.epoch {
		b.ClockMillis = s.clock(now)
	}
	if b.Full || b.Epoch != s.epoch {
		s.reset(b.Epoch)
	}
	s.clockMillis, s.clockAt, s.updatedAt = b.ClockMillis, now, now
	for _, e := range b.Events {
		s.apply(e)
	}
	s.next = b.Next
	s.known = s.known || b.Full
	s.dropTombstones()
	return s.known && !b.EventsLost
}

// reset clears everything but the configured properties.
func (s *storeState) reset(epoch int64) {
	fresh := newStoreState(s.store)
	fresh.epoch = epoch
	*s = *fresh
}

// apply applies an event unless a newer one of the same part has been applied.
func (s *storeState) apply(e Event) {
	k := Key{e.Salt, e.Part}
	if have, ok := s.lastEvents[k]; ok && have.Sequence > e.Sequence {
		return
	}
	s.lastEvents[k] = e
	s.usedTokens -= s.heldTokens[k]
	delete(s.heldTokens, k)
	delete(s.saves, k)
	if e.Removed || e.Tokens <= 0 {
		delete(s.freeing, k)
		return
	}
	s.heldTokens[k] = e.Tokens
	s.usedTokens += e.Tokens
}

// extraTombstones is the number of events that are kept beyond twice the number of parts
// held before tombstones are dropped.
const extraTombstones = 4096

// dropTombstones drops the tombstones when there are many. A peer that misses a removal
// requests a part that the store no longer has.
func (s *storeState) dropTombstones() {
	if len(s.lastEvents) <= 2*len(s.heldTokens)+extraTombstones {
		return
	}
	for k, e := range s.lastEvents {
		if e.Removed {
			delete(s.lastEvents, k)
		}
	}
}

// Positions returns the position of each store up to which its events have been applied.
func (c *Catalog) Positions() []Position {
	var out []Position
	for _, addr := range c.Addrs() {
		s := c.states[addr]
		p := Position{Addr: addr}
		if s.known {
			p.Epoch, p.Next = s.epoch, s.next
		}
		out = append(out, p)
	}
	return out
}

// maxUpdateEvents limits the events of one update that is not a full listing. The rest follows
// in later updates.
const maxUpdateEvents = 2000

// UpdatesSince returns the events that a peer with the given positions lacks.
func (c *Catalog) UpdatesSince(now time.Duration, positions []Position) []StoreUpdate {
	var out []StoreUpdate
	for _, p := range positions {
		s := c.states[p.Addr]
		if s != nil && !s.known && s.lostAt > 0 {
			out = append(out, StoreUpdate{Position: Position{Addr: p.Addr}, Lost: true, Age: now - s.lostAt})
		}
		if s == nil || !s.known {
			continue
		}
		u := StoreUpdate{Position: Position{p.Addr, s.epoch, s.next}, Age: now - s.updatedAt, ClockMillis: s.clock(s.updatedAt)}
		u.Full = p.Epoch != s.epoch || p.Next > s.next
		for _, e := range s.lastEvents {
			if u.Full && !e.Removed || !u.Full && e.Sequence >= p.Next {
				u.Events = append(u.Events, e)
			}
		}
		if len(u.Events) > maxUpdateEvents && !u.Full {
			slices.SortFunc(u.Events, func(a, b Event) int { return cmp.Compare(a.Sequence, b.Sequence) })
			u.Events = u.Events[:maxUpdateEvents]
			u.Next = u.Events[maxUpdateEvents-1].Sequence
		}
		out = append(out, u)
	}
	return out
}

// Merge applies an update from a peer. The parameter sent is the time of the request to the peer.
func (c *Catalog) Merge(sent time.Duration, u StoreUpdate) {
	s := c.states[u.Addr]
	updatedAt := sent - u.Age
	if s != nil && u.Lost {
		s.lose(updatedAt)
		return
	}
	if s == nil || s.known && s.epoch != u.Epoch && s.updatedAt >= updatedAt || !s.known && s.lostAt >= updatedAt {
		return
	}
	if !s.known || s.epoch != u.Epoch {
		if !u.Full {
			return
		}
		s.reset(u.Epoch)
		s.known = true
	}
	for _, e := range u.Events {
		s.apply(e)
	}
	s.next = max(s.next, u.Next)
	if updatedAt > s.updatedAt {
		s.updatedAt = updatedAt
		if u.ClockMillis > 0 {
			s.clockMillis, s.clockAt = u.ClockMillis, updatedAt
		}
	}
}

// staleAfter is the age of a store's last response from which nothing is fetched from it. A
// restart of a store takes at least two seconds, so a store that responded more recently has
// not restarted unnoticed.
const staleAfter = 1800 * time.Millisecond

// Lose clears the contents of a store that stopped responding, since it may have restarted. Peers
// learn of it with the next update.
func (c *Catalog) Lose(now time.Duration, addr string) {
	if s := c.states[addr]; s != nil {
		s.lose(now)
	}
}

// lose clears the contents, unless the store has responded after it was lost.
func (s *storeState) lose(lostAt time.Duration) {
	if s.updatedAt > lostAt {
		return
	}
	lostAt = max(lostAt, s.lostAt)
	s.reset(0)
	s.lostAt = lostAt
}

// Find returns the address of a store that holds all tokens of a part, or "" if no store is
// known to. It prefers a store in the given failure domain.
func (c *Catalog) Find(now time.Duration, k Key, tokens int, domain string) string {
	best := ""
	for _, addr := range c.Addrs() {
		s := c.states[addr]
		if !s.known || now-s.updatedAt > staleAfter || s.heldTokens[k] < tokens || tokens <= 0 {
			continue
		}
		if s.beingFreed(now, k) {
			continue
		}
		if best == "" || s.store.Domain == domain {
			best = addr
		}
	}
	return best
}

// pendingTokens returns an upper bound on the tokens of the saves in progress, and drops saves
// that timed out.
func (s *storeState) pendingTokens(now time.Duration) int {
	sum := 0
	for k, pending := range s.saves {
		if now-pending.startedAt >= saveTimeout {
			delete(s.saves, k)
			continue
		}
		sum += pending.tokens
	}
	return sum
}

// freeMarkTime is how long a part counts as being freed. A call that failed leaves the part in the store.
const freeMarkTime = 5 * time.Second

// beingFreed reports whether the store may be freeing a part.
func (s *storeState) beingFreed(now time.Duration, k Key) bool {
	startedAt, ok := s.freeing[k]
	return ok && now-startedAt < freeMarkTime
}

// StartFree returns at most n parts of a store whose salt is outdated, and the store's epoch.
// The parts are marked as being freed, so that Find does not return them.
func (c *Catalog) StartFree(now time.Duration, addr string, n int, outdated func(salt string) bool) (keys []Key, epoch int64) {
	s := c.states[addr]
	if s == nil || !s.known {
		return nil, 0
	}
	for k := range s.heldTokens {
		if len(keys) == n {
			break
		}
		if outdated(k.Salt) {
			keys = append(keys, k)
			s.freeing[k] = now
		}
	}
	return keys, s.epoch
}

// Clock returns a store's clock in milliseconds, or 0 if the store has not reported it.
func (c *Catalog) Clock(now time.Duration, addr string) int64 {
	s := c.states[addr]
	if s == nil {
		return 0
	}
	return s.clock(now)
}

// clock returns the store's clock in milliseconds, or 0 if it is unknown.
func (s *storeState) clock(now time.Duration) int64 {
	if s.clockMillis == 0 {
		return 0
	}
	return s.clockMillis + (now - s.clockAt).Milliseconds()
}

// Usage returns the number of parts and tokens that a store is known to hold.
func (c *Catalog) Usage(addr string) (parts, tokens int) {
	if s := c.states[addr]; s != nil {
		return len(s.heldTokens), s.usedTokens
	}
	return 0, 0
}
