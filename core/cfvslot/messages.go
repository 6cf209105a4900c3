package cfvslot

import (
	"time"

	"coltsfootvalve/common/cfverror"
)

// UseWithin is how long after its request was sent an entry may start to use a slot.
const GrantTTL = 500 * time.Millisecond

// Request asks for a slot in a group.
type Request struct {
	Slot           string // chosen by the entry, so that it can release what it never heard of
	Group          string
	Entry          string
	EntryStarted   uint64 // when the entry's process started
	Workspace      string
	Priority       int
	PromptKey      string // prefers the endpoint that has the prompt; empty for the least loaded
	Version        string // version the endpoint must run; empty for any
	Exclude        []string
	MaxQueueTime   time.Duration
	MaxQueueLength int
	MaxDuration    time.Duration // longest run of the request
}

// Grant is a slot given.
type Grant struct {
	Slot      string
	Endpoint  string
	Address   string
	Version   string
	Level     RampLevel
	Epoch     string        // of the owner's hold on the group
	QueueTime time.Duration // in the owner's queue
}

// Decision answers one request: a grant, or the reason of a refusal.
type Decision struct {
	Slot   string
	Grant  *Grant
	Reason cfverror.Reason
}

// Outcome is how a request that held a slot ended.
type Outcome int

// The outcomes.
const (
	OutcomeUnused      Outcome = iota // never sent
	OutcomeDone                       // whole answer received
	OutcomeFailed                     // the endpoint answered with a fault, or not to the end
	OutcomeUnreachable                // no connection to the endpoint
)

// Release gives a slot back. Without a slot it only says what an answer showed.
type Release struct {
	Slot           string
	Endpoint       string
	Outcome        Outcome
	BootID         string        // boot identity that the answer named; empty if none came
	Leaving        bool          // the answer said that the endpoint is leaving
	Linger         time.Duration // how long the endpoint may still run the request
	ConnectionLost bool          // the connection broke: the endpoint may have started anew
}

// Held is one slot that an entry has in use.
type HeldSlot struct {
	Slot        string
	Endpoint    string
	Workspace   string
	BootID      string
	MaxDuration time.Duration
}

// Setup is what a node owns.
type TableConfig struct {
	Epoch              string // names this configuration; no other one of any node has it
	Endpoints          []EndpointConfig
	Entries            []string      // the listed entries of the region
	MaxRequestDuration time.Duration // longest run of any request
}
