package cfvmove

import (
	"sort"
	"time"
)

// Endpoint is one endpoint of a service that is being moved, as its load report shows it.
type Endpoint struct {
	Name    string
	Address string
	Version string
	Loading bool
	Known   bool // the load report was read and Version and Loading are set
}

// Order is a request to an endpoint to load a version.
type Order struct {
	Endpoint string
	Address  string
	Version  string
}

// orderTimeout is how long an endpoint may take to carry out an order before it is sent again.
const orderTimeout = 5 * time.Second

// LoadPlanner decides which endpoints load which version during one move. It is not safe for
// concurrent use.
type LoadPlanner struct {
	pending map[string]pendingOrder
}

// pendingOrder is an order that an endpoint may still be carrying out.
type pendingOrder struct {
	version string
	sentAt  time.Time
}

// NewLoadPlanner returns a planner without pending orders.
func NewLoadPlanner() *LoadPlanner {
	return &LoadPlanner{pending: make(map[string]pendingOrder)}
}

// DesiredEndpoints returns how many of n endpoints should run the new version at a share. It
// returns n only at the full share, so that at least one endpoint runs the old version while
// it gets requests.
func DesiredEndpoints(n, share int) int {
	if share <= 0 {
		return 0
	}
	if share >= FullShare {
		return n
	}
	return min(n-1, (n*share+FullShare-1)/FullShare)
}

// Next returns the orders to send now, so that the desired number of endpoints run the new
// version and at most Plan.LoadsAtOnce endpoints load at once. An endpoint that is loading
// or has a pending order counts against that limit. An endpoint with a pending order counts
// as running the ordered version.
func (l *LoadPlanner) Next(now time.Time, p Plan, list []Endpoint, share int) []Order {
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	desired, moved, loading := DesiredEndpoints(len(list), share), 0, 0
	for _, e := range list {
		pending := l.isPending(now, e)
		if e.Loading || pending {
			loading++
		}
		if l.targetVersion(now, e) == p.To {
			moved++
		}
	}
	var out []Order
	for _, e := range list {
		if loading >= p.LoadsAtOnce || !e.Known || e.Loading || l.isPending(now, e) {
			continue
		}
		switch {
		case moved < desired && e.Version != p.To:
			out = append(out, Order{e.Name, e.Address, p.To})
			moved++
		case moved > desired && e.Version == p.To:
			out = append(out, Order{e.Name, e.Address, p.From})
			moved--
		default:
			continue
		}
		loading++
	}
	for _, o := range out {
		l.pending[o.Endpoint] = pendingOrder{o.Version, now}
	}
	return out
}

// isPending reports whether the endpoint may still be carrying out an order.
func (l *LoadPlanner) isPending(now time.Time, e Endpoint) bool {
	order, ok := l.pending[e.Name]
	return ok && order.version != e.Version && now.Sub(order.sentAt) < orderTimeout
}

// targetVersion returns the version that the endpoint was ordered to load, or else the one
// that it runs.
func (l *LoadPlanner) targetVersion(now time.Time, e Endpoint) string {
	if l.isPending(now, e) {
		return l.pending[e.Name].version
	}
	return e.Version
}
