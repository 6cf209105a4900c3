// Package cfvdispatch chooses the endpoint of each request at one entry: by cached prompt
// parts, by what runs there, by what a cold endpoint bears and by what was seen to fail.
package cfvdispatch

import (
	"math"
	"time"

	"coltsfootvalve/core/cfvfleet"

	"github.com/cespare/xxhash/v2"
)

// Figures of the choice. An endpoint's score is the time until it answers, as far as the
// entry can tell, in milliseconds.
const (
	readTokensPerMs = 60.0  // prompt tokens read in a millisecond; the platform's engines read 64 and 93
	runningMs       = 6.0   // what one running request adds to the others
	slotsShare      = 0.75  // of an endpoint's slots from which requests wait, as its load is heard late
	queuedMs        = 15.0  // what a request beyond that waits for each before it
	missFactor      = 4.0   // reading a shared part again also takes time from all other requests there
	oldWeightsMs    = 100.0 // answers on replaced weights lose a fifth of their worth, late ones four fifths
	loadingMs       = 250.0 // an endpoint that loads weights takes no new request for half a second
	failingMs       = 400.0 // an endpoint that fails while its health is good
	coldMs          = 60.0  // a cold endpoint, so that warm ones go first
	domainMs        = 1.0   // another failure domain
	shortAwayMs     = 150.0 // a short prompt among long ones waits for the rest of one
	longAwayFactor  = 3.0   // a long prompt among short ones delays many of them by what it reads
	pauseTokens     = 10000 // reading so many tokens or more makes a pause of over 0.3 s in streams there, six steps with a piece each
	pauseMs         = 250.0 // what a stream that is held up weighs: most of its worth, at one time in two
	memoryShare     = 0.7   // of an engine's memory for long prompts; a request that finds none is preempted and read again
	fetchSpare      = 1.5   // fetches queue for the link
	fetchStartMs    = 6.0   // until a store's first byte
)

// state is what the entry knows of one endpoint by its own requests.
type state struct {
	inc       cfvfleet.Incarnation
	running   int
	tokens    int // prompt tokens not yet answered
	peers     Load
	down      time.Duration // not used before, unless nothing else is left
	backoff   time.Duration
	coldTo    time.Duration
	coldSends []time.Duration
	loadingTo time.Duration // weights are being loaded
	weights   map[string]int64
	outcomes  outcomes
}

// Load is what other entries have at an endpoint.
type Load struct {
	Running       int
	PendingTokens int
}

// Dispatcher chooses endpoints. Times are durations on a clock that also runs while the
// machine is suspended. It is not safe for concurrent use.
type Dispatcher struct {
	self    string
	states  map[string]*state
	entries []string
}

// New returns the dispatcher of the named entry.
func New(self string) *Dispatcher {
	return &Dispatcher{self: self, states: make(map[string]*state), entries: []string{self}}
}

// SetEntries says which entries share the endpoints.
func (d *Dispatcher) SetEntries(names []string) {
	if len(names) > 0 {
		d.entries = names
	}
}

// of returns the state of an endpoint, anew for each start of its process.
func (d *Dispatcher) of(e *cfvfleet.Endpoint) *state {
	s := d.states[e.ID]
	if s == nil || s.inc != e.Incarnation() {
		running, tokens := 0, 0
		if s != nil {
			running, tokens = s.running, s.tokens
		}
		s = &state{inc: e.Incarnation(), running: running, tokens: tokens, weights: make(map[string]int64)}
		d.states[e.ID] = s
	}
	return s
}

// Keep drops the states of all endpoints but the given ones.
func (d *Dispatcher) Retain(endpoints []*cfvfleet.Endpoint) {
	keep := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		keep[e.ID] = true
	}
	for id, s := range d.states {
		if !keep[id] && s.running == 0 {
			delete(d.states, id)
		}
	}
}

