package cfvfleet

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestConditionsOfPeers(t *testing.T) {
	const start, period = time.Hour, time.Second
	unresponsive, lost := Condition{Entry: "b", Unresponsive: true}, Condition{Entry: "b", StoreLost: true}
	tests := map[string]struct {
		happens func(c *Conditions)
		at      time.Duration // since the start
		want    Condition     // of b, unresponsive for the period
	}{
		"nothing known":               {happens: func(*Conditions) {}},
		"it failed just now":          {happens: func(c *Conditions) { c.Failed(start, "b") }, at: period - 1},
		"it failed":                   {happens: func(c *Conditions) { c.Failed(start, "b") }, at: period, want: unresponsive},
		"it is late":                  {happens: func(c *Conditions) { c.Delayed(start, "b") }, at: period},
		"it is late, and fails":       {happens: func(c *Conditions) { c.Delayed(start, "b"); c.Failed(start+1, "b") }, at: period, want: unresponsive},
		"it failed again":             {happens: func(c *Conditions) { c.Failed(start, "b"); c.Failed(start+period/2, "b") }, at: period, want: unresponsive},
		"it responded since":          {happens: func(c *Conditions) { c.Failed(start, "b"); c.Responded(start+1, "b", nil) }, at: period},
		"a peer reports it just now":  {happens: func(c *Conditions) { c.Responded(start, "a", []Condition{unresponsive}) }, at: period - 1},
		"a peer reports it":           {happens: func(c *Conditions) { c.Responded(start, "a", []Condition{unresponsive}) }, at: period, want: unresponsive},
		"a peer reported it long ago": {happens: func(c *Conditions) { c.Responded(start, "a", []Condition{unresponsive}) }, at: reportTTL},
		"it responded after the report": {happens: func(c *Conditions) {
			c.Responded(start, "a", []Condition{unresponsive})
			c.Responded(start+1, "b", nil)
		}, at: period},
		"it responded before the report": {happens: func(c *Conditions) {
			c.Responded(start-1, "b", nil)
			c.Responded(start, "a", []Condition{unresponsive})
		}, at: period, want: unresponsive},
		"it lost the store":                     {happens: func(c *Conditions) { c.Responded(start, "b", []Condition{lost}) }, at: period, want: lost},
		"it lost the store long ago":            {happens: func(c *Conditions) { c.Responded(start, "b", []Condition{lost}) }, at: storeLostTTL},
		"it reaches the store again":            {happens: func(c *Conditions) { c.Responded(start, "b", []Condition{lost}); c.Responded(start+1, "b", nil) }, at: period},
		"a peer reports that it lost the store": {happens: func(c *Conditions) { c.Responded(start, "a", []Condition{lost}) }, at: period, want: lost},
		"it reaches the store since the report": {happens: func(c *Conditions) { c.Responded(start, "a", []Condition{lost}); c.Responded(start+1, "b", nil) }, at: period},
		"a peer that lost the store reports it": {happens: func(c *Conditions) { c.Responded(start, "a", []Condition{{Entry: "a", StoreLost: true}, lost}) }, at: period, want: lost},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := NewConditions()
			tt.happens(c)
			now := start + tt.at
			assert.Equal(t, c.Unresponsive(now, "b", period), tt.want.Unresponsive)
			assert.Equal(t, c.StoreLost(now, "b"), tt.want.StoreLost)
		})
	}
}

// Failure: reports went from peer to peer, so that an entry counted as unresponsive long after it responded again.
func TestOnlyOwnObservationsAreReported(t *testing.T) {
	c := NewConditions()
	c.Responded(time.Hour, "a", []Condition{{Entry: "b", Unresponsive: true}, {Entry: "a", StoreLost: true}})
	c.Failed(time.Hour, "d")
	c.Delayed(time.Hour, "e")
	assert.Assert(t, c.Unresponsive(time.Hour, "e", 0), "the next pull goes to another entry")
	own := c.Own(time.Hour)
	assert.Equal(t, len(own), 2)
	for _, o := range own {
		assert.Assert(t, o == Condition{Entry: "a", StoreLost: true} || o == Condition{Entry: "d", Unresponsive: true}, "%+v", o)
	}
}

func TestGoneEntriesFailedOftenAndForLong(t *testing.T) {
	c := NewConditions()
	for i := range 3 {
		c.Failed(time.Hour+time.Duration(i)*time.Second, "often")
	}
	c.Failed(time.Hour, "once")
	c.Delayed(time.Hour, "late")
	assert.DeepEqual(t, c.Gone(time.Hour+time.Minute, time.Minute, 3), []string{"often"})
	assert.Equal(t, len(c.Gone(time.Hour+time.Minute-1, time.Minute, 3)), 0)
	c.Forget(NewRoster([]Entry{{Name: "once"}}))
	assert.Equal(t, len(c.Gone(time.Hour+time.Minute, time.Minute, 3)), 0)
}

// Failure: entries that were gone for good stayed relays, and nobody did their work.
func TestOthersTakeThePlacesOfImpairedRelays(t *testing.T) {
	var entries []Entry
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		entries = append(entries, Entry{Name: name, Domain: name[:1]})
	}
	names := func(list []Entry) (out []string) {
		for _, e := range list {
			out = append(out, e.Name)
		}
		return out
	}
	r := NewRoster(entries)
	ranked := names(r.ranked)
	sorted := func(list ...string) []string { return slices.Sorted(slices.Values(list)) }
	tests := map[string]struct {
		unresponsive, storeLost    []string
		relays, watchers, standbys []string
	}{
		"none":                       {relays: ranked[:3], watchers: ranked[:3], standbys: ranked[3:6]},
		"one is unresponsive":        {unresponsive: sorted(ranked[1]), relays: []string{ranked[0], ranked[2], ranked[3]}, watchers: []string{ranked[0], ranked[2], ranked[3]}, standbys: ranked[4:7]},
		"all relays are":             {unresponsive: sorted(ranked[:3]...), relays: ranked[3:6], watchers: ranked[3:6], standbys: ranked[6:]},
		"all but one are":            {unresponsive: sorted(ranked[:7]...), relays: ranked[7:], watchers: ranked[7:]},
		"all are":                    {unresponsive: sorted(ranked...), relays: ranked[:3], watchers: ranked[:3], standbys: ranked[3:6]},
		"one does not reach it":      {storeLost: sorted(ranked[0]), relays: ranked[:3], watchers: ranked[1:4], standbys: ranked[4:7]},
		"no relay reaches the store": {storeLost: sorted(ranked[:3]...), relays: ranked[:3], watchers: ranked[3:6], standbys: ranked[6:]},
		"nobody reaches the store":   {storeLost: sorted(ranked...), relays: ranked[:3], watchers: ranked[:3], standbys: ranked[3:6]},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			live := r.Without(tt.unresponsive, tt.storeLost)
			assert.DeepEqual(t, names(live.Relays()), tt.relays)
			assert.DeepEqual(t, names(live.Watchers()), tt.watchers)
			assert.DeepEqual(t, names(live.Standbys()), tt.standbys)
			assert.Equal(t, len(live.Entries()), len(entries))
		})
	}
}
