// Package cfvpeer carries the protocol between entry VMs: typed messages in, connect-go
// calls out, and back. The codecs map by hand between the core's types and the wire's.
package cfvpeer

import (
	"time"

	"coltsfootvalve/core/cfvbooking"
	"coltsfootvalve/core/cfvlimit"
	"coltsfootvalve/core/cfvmember"
	"coltsfootvalve/core/cfvmove"
	"coltsfootvalve/core/cfvslot"
)

// News is what two members tell each other with every probe.
type Gossip struct {
	Updates          []cfvmember.Member
	SettingsRevision uint64 // of the settings in force
	Suspicions       []cfvlimit.Suspicion
	Clearances       []cfvmove.Clearance
	Verdicts         []cfvmove.Verdict
}

// Probe checks a member. With a target the member probes that one instead.
type Probe struct {
	From   cfvmember.Member
	Target *cfvmember.Member
	Gossip Gossip
}

// ProbeReply answers a probe.
type ProbeReply struct {
	Name     string
	Answered bool // the target answered, or the member itself when there is none
	Gossip   Gossip
}

// Recognise asks for an inventory and, with a lease length, for a promise.
type Recognise struct {
	Group string
	Owner string // epoch of the owner's hold on the group
	Lease time.Duration
}

// FetchSettings asks for settings newer than a revision.
type FetchSettings struct {
	Revision    uint64
	KnownPieces []string // hashes of the pieces that the caller has
}

// Settings are the settings in force at a peer; no head means nothing newer.
type Settings struct {
	Head   []byte
	Pieces [][]byte
}

// ClaimReply answers a claim.
type ClaimReply struct {
	Won    bool
	Reason string
	Record cfvbooking.Record
}

// Report is what one entry has seen of a move.
type Report struct {
	Move   cfvmove.ID
	Report cfvmove.Report
}

// Dismiss says that admitted requests have ended.
type Dismiss struct {
	Workspace  string
	RequestIDs []string
}

// Handlers are a node's answers to its peers.
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