// Choose returns the endpoint of a request, or why there is none. U is a random number in
// [0, 1) that breaks ties.
func (d *Dispatcher) Choose(now time.Duration, q Query, u float64) (c Choice, why Reason) {
	why = NoCandidates
	best, second := math.Inf(1), math.Inf(1)
	var spare *cfvfleet.Endpoint // in doubt, but better than none
	if q.ShortPoolSize > 0 && q.lane == nil {
		q.lane = ShortPool(q.Endpoints, q.ShortPoolSize)
	}
	drawn := d.draw(now, q, u)
	c.CachedOn = d.primary(now, q, drawn)
	for _, e := range q.Endpoints {
		if q.Exclude[e.ID] {
			continue
		}
		s := d.of(e)
		if q.RefuseOldWeights && d.WeightsVersion(e, q.Model) < q.DesiredWeights {
			why = max(why, AllOnOldWeights)
			continue
		}
		if q.MaxPerEntry > 0 && s.running >= q.MaxPerEntry {
			why = max(why, AllAtEntryLimit)
			continue
		}
		if !d.bears(now, e, s, q) {
			why = max(why, AllAtColdLimit)
			continue
		}
		score := d.score(now, e, s, q, c.CachedOn)
		if q.Grants == nil {
			score += drawnMs(drawn, e)
		}
		score += tie(q.drawKey(u), e.ID)
		if now < s.down {
			if score < second {
				second, spare = score, e
			}
			continue
		}
		if score < best {
			best, c.Endpoint = score, e
		}
	}
	if c.Endpoint == nil {
		c.Endpoint = spare
	}
	if c.Endpoint != nil {
		return c, Chosen
	}
	return c, why
}

// primary returns the endpoint that the shared parts of a prompt belong to.
func (d *Dispatcher) primary(now time.Duration, q Query, drawn []*cfvfleet.Endpoint) *cfvfleet.Endpoint {
	if q.Affinity == "" {
		return nil
	}
	if q.Grants != nil {
		home := q.Grants.CachedOn(now, q.homeKey(), q.MemoryTokens)
		for _, e := range q.Endpoints {
			if e.ID == home && now >= d.of(e).down {
				return e
			}
		}
		return nil // nobody has read the parts
	}
	if len(drawn) > 0 {
		return drawn[0]
	}
	return nil
}

// score estimates the milliseconds until the endpoint answers.
func (d *Dispatcher) score(now time.Duration, e *cfvfleet.Endpoint, s *state, q Query, primary *cfvfleet.Endpoint) float64 {
	home := primary != nil && e.ID == primary.ID
	var ms float64
	if q.Grants != nil {
		ms = q.waitByLedger(now, e.ID, home)
	} else {
		load := Load{s.running + s.peers.Running, s.tokens + s.peers.PendingTokens}
		ms = float64(load.PendingTokens)/readTokensPerMs + float64(load.Running)*runningMs
		if over := float64(load.Running) - slotsShare*float64(e.Slots); over > 0 {
			ms += over * queuedMs
		}
	}
	if q.Affinity != "" && primary != nil && !home {
		if q.Stored {
			ms += float64(q.SharedTokens)*q.FetchMsPerToken*fetchSpare + fetchStartMs
		} else {
			ms += float64(q.SharedTokens) / readTokensPerMs * missFactor
		}
	}
	if q.away(e) {
		ms += q.awayMs(home)
	}
	if q.PreferNewWeights && d.WeightsVersion(e, q.Model) < q.DesiredWeights {
		ms += oldWeightsMs
	}
	if now < s.loadingTo {
		ms += loadingMs
	}
	if d.coldUntil(e, s, q) > now {
		ms += coldMs
	}
	if e.Domain != q.Domain {
		ms += domainMs
	}
	return ms + s.outcomes.excess(now)*failingMs
}

// waitByLedger estimates the wait at an endpoint from what was granted there, and what the
// prompt does to the streams that run there.
func (q *Query) waitByLedger(now time.Duration, id string, home bool) float64 {
	w := q.Grants.Load(now, id)
	ms := float64(w.PendingTokens)/readTokensPerMs + float64(w.PendingPrompts)*runningMs
	if q.MemoryTokens > 0 {
		ms += max(0, float64(w.MemoryTokens+q.PromptTokens)-memoryShare*float64(q.MemoryTokens)) / readTokensPerMs
	}
	if q.work(home) >= pauseTokens {
		ms += float64(w.Streams) * pauseMs
	}
	return ms
}

// awayMs is what a prompt costs in the lane for others.
func (q *Query) awayMs(home bool) float64 {
	if q.PromptTokens < LongPromptTokens {
		return shortAwayMs
	}
	return float64(q.work(home)) / readTokensPerMs * longAwayFactor
}

