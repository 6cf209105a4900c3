package cfvroute

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"coltsfootvalve/core/cfvcatalog"
	"coltsfootvalve/core/cfvowner"
	"coltsfootvalve/core/cfvslot"

	lru "github.com/hashicorp/golang-lru/v2"
	"gotest.tools/v3/assert"
)

// The simulated fleet, modelled on the users' chamber deployment, and a simple cost model of an
// engine.
const (
	benchEngines    = 20
	benchEntries    = 8
	benchSlots      = 8
	benchBlocks     = 120 // blocks in an engine's cache
	blockCompute    = 60 * time.Millisecond
	blockImport     = 12 * time.Millisecond // on an idle link; a store sends one block at a time
	shortCompute    = 10 * time.Millisecond
	decodeLong      = 900 * time.Millisecond
	decodeShort     = 150 * time.Millisecond
	reportLag       = 500 * time.Millisecond
	networkDelay    = time.Millisecond
	prefillSlowdown = 0.15 // relative slowdown of a prefill for each concurrent request
)

// benchRequest is one simulated request.
type benchRequest struct {
	at        time.Duration
	entry     int
	prompt    int // -1 for a short lookup
	blocks    int
	returning bool // the prompt was sent before
}

// arrivals returns the same requests for the same seed. Most long prompts return, after other
// prompts have evicted their blocks from the engines' caches.
func arrivals(seed uint64, n int, perSecond float64) []benchRequest {
	r := rand.New(rand.NewPCG(seed, 11))
	sizes := make(map[int]int)
	at := time.Duration(0)
	out := make([]benchRequest, 0, n)
	for range n {
		at += time.Duration(r.ExpFloat64() / perSecond * float64(time.Second))
		q := benchRequest{at: at, entry: r.IntN(benchEntries), prompt: -1}
		if r.Float64() < 0.5 {
			q.prompt = r.IntN(700)
			q.blocks, q.returning = sizes[q.prompt], sizes[q.prompt] > 0
			if !q.returning {
				q.blocks = 2 + r.IntN(10)
				sizes[q.prompt] = q.blocks
			}
		}
		out = append(out, q)
	}
	return out
}

// benchEngine is a simulated engine.
type benchEngine struct {
	running    int
	maxRunning int
	cache      *lru.Cache[string, struct{}]
	reports    []int // running requests in each load report
}

// simulation runs a list of requests with one placement policy.
type simulation struct {
	now               time.Duration
	engines           []*benchEngine
	ends              endQueue
	pickEngine        func(s *simulation, q benchRequest) (engine int, ok bool)
	onEnd             func(s *simulation, e requestEnd)
	store             map[string]bool
	linkFreeAt        time.Duration // when the network link of the store is free
	useStore          bool
	waiting           []benchRequest
	firstTokenSeconds []float64 // times to first token of returning prompts
	returningBlocks   int
	recomputedBlocks  int // blocks of returning prompts that were recomputed
	refused           int
	linkBusy          time.Duration
}

type requestEnd struct {
	at        time.Duration
	engine    int
	requestID string
}

type endQueue []requestEnd

