package cfvmove

import (
	"sort"
	"time"
)

// Endpoint is one endpoint of a service that moves, as its load report shows it.
type Endpoint struct {
	Name    string
	Address string
	Version string
	Loading bool
	Known   bool // a load report of it was read lately
}

// Order asks an endpoint to load a version.
type Order struct {
	Endpoint string
	Address  string
	Version  string
}

// loadLimit is how long an order may take before it is given again.
const loadLimit = 5 * time.Second

// Loads gives the orders of one move. It is not safe for concurrent use.
type LoadPlanner struct {
	given map[string]given
}

// given is an order that an endpoint may still be carrying out.
type given struct {
	version string
	at      time.Time
}

// NewLoads returns a giver of orders that has given none.
func NewLoadPlanner() *LoadPlanner {
	return &LoadPlanner{given: make(map[string]given)}
}

// Wanted returns how many of n endpoints should run the new version at a share: all of
// them only at the whole, so that the old version is not gone while it gets requests.
func DesiredEndpoints(n, share int) int {
	if share <= 0 {
		return 0
	}
	if share >= FullShare {
		return n
	}
	return min(n-1, (n*share+FullShare-1)/FullShare)
}

// Next returns the orders to give now, so that the wanted number of endpoints run the new
// version and no more than the bound load at once. An endpoint that loads, or that was
// ordered to lately, counts against the bound; the latter counts as moved.
func (l *LoadPlanner) Next(now time.Time, p Plan, list []Endpoint, share int) []Order {
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	wanted, moved, busy := DesiredEndpoints(len(list), share), 0, 0
	for _, e := range list {
		waits := l.waits(now, e)
		if e.Loading || waits {
			busy++
		}
		if l.heading(now, e) == p.To {
			moved++
		}
	}
	var out []Order
	for _, e := range list {
		if busy >= p.LoadsAtOnce || !e.Known || e.Loading || l.waits(now, e) {
			continue
		}
		switch {
		case moved < wanted && e.Version != p.To:
			out = append(out, Order{e.Name, e.Address, p.To})
			moved++
		case moved > wanted && e.Version == p.To:
			out = append(out, Order{e.Name, e.Address, p.From})
			moved--
		default:
			continue
		}
		busy++
	}
	for _, o := range out {
		l.given[o.Endpoint] = given{o.Version, now}
	}
	return out
}

// waits reports whether an order to the endpoint may still be carried out.
func (l *LoadPlanner) waits(now time.Time, e Endpoint) bool {
	g, ok := l.given[e.Name]
	return ok && g.version != e.Version && now.Sub(g.at) < loadLimit
}

// heading returns the version that the endpoint runs or is about to run.
func (l *LoadPlanner) heading(now time.Time, e Endpoint) string {
	if l.waits(now, e) {
		return l.given[e.Name].version
	}
	return e.Version
}
