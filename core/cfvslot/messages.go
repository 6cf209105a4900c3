package cfvslot

import (
	"time"

	"coltsfootvalve/common/cfverror"
)

// GrantTTL is how long after sending a reservation an entry may start to use the granted
// slot, in addition to the time in the owner's queue.
const GrantTTL = 500 * time.Millisecond

// Request is a reservation request for a slot in a group.
type Request struct {
	Slot           string // ID chosen by the entry, so that it can release a slot whose grant was lost
	Group          string
	Entry          string
	EntryStarted   uint64 // when the entry's process started, in Unix milliseconds
	Workspace      string
	Priority       int
	PromptKey      string // key of a prompt that an endpoint may have cached; empty to use the least loaded endpoint
	Version        string // version the endpoint must run; empty for any
	Exclude        []string
	MaxQueueTime   time.Duration
	MaxQueueLength int
	MaxDuration    time.Duration // longest duration of the request
}

// Grant is a granted slot.
type Grant struct {
	Slot      string
	Endpoint  string
	Address   string
	Version   string
	Level     RampLevel
	Epoch     string        // epoch of the group's ownership
	QueueTime time.Duration // in the owner's queue
}

// Decision is the result of one reservation request: a grant, or the reason for a refusal.
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
	OutcomeDone                       // complete response received
	OutcomeFailed                     // error response or incomplete response
	OutcomeUnreachable                // no connection to the endpoint
)

// Release frees a slot and reports what a response showed about the endpoint. Without a slot
// it only reports.
type Release struct {
	Slot           string
	Endpoint       string
	Outcome        Outcome
	BootID         string        // boot ID in the response; empty without a response
	Leaving        bool          // the response announced that the endpoint is leaving
	Linger         time.Duration // how long the endpoint may still run the request
	ConnectionLost bool          // the endpoint may have restarted
}

// HeldSlot is one slot that an entry uses.
type HeldSlot struct {
	Slot        string
	Endpoint    string
	Workspace   string
	BootID      string
	MaxDuration time.Duration
}

// TableConfig lists the endpoints that a node owns and the entries that use them.
type TableConfig struct {
	Epoch              string // unique among the configurations of all nodes
	Endpoints          []EndpointConfig
	Entries            []string      // the listed entries of the region
	MaxRequestDuration time.Duration // longest duration of any request
}
