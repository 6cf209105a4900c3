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

// The chamber's shape and a plain cost model of an engine.
const (
	benchEngines  = 20
	benchEntries  = 8
	benchSlots    = 8
	benchBlocks   = 120 // blocks in an engine's cache
	blockCompute  = 60 * time.Millisecond
	blockImport   = 12 * time.Millisecond // on a quiet link, one block at a time for a store
	shortCompute  = 10 * time.Millisecond
	decodeLong    = 900 * time.Millisecond
	decodeShort   = 150 * time.Millisecond
	reportLag     = 500 * time.Millisecond
	hop           = time.Millisecond
	sharedPrefill = 0.15 // how much slower a prefill gets for each request that runs beside it
)

// request is one arrival.
type benchRequest struct {
	at     time.Duration
	entry  int
	prompt int // -1 for a short lookup
	blocks int
	again  bool // the prompt was sent before
}

// arrivals returns the same requests for the same seed: most long prompts return, after
// gaps in which other prompts push their blocks out of the engines' memory.
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
			q.blocks, q.again = sizes[q.prompt], sizes[q.prompt] > 0
			if !q.again {
				q.blocks = 2 + r.IntN(10)
				sizes[q.prompt] = q.blocks
			}
		}
		out = append(out, q)
	}
	return out
}

// benchEngine is an engine of the cost model.
type benchEngine struct {
	running int
	most    int
	cache   *lru.Cache[string, struct{}]
	reports []int // running, as reported at each lag
}

// bench plays arrivals against one policy.
type bench struct {
	now     time.Duration
	engines []*benchEngine
	ends    endQueue
	pick    func(b *bench, q benchRequest) (engine int, ok bool)
	ended   func(b *bench, e end)
	store   map[string]bool
	link    time.Duration // when the store's link is free
	tier    bool
	waiting []benchRequest
	first   []float64 // seconds, of returning prompts
	blocks  int
	again   int // blocks of returning prompts that were computed again
	refused int
	linkUse time.Duration
}

type end struct {
	at     time.Duration
	engine int
	slot   string
}

type endQueue []end

