package cfvdispatch

import (
	"strconv"
	"time"

	"coltsfootvalve/core/cfvfleet"
)

// Query is what the choice depends on beside the dispatcher's own knowledge.
type Query struct {
	Endpoints   []*cfvfleet.Endpoint // usable ones of the service
	ColdUntil   func(id string) time.Duration
	ColdPerSec  float64 // what a cold endpoint bears; 0: no limit
	Affinity    string  // shared parts; empty: none
	Tokens      int     // of the prompt
	Shared      int     // tokens of the shared parts
	Stored      bool    // a store holds the shared parts
	Model       string
	Wanted      int64                // newest weights; 0: not named
	RefuseOld   bool                 // older weights may not begin any more
	PreferNew   bool                 // older weights lose worth
	OldParts    func(id string) bool // parts of older weights may be fetched at an endpoint; nil: at none
	Domain      string
	Exclude     map[string]bool // endpoints that rejected the request
	MaxPerEntry int             // most requests of this entry at one endpoint; 0: no bound
	FetchMs     float64         // time to fetch a token of a shared part in milliseconds
	Border      int             // endpoints for short prompts; 0: no lanes

	Memory int     // tokens that an engine holds; 0: not known
	Ledger *Ledger // what was granted, for the entry that places long prompts; nil elsewhere

	lane map[string]bool // endpoints of the lane for short prompts
}

// Narrow restricts the choice to some of the endpoints, with lanes over all of them.
func (q *Query) Narrow(endpoints []*cfvfleet.Endpoint) {
	if q.Border > 0 {
		q.lane = InShortLane(q.Endpoints, q.Border)
	}
	q.Endpoints = endpoints
}

// homeKey names the shared parts as read on the wanted weights.
func (q *Query) homeKey() string { return strconv.FormatInt(q.Wanted, 10) + "\x00" + q.Affinity }

// drawKey is what endpoints are ranked by: the shared parts, or a random number.
func (q *Query) drawKey(u float64) string {
	if q.Affinity != "" {
		return q.Affinity
	}
	return strconv.FormatFloat(u, 'g', -1, 64)
}

// Granted notes in the ledger that a request goes to an endpoint.
func (q *Query) Granted(now time.Duration, request string, e *cfvfleet.Endpoint) {
	home := q.Ledger.Home(now, q.homeKey(), q.Memory) == e.ID
	added := q.Tokens
	if home {
		added -= q.Shared
	}
	q.Ledger.Grant(now, e.ID, request, q.Tokens, q.work(home))
	q.Ledger.Read(now, q.homeKey(), e.ID, added)
}

// work returns the tokens that an endpoint reads of the prompt.
func (q *Query) work(home bool) int {
	if home || q.Stored {
		return q.Tokens - q.Shared
	}
	return q.Tokens
}

// Choice is where a request goes.
type Choice struct {
	Endpoint *cfvfleet.Endpoint
	Primary  *cfvfleet.Endpoint // where its shared parts are most likely cached; may be nil
}

// Reason says why no endpoint was chosen.
type Reason int

// The reasons for no choice.
const (
	Chosen Reason = iota
	NoneKnown
	AllCold
	AllFull
	AllOld
)

// away reports whether an endpoint is in the lane for other prompts.
func (q *Query) away(e *cfvfleet.Endpoint) bool {
	return q.lane != nil && q.lane[e.ID] != (q.Tokens < LongPrompt)
}