func (d *Dispatcher) coldUntil(e *cfvfleet.Endpoint, s *state, q Query) time.Duration {
	t := s.coldTo
	if q.ColdUntil != nil {
		t = max(t, q.ColdUntil(e.ID))
	}
	return t
}

// bears reports whether a cold endpoint may get one more request of this entry now.
func (d *Dispatcher) bears(now time.Duration, e *cfvfleet.Endpoint, s *state, q Query) bool {
	if q.ColdRequestsPerSecond <= 0 || d.coldUntil(e, s, q) <= now && now >= s.down {
		return true
	}
	return s.recent(now) < d.coldShare(e.ID, q.ColdRequestsPerSecond)
}

// coldWindow is the span over which a cold endpoint's requests are bounded.
const coldWindow = time.Second

// recent returns the requests sent to the endpoint within the last second.
func (s *state) recent(now time.Duration) int {
	for len(s.coldSends) > 0 && now-s.coldSends[0] >= coldWindow {
		s.coldSends = s.coldSends[1:]
	}
	return len(s.coldSends)
}

// coldShare returns how many requests a second this entry may send to a cold endpoint, so
// that all entries together stay within what it bears. Where there are more entries than
// that, only those with the highest hash have a share.
func (d *Dispatcher) coldShare(id string, perSec float64) int {
	n := len(d.entries)
	if share := int(perSec) / n; share >= 2 {
		return share
	}
	holders := max(int(perSec)/2, 1)
	mine := xxhash.Sum64String(d.self + "\x00" + id)
	above := 0
	for _, name := range d.entries {
		if name != d.self && xxhash.Sum64String(name+"\x00"+id) > mine {
			above++
		}
	}
	if above < holders {
		return min(int(perSec), 2)
	}
	return 0
}

// Version returns the version of a model's weights that an endpoint is believed to run.
func (d *Dispatcher) WeightsVersion(e *cfvfleet.Endpoint, model string) int64 {
	return max(d.of(e).weights[model], e.Weights[model])
}

// Start notes that a request was sent.
func (d *Dispatcher) Start(now time.Duration, e *cfvfleet.Endpoint, tokens int) {
	s := d.of(e)
	s.running++
	s.tokens += tokens
	s.coldSends = append(s.coldSends, now)
	s.recent(now)
}

// Answered notes that the endpoint has read the prompt.
func (d *Dispatcher) PrefillDone(e *cfvfleet.Endpoint, tokens int) {
	if s := d.states[e.ID]; s != nil {
		s.tokens = max(s.tokens-tokens, 0)
	}
}

// Finish notes that a request is over.
func (d *Dispatcher) Finish(e *cfvfleet.Endpoint) {
	if s := d.states[e.ID]; s != nil {
		s.running = max(s.running-1, 0)
	}
}

// Loaded notes which weights an endpoint said that it runs.
func (d *Dispatcher) RecordWeights(e *cfvfleet.Endpoint, model string, version int64) {
	s := d.of(e)
	s.weights[model] = max(s.weights[model], version)
	s.loadingTo = 0
}

// Disowned notes that an endpoint does not run the weights that it was believed to run.
func (d *Dispatcher) RecordMissingWeights(e *cfvfleet.Endpoint, model string) {
	delete(d.of(e).weights, model)
}

// Loading notes that an endpoint refuses requests while it loads weights.
func (d *Dispatcher) RecordWeightsLoading(e *cfvfleet.Endpoint, until time.Duration) {
	d.of(e).loadingTo = until
}

// Running returns what this entry has at an endpoint.
func (d *Dispatcher) LocalLoad(id string) Load {
	if s := d.states[id]; s != nil {
		return Load{s.running, s.tokens}
	}
	return Load{}
}

// Loads returns what this entry has at all endpoints where it has something.
func (d *Dispatcher) LocalLoads() map[string]Load {
	out := make(map[string]Load)
	for id, s := range d.states {
		if s.running > 0 || s.tokens > 0 {
			out[id] = Load{s.running, s.tokens}
		}
	}
	return out
}

// SetPeers says what all other entries have at the endpoints.
func (d *Dispatcher) SetPeerLoads(loads map[string]Load) {
	for id, s := range d.states {
		s.peers = loads[id]
	}
}
