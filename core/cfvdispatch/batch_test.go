package cfvdispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Figures of a batching engine, as the users' sheets give them for the chamber.
const (
	stepMs       = 4.23
	chunkTokens  = 2048
	readPerMs    = 64.2
	pairsMsPerM  = 0.647 // attention over a million pairs of tokens
	stride       = 6     // tokens an event
	pauseAllowed = 300 * time.Millisecond
	firstAllowed = 800 * time.Millisecond
)

// generation is one request at a batching engine.
type generation struct {
	id        string
	at        time.Duration
	unread    int
	context   int // tokens read so far
	output    int // tokens to make
	sinceLast int // tokens since the last event
	last      time.Duration
	first     time.Duration // of the first event, since the arrival; 0: none yet
	pause     time.Duration // longest between two events
}

// batchEngine makes a token of each running stream in every step, and reads one piece of one
// prompt beside.
type batchEngine struct {
	now   time.Duration
	queue []*generation
	runs  []*generation
}

// advance runs steps until the given time and tells which prompts were read and which
// requests are over.
func (b *batchEngine) advance(until time.Duration, read, over func(*generation)) {
	for b.now < until {
		if len(b.queue) == 0 && len(b.runs) == 0 {
			b.now = until
			return
		}
		ms := stepMs
		var ended *generation
		if len(b.queue) > 0 {
			g := b.queue[0]
			n := min(chunkTokens, g.unread)
			ms += float64(n)/readPerMs + float64(n)*float64(g.context)*pairsMsPerM/1e6
			g.unread, g.context = g.unread-n, g.context+n
			if g.unread == 0 {
				ended, b.queue = g, b.queue[1:]
			}
		}
		b.now += time.Duration(ms * float64(time.Millisecond))
		kept := b.runs[:0]
		for _, g := range b.runs {
			g.output--
			if g.sinceLast++; g.sinceLast == stride || g.output == 0 {
				g.pause, g.last, g.sinceLast = max(g.pause, b.now-g.last), b.now, 0
			}
			if g.output > 0 {
				kept = append(kept, g)
				continue
			}
			over(g)
		}
		b.runs = kept
		if ended != nil {
			ended.first, ended.last = b.now-ended.at, b.now
			b.runs = append(b.runs, ended)
			read(ended)
		}
	}
}

// longLoad is a load of long prompts alone.
type longLoad struct {
	perSecond float64
	subjects  int
	kept      float64 // share of subjects whose shared parts a store keeps
	endpoints int
}

// play places the load by one ledger, as the entry that places does, and returns the shares
// of streams that began late and that paused too long.
func (l longLoad) play(seconds int, seed uint64) (late, paused float64) {
	const memory = 72261
	rnd := rand.New(rand.NewPCG(seed, 1))
	spread := func(mean, sigma, most float64) int { // lognormal, as the sheets draw sizes
		return int(min(mean*math.Exp(sigma*rnd.NormFloat64()-sigma*sigma/2), most))
	}
	sizes := make([]int, l.subjects)
	for i := range sizes {
		sizes[i] = spread(12800, 0.6, 34000)
	}
	endpoints := fleetOf(l.endpoints)
	engines := make(map[string]*batchEngine)
	for _, e := range endpoints {
		engines[e.ID] = &batchEngine{}
	}
	d, ledger := New("entry"), NewGrantTable()
	cached := make(map[string]bool)
	var all []*generation
	for now := time.Duration(0); now < time.Duration(seconds)*time.Second; {
		now += time.Duration(rnd.ExpFloat64() / l.perSecond * float64(time.Second))
		for _, e := range endpoints {
			engines[e.ID].advance(now, func(g *generation) { ledger.PrefillDone(e.ID, g.id) }, func(g *generation) { ledger.Release(e.ID, g.id) })
		}
		subject := rnd.IntN(l.subjects)
		shared, own := sizes[subject], spread(4260, 0.7, 17000)
		stored := float64(subject) < l.kept*float64(l.subjects)
		q := Query{
			Endpoints: endpoints, PromptTokens: shared + own, SharedTokens: shared, Affinity: fmt.Sprint("norm-", subject), Stored: stored,
			FetchMsPerToken: 0.0024, Model: "m", Grants: ledger, MemoryTokens: memory,
		}
		c, why := d.Choose(now, q, rnd.Float64())
		if why != Chosen {
			panic("no endpoint")
		}
		home := ledger.CachedOn(now, q.homeKey(), memory) == c.Endpoint.ID
		g := &generation{id: fmt.Sprint(len(all)), at: now, unread: shared + own, output: max(1, spread(20, 1.4, 80))}
		if stored || home && cached[c.Endpoint.ID+q.Affinity] {
			g.unread, g.context = own, shared
		}
		cached[c.Endpoint.ID+q.Affinity] = true
		q.RecordGrant(now, g.id, c.Endpoint)
		engines[c.Endpoint.ID].queue = append(engines[c.Endpoint.ID].queue, g)
		all = append(all, g)
	}
	for _, e := range endpoints {
		engines[e.ID].advance(time.Duration(seconds+30)*time.Second, func(*generation) {}, func(*generation) {})
	}
	for _, g := range all {
		if g.first > firstAllowed {
			late++
		}
		if g.pause > pauseAllowed {
			paused++
		}
	}
	n := float64(len(all))
	return late / n, paused / n
}

// Pattern: long prompts of which a part must be read whole, at endpoints where other streams
// are being made. Reading a whole prompt holds the streams beside it up for longer than they
// may pause.
func TestWholeReadsKeepOffRunningStreams(t *testing.T) {
	tests := map[string]longLoad{
		"the chamber, a fifth not kept":       {perSecond: 24, subjects: 190, kept: 0.8, endpoints: 11},
		"the grown chamber, a fifth not kept": {perSecond: 96, subjects: 771, kept: 0.8, endpoints: 46},
		"the chamber, half not kept":          {perSecond: 24, subjects: 190, kept: 0.5, endpoints: 11},
		"the grown chamber, nothing kept":     {perSecond: 96, subjects: 771, endpoints: 46},
	}
	for name, l := range tests {
		t.Run(name, func(t *testing.T) {
			late, paused := l.play(20, 1)
			// The target: each kind earns nine tenths or more on quiet days.
			assert.Assert(t, late+paused < 0.1, "%.3f began late, %.3f paused", late, paused)
		})
	}
}

// Parts that other prompts have displaced from an endpoint's memory draw nobody there.
func TestHomeEndsWhenMemoryIsFilledAnew(t *testing.T) {
	const memory = 72000
	tests := map[string]struct {
		others int // prompts of 17,000 tokens read there since
		memory int
		want   string
	}{
		"nothing since":       {others: 0, memory: memory, want: "a"},
		"few since":           {others: 2, memory: memory, want: "a"},
		"many since":          {others: 4, memory: memory},
		"memory is not known": {others: 4, want: "a"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := NewGrantTable()
			l.RecordCached(0, "norm", "a", 17000)
			for i := range tt.others {
				l.RecordCached(0, fmt.Sprint("other-", i), "a", 17000)
			}
			assert.Equal(t, l.CachedOn(time.Second, "norm", tt.memory), tt.want)
		})
	}
}