func (q endQueue) Len() int           { return len(q) }
func (q endQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q endQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *endQueue) Push(x any)        { *q = append(*q, x.(requestEnd)) }
func (q *endQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func newSimulation(useStore bool) *simulation {
	s := &simulation{store: make(map[string]bool), useStore: useStore}
	for range benchEngines {
		cache, err := lru.New[string, struct{}](benchBlocks)
		if err != nil {
			panic(err)
		}
		s.engines = append(s.engines, &benchEngine{cache: cache})
	}
	return s
}

// reportedRunning returns the running requests of an engine according to its latest load report.
func (s *simulation) reportedRunning(i int) int {
	k := int((s.now - reportLag) / reportLag)
	e := s.engines[i]
	if k < 0 || len(e.reports) == 0 {
		return 0
	}
	return e.reports[min(k, len(e.reports)-1)]
}

// advance advances the clock to t: requests end, and waiting requests start.
func (s *simulation) advance(t time.Duration) {
	for len(s.ends) > 0 && s.ends[0].at <= t {
		e := heap.Pop(&s.ends).(requestEnd)
		s.tick(e.at)
		s.engines[e.engine].running--
		if s.onEnd != nil {
			s.onEnd(s, e)
		}
		s.retry()
	}
	s.tick(t)
}

// tick records the load reports up to t and sets the clock.
func (s *simulation) tick(t time.Duration) {
	for k := s.now/reportLag + 1; k <= t/reportLag; k++ {
		for _, e := range s.engines {
			e.reports = append(e.reports, e.running)
		}
	}
	s.now = t
}

func (s *simulation) retry() {
	waiting := s.waiting
	s.waiting = nil
	for _, q := range waiting {
		s.start(q)
	}
}

// start places a request, or lets it wait for up to two seconds.
func (s *simulation) start(q benchRequest) {
	i, ok := s.pickEngine(s, q)
	if !ok {
		if s.now-q.at > 2*time.Second {
			s.refused++
			return
		}
		s.waiting = append(s.waiting, q)
		return
	}
	s.run(q, i)
}

func blockKey(prompt, i int) string { return fmt.Sprintf("%d/%d", prompt, i) }

// run starts a request at an engine and schedules its end.
func (s *simulation) run(q benchRequest, i int) {
	e := s.engines[i]
	e.running++
	e.maxRunning = max(e.maxRunning, e.running)
	slow := 1 + prefillSlowdown*float64(e.running-1)
	prefill, decode := shortCompute, decodeShort
	if q.prompt >= 0 {
		prefill, decode = s.prefill(q, e), decodeLong
	}
	prefill = time.Duration(float64(prefill) * slow)
	if q.returning {
		s.firstTokenSeconds = append(s.firstTokenSeconds, (s.now - q.at + networkDelay + prefill).Seconds())
	}
	heap.Push(&s.ends, requestEnd{s.now + networkDelay + prefill + decode, i, fmt.Sprint(q.at)})
}

// prefill returns the time that the prefill of a prompt takes. Blocks that the engine has not
// cached are imported from the store if that is faster than computing them.
func (s *simulation) prefill(q benchRequest, e *benchEngine) (cost time.Duration) {
	hit := 0
	for hit < q.blocks && e.cache.Contains(blockKey(q.prompt, hit)) {
		hit++
	}
	compute := q.blocks - hit
	if s.useStore && s.store[blockKey(q.prompt, q.blocks-1)] {
		wait := max(0, s.linkFreeAt-s.now) + time.Duration(compute)*blockImport
		if wait < time.Duration(compute)*blockCompute {
			s.linkFreeAt = max(s.linkFreeAt, s.now) + time.Duration(compute)*blockImport
			s.linkBusy += time.Duration(compute) * blockImport
			cost, compute = wait, 0
		}
	}
	if q.returning {
		s.returningBlocks += q.blocks
		s.recomputedBlocks += compute
	}
	for k := range q.blocks {
		e.cache.Add(blockKey(q.prompt, k), struct{}{})
		s.store[blockKey(q.prompt, k)] = true
	}
	return cost + time.Duration(compute)*blockCompute
}

func (s *simulation) play(list []benchRequest) {
	for _, q := range list {
		s.advance(q.at)
		s.start(q)
	}
	s.advance(list[len(list)-1].at + time.Minute)
	sort.Float64s(s.firstTokenSeconds)
}

func (s *simulation) maxRunning() int {
	n := 0
	for _, e := range s.engines {
		n = max(n, e.maxRunning)
	}
	return n
}

// randomPick picks a random engine, like a load balancer without state.
func randomPick(seed uint64) func(*simulation, benchRequest) (int, bool) {
	r := rand.New(rand.NewPCG(seed, 5))
	return func(*simulation, benchRequest) (int, bool) { return r.IntN(benchEngines), true }
}

// leastReportedPick picks the engine with the least load in its latest report.
func leastReportedPick(s *simulation, q benchRequest) (int, bool) {
	best := q.entry
	for i := range s.engines {
		if s.reportedRunning(i) < s.reportedRunning(best) {
			best = i
		}
	}
	return best, true
}

// affinityPick picks an engine by rendezvous hashing. Each entry limits only its own running
// requests at an engine.
func affinityPick() (func(*simulation, benchRequest) (int, bool), func(*simulation, requestEnd)) {
	local := make(map[[2]int]int)
	entryByRequest := make(map[string]int)
	pick := func(_ *simulation, q benchRequest) (int, bool) {
		key := fmt.Sprint("p", q.prompt)
		if q.prompt < 0 {
			key = fmt.Sprint("r", q.at)
		}
		for _, name := range cfvowner.Rank(key, engineNames) {
			i := engineIndex[name]
			if local[[2]int{q.entry, i}] < max(1, benchSlots/benchEntries) {
				local[[2]int{q.entry, i}]++
				entryByRequest[fmt.Sprint(q.at)] = q.entry
				return i, true
			}
		}
		return 0, false
	}
	return pick, func(_ *simulation, e requestEnd) { local[[2]int{entryByRequest[e.requestID], e.engine}]-- }
}

// ownedPick reserves a slot from the owners of three groups, one in each failure domain, as
// entries do.
func ownedPick() (func(*simulation, benchRequest) (int, bool), func(*simulation, requestEnd)) {
	epoch := time.Unix(6_000_000, 0)
	table := cfvslot.New()
	groups := benchGroups()
	setup := cfvslot.TableConfig{Epoch: "bench", MaxRequestDuration: time.Minute}
	for _, g := range groups {
		setup.Endpoints = append(setup.Endpoints, g.Endpoints...)
	}
	table.Configure(epoch, setup)
	for _, g := range groups {
		table.SetLease(epoch, g.Key, epoch.Add(1000*time.Hour), nil)
	}
	for _, name := range engineNames {
		table.ApplyLoadReport(epoch, name, cfvslot.LoadReport{BootID: "1"})
	}
	pick := func(s *simulation, q benchRequest) (int, bool) {
		id, route := fmt.Sprint(q.at), ""
		if q.prompt >= 0 {
			route = fmt.Sprint("p", q.prompt)
		}
		key := route
		if key == "" {
			key = id
		}
		for n, g := range Order(key, "r", groups, 4) {
			r := cfvslot.Request{Slot: fmt.Sprint(id, "/", n, "/", s.now), Group: g, Entry: "n", Workspace: "w", PromptKey: route, MaxDuration: time.Minute}
			if d := table.Reserve(epoch.Add(s.now), r); d[0].Grant != nil {
				i := engineIndex[d[0].Grant.Endpoint]
				slotByRequest[id] = r.Slot
				return i, true
			}
		}
		return 0, false
	}
	return pick, func(s *simulation, e requestEnd) {
		table.Release(epoch.Add(s.now), cfvslot.Release{Slot: slotByRequest[e.requestID], Endpoint: engineNames[e.engine], Outcome: cfvslot.OutcomeDone, BootID: "1"})
	}
}

var (
	engineNames, engineIndex = benchNames()
	slotByRequest            = make(map[string]string)
)

func benchNames() ([]string, map[string]int) {
	var names []string
	index := make(map[string]int)
	for i := range benchEngines {
		name := fmt.Sprintf("r/d%d/a%02d", i%3, i)
		names = append(names, name)
		index[name] = i
	}
	return names, index
}

func benchGroups() []cfvcatalog.Group {
	byDomain := make(map[string]*cfvcatalog.Group)
	for _, name := range engineNames {
		d := name[2:4]
		if byDomain[d] == nil {
			byDomain[d] = &cfvcatalog.Group{Key: "assistant/r/" + d + "/0", Region: "r", Domain: d}
		}
		g := byDomain[d]
		g.Endpoints = append(g.Endpoints, cfvslot.EndpointConfig{
			Name: name, Group: g.Key, Address: name, ColdSlots: benchSlots, WarmSlots: benchSlots, MinRampInterval: time.Second,
		})
	}
	return []cfvcatalog.Group{*byDomain["d0"], *byDomain["d1"], *byDomain["d2"]}
}

// policies returns the compared placement policies by name.
func policies(seed uint64) map[string]func() *simulation {
	with := func(useStore bool, pick func(*simulation, benchRequest) (int, bool), ended func(*simulation, requestEnd)) *simulation {
		s := newSimulation(useStore)
		s.pickEngine, s.onEnd = pick, ended
		return s
	}
	return map[string]func() *simulation{
		"random":            func() *simulation { return with(false, randomPick(seed), nil) },
		"least-lagged-load": func() *simulation { return with(false, leastReportedPick, nil) },
		"affinity-shares":   func() *simulation { p, e := affinityPick(); return with(false, p, e) },
		"owner":             func() *simulation { p, e := ownedPick(); return with(false, p, e) },
		"random-store":      func() *simulation { return with(true, randomPick(seed), nil) },
		"owner-store":       func() *simulation { p, e := ownedPick(); return with(true, p, e) },
	}
}

// BenchmarkPlacement simulates the same requests, with the shape of the chamber's load, with each
// placement policy and reports the times to first token of returning prompts.
func BenchmarkPlacement(b *testing.B) {
	list := arrivals(1, 30_000, 45)
	for _, name := range []string{"random", "least-lagged-load", "affinity-shares", "owner", "random-store", "owner-store"} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				p := policies(1)[name]()
				p.play(list)
				quantile := func(q float64) float64 { return p.firstTokenSeconds[int(q*float64(len(p.firstTokenSeconds)-1))] * 1000 }
				b.ReportMetric(quantile(0.5), "p50-ms")
				b.ReportMetric(quantile(0.95), "p95-ms")
				b.ReportMetric(quantile(0.99), "p99-ms")
				b.ReportMetric(100*float64(p.recomputedBlocks)/float64(p.returningBlocks), "%recomputed")
				b.ReportMetric(float64(p.maxRunning()), "worst-in-flight")
				b.ReportMetric(float64(p.refused), "refused")
				b.ReportMetric(100*p.linkBusy.Seconds()/p.now.Seconds(), "%link")
			}
		})
	}
}

