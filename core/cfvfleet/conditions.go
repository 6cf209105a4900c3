package cfvfleet

import (
	"slices"
	"time"
)

// Validity of what entries learn about each other.
const (
	reportTTL    = 2 * time.Second // of what a peer reported of a third entry
	storeLostTTL = 3 * time.Second // of an entry's own report that it does not reach the key-value store
)

// Condition tells what keeps an entry from serving its peers.
type Condition struct {
	Entry        string
	Unresponsive bool // it does not respond to pulls
	StoreLost    bool // it does not reach the platform's key-value store
}

// seenEntry is what an entry has seen of a peer itself.
type seenEntry struct {
	respondedAt time.Duration // last response; 0: none
	failingFrom time.Duration // first failed pull since then; 0: none
	failures    int           // failed pulls since then
	storeLostAt time.Duration // when it last said so; 0: its last response did not
}

// reportedEntry is what peers last reported of an entry.
type reportedEntry struct {
	Condition
	at                time.Duration
	unresponsiveSince time.Duration // start of the current series of reports; 0: not reported
}

// Conditions holds which entries are impaired, as one entry sees them and as its peers report. Own observations
// take precedence over reports that are older. Times are durations on a clock that keeps running while the VM
// is suspended. It is not safe for concurrent use.
type Conditions struct {
	seen     map[string]seenEntry
	reported map[string]reportedEntry
}

// NewConditions returns conditions without any observations.
func NewConditions() *Conditions {
	return &Conditions{seen: make(map[string]seenEntry), reported: make(map[string]reportedEntry)}
}

// Responded records a response of an entry and the conditions that it reported, its own one among them.
func (c *Conditions) Responded(now time.Duration, entry string, conditions []Condition) {
	s := seenEntry{respondedAt: now}
	for _, r := range conditions {
		if r.Entry == entry {
			if r.StoreLost {
				s.storeLostAt = now
			}
			continue
		}
		e := reportedEntry{Condition: r, at: now}
		if r.Unresponsive {
			e.unresponsiveSince = now
			if last := c.reported[r.Entry]; last.unresponsiveSince > 0 && now-last.at < reportTTL {
				e.unresponsiveSince = last.unresponsiveSince
			}
		}
		c.reported[r.Entry] = e
	}
	c.seen[entry] = s
}

// Delayed records that an entry has not responded to a pull so far. It may only be busy, so this is not reported to peers
// and does not count for longer periods.
func (c *Conditions) Delayed(now time.Duration, entry string) {
	s := c.seen[entry]
	if s.failingFrom == 0 {
		s.failingFrom = now
	}
	c.seen[entry] = s
}

// Failed records that a pull from an entry failed.
func (c *Conditions) Failed(now time.Duration, entry string) {
	c.Delayed(now, entry)
	s := c.seen[entry]
	s.failures++
	c.seen[entry] = s
}

// Unresponsive reports whether an entry has not responded for at least the given time. For a time of 0, a delay is enough.
func (c *Conditions) Unresponsive(now time.Duration, entry string, period time.Duration) bool {
	s := c.seen[entry]
	if s.failingFrom > 0 {
		return now-s.failingFrom >= period && (s.failures > 0 || period == 0)
	}
	r := c.reported[entry]
	return r.Unresponsive && now-r.at < reportTTL && r.at > s.respondedAt && now-r.unresponsiveSince >= period
}

// StoreLost reports whether an entry does not reach the key-value store.
func (c *Conditions) StoreLost(now time.Duration, entry string) bool {
	s := c.seen[entry]
	if s.storeLostAt > 0 {
		return now-s.storeLostAt < storeLostTTL
	}
	r := c.reported[entry]
	return r.StoreLost && now-r.at < reportTTL && r.at > s.respondedAt
}

// Own returns the impaired entries as this entry has seen them itself.
func (c *Conditions) Own(now time.Duration) (out []Condition) {
	for name, s := range c.seen {
		r := Condition{Entry: name, Unresponsive: s.failures > 0, StoreLost: s.storeLostAt > 0 && now-s.storeLostAt < storeLostTTL}
		if r.Unresponsive || r.StoreLost {
			out = append(out, r)
		}
	}
	return out
}

// Gone returns the entries that have not responded to at least the given number of pulls over the given time,
// sorted by name.
func (c *Conditions) Gone(now, period time.Duration, failures int) (out []string) {
	for name, s := range c.seen {
		if s.failingFrom > 0 && now-s.failingFrom >= period && s.failures >= failures {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Forget deletes what is known of all entries that are not in the roster.
func (c *Conditions) Forget(r *Roster) {
	for name := range c.seen {
		if !r.Lists(name) {
			delete(c.seen, name)
		}
	}
	for name := range c.reported {
		if !r.Lists(name) {
			delete(c.reported, name)
		}
	}
}

// Impaired returns the entries that are unresponsive for at least the given time, and those that do not reach the
// key-value store, each sorted by name.
func (c *Conditions) Impaired(now, period time.Duration) (unresponsive, storeLost []string) {
	add := func(name string) {
		if c.Unresponsive(now, name, period) {
			unresponsive = append(unresponsive, name)
		}
		if c.StoreLost(now, name) {
			storeLost = append(storeLost, name)
		}
	}
	for name := range c.seen {
		add(name)
	}
	for name := range c.reported {
		if _, seen := c.seen[name]; !seen {
			add(name)
		}
	}
	slices.Sort(unresponsive)
	slices.Sort(storeLost)
	return unresponsive, storeLost
}
