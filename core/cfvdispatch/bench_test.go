package cfvdispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkChoose measures one choice among the endpoints of a service: a lookup at any
// entry, and a long prompt by the ledger of the entry that places it.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{18, 71, 300, 900} {
		endpoints := fleetOf(n)
		rnd := rand.New(rand.NewPCG(1, 1))
		b.Run(fmt.Sprint("lookup/", n), func(b *testing.B) {
			d := New("entry")
			for range b.N {
				q := Query{Endpoints: endpoints, Tokens: 383, Shared: 301, Affinity: fmt.Sprint(rnd.IntN(7723)), Model: "m", Border: n / 3}
				if _, why := d.Choose(0, q, rnd.Float64()); why != Chosen {
					b.Fatal(why)
				}
			}
		})
		b.Run(fmt.Sprint("ledger/", n), func(b *testing.B) {
			d, l := New("entry"), NewLedger()
			groups := Groups(n)
			for i := range b.N {
				now := time.Duration(i) * 10 * time.Millisecond
				q := Query{Endpoints: endpoints, Tokens: 17000, Shared: 12800, Affinity: fmt.Sprint(rnd.IntN(771)), Model: "m", Border: n / 3, Memory: 72000}
				q.Narrow(InGroup(endpoints, 0, groups))
				q.Ledger = l
				c, why := d.Choose(now, q, rnd.Float64())
				if why != Chosen {
					b.Fatal(why)
				}
				q.Granted(now, fmt.Sprint(i), c.Endpoint)
			}
		})
	}
}