func (q endQueue) Len() int           { return len(q) }
func (q endQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q endQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *endQueue) Push(x any)        { *q = append(*q, x.(end)) }
func (q *endQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func newBench(tier bool) *bench {
	b := &bench{store: make(map[string]bool), tier: tier}
	for range benchEngines {
		cache, err := lru.New[string, struct{}](benchBlocks)
		if err != nil {
			panic(err)
		}
		b.engines = append(b.engines, &benchEngine{cache: cache})
	}
	return b
}

// lagged returns what an engine's load report says now.
func (b *bench) lagged(i int) int {
	k := int((b.now - reportLag) / reportLag)
	e := b.engines[i]
	if k < 0 || len(e.reports) == 0 {
		return 0
	}
	return e.reports[min(k, len(e.reports)-1)]
}

// advance lets time pass to t: requests end, and waiting ones start.
func (b *bench) advance(t time.Duration) {
	for len(b.ends) > 0 && b.ends[0].at <= t {
		e := heap.Pop(&b.ends).(end)
		b.tick(e.at)
		b.engines[e.engine].running--
		if b.ended != nil {
			b.ended(b, e)
		}
		b.retry()
	}
	b.tick(t)
}

func (b *bench) tick(t time.Duration) {
	for k := b.now/reportLag + 1; k <= t/reportLag; k++ {
		for _, e := range b.engines {
			e.reports = append(e.reports, e.running)
		}
	}
	b.now = t
}

func (b *bench) retry() {
	waiting := b.waiting
	b.waiting = nil
	for _, q := range waiting {
		b.start(q)
	}
}

// start places a request, or has it wait up to two seconds.
func (b *bench) start(q benchRequest) {
	i, ok := b.pick(b, q)
	if !ok {
		if b.now-q.at > 2*time.Second {
			b.refused++
			return
		}
		b.waiting = append(b.waiting, q)
		return
	}
	b.run(q, i)
}

func blockKey(prompt, i int) string { return fmt.Sprintf("%d/%d", prompt, i) }

// run costs a request at an engine.
func (b *bench) run(q benchRequest, i int) {
	e := b.engines[i]
	e.running++
	e.most = max(e.most, e.running)
	slow := 1 + sharedPrefill*float64(e.running-1)
	prefill, decode := shortCompute, decodeShort
	if q.prompt >= 0 {
		prefill, decode = b.prefill(q, e), decodeLong
	}
	prefill = time.Duration(float64(prefill) * slow)
	if q.again {
		b.first = append(b.first, (b.now - q.at + hop + prefill).Seconds())
	}
	heap.Push(&b.ends, end{b.now + hop + prefill + decode, i, fmt.Sprint(q.at)})
}

func (b *bench) prefill(q benchRequest, e *benchEngine) (cost time.Duration) {
	hit := 0
	for hit < q.blocks && e.cache.Contains(blockKey(q.prompt, hit)) {
		hit++
	}
	compute := q.blocks - hit
	if b.tier && b.store[blockKey(q.prompt, q.blocks-1)] {
		wait := max(0, b.link-b.now) + time.Duration(compute)*blockImport
		if wait < time.Duration(compute)*blockCompute {
			b.link = max(b.link, b.now) + time.Duration(compute)*blockImport
			b.linkUse += time.Duration(compute) * blockImport
			cost, compute = wait, 0
		}
	}
	if q.again {
		b.blocks += q.blocks
		b.again += compute
	}
	for k := range q.blocks {
		e.cache.Add(blockKey(q.prompt, k), struct{}{})
		b.store[blockKey(q.prompt, k)] = true
	}
	return cost + time.Duration(compute)*blockCompute
}

func (b *bench) play(list []benchRequest) {
	for _, q := range list {
		b.advance(q.at)
		b.start(q)
	}
	b.advance(list[len(list)-1].at + time.Minute)
	sort.Float64s(b.first)
}

func (b *bench) most() int {
	n := 0
	for _, e := range b.engines {
		n = max(n, e.most)
	}
	return n
}

// randomPick takes any engine, as a balancer without state does.
func randomPick(seed uint64) func(*bench, benchRequest) (int, bool) {
	r := rand.New(rand.NewPCG(seed, 5))
	return func(*bench, benchRequest) (int, bool) { return r.IntN(benchEngines), true }
}

// laggedPick takes the engine whose latest report shows the least load.
func laggedPick(b *bench, q benchRequest) (int, bool) {
	best := q.entry
	for i := range b.engines {
		if b.lagged(i) < b.lagged(best) {
			best = i
		}
	}
	return best, true
}

// affinityPick takes the engine that rendezvous hashing gives, with local counts of one
// entry as its only bound.
func affinityPick() (func(*bench, benchRequest) (int, bool), func(*bench, end)) {
	local := make(map[[2]int]int)
	slotOf := make(map[string]int)
	pick := func(_ *bench, q benchRequest) (int, bool) {
		key := fmt.Sprint("p", q.prompt)
		if q.prompt < 0 {
			key = fmt.Sprint("r", q.at)
		}
		for _, name := range cfvowner.Rank(key, engineNames) {
			i := engineIndex[name]
			if local[[2]int{q.entry, i}] < max(1, benchSlots/benchEntries) {
				local[[2]int{q.entry, i}]++
				slotOf[fmt.Sprint(q.at)] = q.entry
				return i, true
			}
		}
		return 0, false
	}
	return pick, func(_ *bench, e end) { local[[2]int{slotOf[e.slot], e.engine}]-- }
}

// ownedPick asks the owners of three groups, one a failure domain, as entries do.
func ownedPick() (func(*bench, benchRequest) (int, bool), func(*bench, end)) {
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
	pick := func(b *bench, q benchRequest) (int, bool) {
		id, route := fmt.Sprint(q.at), ""
		if q.prompt >= 0 {
			route = fmt.Sprint("p", q.prompt)
		}
		key := route
		if key == "" {
			key = id
		}
		for n, g := range Order(key, "r", groups, 4) {
			r := cfvslot.Request{Slot: fmt.Sprint(id, "/", n, "/", b.now), Group: g, Entry: "n", Workspace: "w", PromptKey: route, MaxDuration: time.Minute}
			if d := table.Reserve(epoch.Add(b.now), r); d[0].Grant != nil {
				i := engineIndex[d[0].Grant.Endpoint]
				slots[id] = r.Slot
				return i, true
			}
		}
		return 0, false
	}
	return pick, func(b *bench, e end) {
		table.Release(epoch.Add(b.now), cfvslot.Release{Slot: slots[e.slot], Endpoint: engineNames[e.engine], Outcome: cfvslot.OutcomeDone, BootID: "1"})
	}
}

var (
	engineNames, engineIndex = benchNames()
	slots                    = make(map[string]string)
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

// policies returns every way that is compared, by name.
func policies(seed uint64) map[string]func() *bench {
	with := func(tier bool, pick func(*bench, benchRequest) (int, bool), ended func(*bench, end)) *bench {
		b := newBench(tier)
		b.pick, b.ended = pick, ended
		return b
	}
	return map[string]func() *bench{
		"random":            func() *bench { return with(false, randomPick(seed), nil) },
		"least-lagged-load": func() *bench { return with(false, laggedPick, nil) },
		"affinity-shares":   func() *bench { p, e := affinityPick(); return with(false, p, e) },
		"owner":             func() *bench { p, e := ownedPick(); return with(false, p, e) },
		"random-store":      func() *bench { return with(true, randomPick(seed), nil) },
		"owner-store":       func() *bench { p, e := ownedPick(); return with(true, p, e) },
	}
}

// BenchmarkPlacement plays the same arrivals of the chamber's shape against each way to
// place them and reports the time to first token of returning prompts.
func BenchmarkPlacement(b *testing.B) {
	list := arrivals(1, 30_000, 45)
	for _, name := range []string{"random", "least-lagged-load", "affinity-shares", "owner", "random-store", "owner-store"} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				p := policies(1)[name]()
				p.play(list)
				at := func(q float64) float64 { return p.first[int(q*float64(len(p.first)-1))] * 1000 }
				b.ReportMetric(at(0.5), "p50-ms")
				b.ReportMetric(at(0.95), "p95-ms")
				b.ReportMetric(at(0.99), "p99-ms")
				b.ReportMetric(100*float64(p.again)/float64(p.blocks), "%recomputed")
				b.ReportMetric(float64(p.most()), "worst-in-flight")
				b.ReportMetric(float64(p.refused), "refused")
				b.ReportMetric(100*p.linkUse.Seconds()/p.now.Seconds(), "%link")
			}
		})
	}
}

func TestOwnersHoldEveryEngineToItsSlots(t *testing.T) {
	p := policies(1)["owner"]()
	p.play(arrivals(2, 1500, 120))
	assert.Assert(t, p.most() <= benchSlots, "worst in flight %d", p.most())
}

func TestOrderKeepsWhenAGroupLeaves(t *testing.T) {
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

// BenchmarkOrder measures the choice of groups at four fleet sizes.
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