func TestOwnersNeverExceedTheSlotsOfAnEngine(t *testing.T) {
	p := policies(1)["owner"]()
	p.play(arrivals(2, 1500, 120))
	assert.Assert(t, p.maxRunning() <= benchSlots, "maximum of running requests: %d", p.maxRunning())
}

func TestDrainingAGroupKeepsTheOrderOfTheOthers(t *testing.T) {
	groups := benchGroups()
	for i := range 50 {
		key := fmt.Sprint("prompt", i)
		all := Order(key, "r", groups, 3)
		assert.Equal(t, len(all), 3)
		drained := benchGroups()
		for k := range drained {
			drained[k].Drained = drained[k].Key == all[0]
		}
		assert.DeepEqual(t, Order(key, "r", drained, 3), all[1:])
	}
}

// BenchmarkOrder measures Order for four fleet sizes.
func BenchmarkOrder(b *testing.B) {
	for _, n := range []int{20, 100, 300, 900} {
		var groups []cfvcatalog.Group
		for g := range (n + 7) / 8 {
			grp := cfvcatalog.Group{Key: fmt.Sprint("g", g), Region: "r"}
			for i := range 8 {
				grp.Endpoints = append(grp.Endpoints, cfvslot.EndpointConfig{Name: fmt.Sprint("e", g, "/", i)})
			}
			groups = append(groups, grp)
		}
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			for i := range b.N {
				Order(fmt.Sprint(i), "r", groups, 4)
			}
		})
	}
}
