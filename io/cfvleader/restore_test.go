package cfvleader

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"coltsfootvalve/core/cfvmirror"

	"gotest.tools/v3/assert"
)

// copyStore returns the content and the number of the store's revision.
func (c *cluster) copyStore() (items map[string]cfvmirror.Record, number int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.items), c.rev.Number()
}

// restore restores the store from a copy. The entries learn of it at once, but one learns of it later.
func (c *cluster) restore(items map[string]cfvmirror.Record, number int64, late string, delay time.Duration) {
	c.mu.Lock()
	c.rev = cfvmirror.NewRevision(c.rev.Era()+1, number+1)
	c.leader, c.lease, c.items = "", 0, items
	delete(items, leaderKey)
	var listing []cfvmirror.Record
	for key, r := range items {
		r.Revision = cfvmirror.NewRevision(c.rev.Era(), r.Revision.Number())
		items[key] = r
		listing = append(listing, r)
	}
	asOf := c.rev
	for node, s := range c.states {
		if node != late {
			s.Apply("test", listing, asOf, true)
		}
	}
	lateState := c.states[late]
	c.mu.Unlock()
	time.Sleep(delay)
	if lateState != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		asOf, listing = c.rev, nil
		for _, r := range c.items {
			listing = append(listing, r)
		}
		lateState.Apply("test", listing, asOf, true)
	}
}

// Guards against two leaders with one fencing token: a restored store loses the leader's lease and gives its revision out again. The
// next leader's orders must count as newer, or come after the former one's, which may learn of the restore last.
func TestOrdersAfterARestore(t *testing.T) {
	const limit = 8 * time.Second // the operators' bound on new weights
	for name, pause := range map[string]time.Duration{"tokens are checked": 0, "tokens are not checked": handoverPause} {
		for _, delay := range []time.Duration{0, 300 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprint(name, ", the leader learns of it after ", delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newCluster(pause)
					start := time.Now()
					ctx, cancel := context.WithCancel(t.Context())
					var wg sync.WaitGroup
					for i := range 3 {
						l := c.newLeader(fmt.Sprint("entry-", i), start)
						wg.Go(func() { l.Run(ctx) })
					}
					items, number := c.copyStore() // without a leader
					time.Sleep(2 * time.Second)
					c.setDesiredVersion(2)
					time.Sleep(150 * time.Millisecond) // the leader has sent the first orders
					c.mu.Lock()
					late := c.leader
					if delay == 0 {
						late = ""
					}
					c.mu.Unlock()
					c.restore(items, number, late, delay)
					c.setDesiredVersion(2) // the operator writes it again
					c.setDesiredVersion(3)
					begin := time.Now()
					for !c.allLoaded(3) && time.Since(begin) < time.Minute {
						time.Sleep(50 * time.Millisecond)
					}
					took := time.Since(begin)
					cancel()
					wg.Wait()
					time.Sleep(40 * time.Second) // lets the goroutines that confirm the states end
					assert.Assert(t, took < limit, "the last endpoint was ordered after %s", took)
					c.mu.Lock()
					defer c.mu.Unlock()
					c.checkOrderSequence(t)
					eras := make(map[int64]bool)
					for _, o := range c.orders {
						eras[cfvmirror.Revision(o.fencingToken).Era()] = true
					}
					assert.Equal(t, len(eras), 2, "orders came before and after the restore")
				})
			})
		}
	}
}
