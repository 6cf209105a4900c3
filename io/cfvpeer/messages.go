// Package cfvpeer implements the client and the server of the protocol between entry VMs on
// top of connect-go. It converts between the types of the core packages and the generated
// types of package cfvwire.
package cfvpeer

import (
	"time"

	"coltsfootvalve/core/cfvbooking"
	"coltsfootvalve/core/cfvlimit"
	"coltsfootvalve/core/cfvmember"
	"coltsfootvalve/core/cfvmove"
	"coltsfootvalve/core/cfvslot"
)

// Gossip is the state that members exchange with every probe and its response.
type Gossip struct {
	Updates          []cfvmember.Member
	SettingsRevision uint64 // revision of the settings in force
	Suspicions       []cfvlimit.Suspicion
	Clearances       []cfvmove.Clearance
	Verdicts         []cfvmove.Verdict
}

// Probe checks whether a member responds. If Target is set, the member probes the target
// instead (an indirect probe).
type Probe struct {
	From   cfvmember.Member
	Target *cfvmember.Member
	Gossip Gossip
}

// ProbeReply is the response to a probe.
type ProbeReply struct {
	Name      string
	Responded bool // whether the target responded; true without a target
	Gossip    Gossip
}

// Recognise requests an entry's inventory of a group. If Lease is set, it also asks the entry to
// promise not to recognise another owner during the lease.
type Recognise struct {
	Group string
	Owner string // epoch of the owner's ownership of the group
	Lease time.Duration
}

// FetchSettings requests the settings if they are newer than a revision.
type FetchSettings struct {
	Revision    uint64
	KnownPieces []string // hashes of the pieces that the client already has
}

// Settings are the settings in force at a peer. Head is empty if the peer has no newer
// revision.
type Settings struct {
	Head   []byte
	Pieces [][]byte
}

// ClaimReply is the response to a claim.
type ClaimReply struct {
	Won    bool
	Reason string
	Record cfvbooking.Record
}

// Report is the evidence of one entry about a move.
type Report struct {
	Move   cfvmove.ID
	Report cfvmove.Report
}

// Dismiss reports that admitted requests have ended.
type Dismiss struct {
	Workspace  string
	RequestIDs []string
}

// Handlers handle the requests of peers.
type Handlers struct {
	Probe         func(Probe) ProbeReply
	Reserve       func(done <-chan struct{}, r cfvslot.Request) cfvslot.Decision
	Release       func([]cfvslot.Release)
	Recognise     func(Recognise) cfvslot.Inventory
	FetchSettings func(FetchSettings) Settings
	Claim         func(done <-chan struct{}, c cfvbooking.Claim) ClaimReply
	Conclude      func(done <-chan struct{}, c cfvbooking.Conclusion) bool
	Report        func(Report)
	Admit         func(cfvlimit.Admission) string
	Dismiss       func(Dismiss)
}
