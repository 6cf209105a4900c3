// Package cfvcall describes one request of a caller and what an entry tells the endpoint
// that runs it, without saying how either is written on the wire.
package cfvcall

import (
	"strings"
	"time"

	"coltsfootvalve/core/cfvfleet"
)

// Part is one piece of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Prompt is what a request asks of a model.
type Prompt struct {
	Model     string
	Parts     []Part // in order; the last belongs to the request alone
	Tokens    int    // of the whole prompt
	MaxOutput int    // tokens
}

// Shared returns the parts that other requests may have too.
func (p *Prompt) SharedParts() []Part {
	if len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// SharedTokens returns the length of the shared parts.
func (p *Prompt) SharedTokens() int {
	n := 0
	for _, part := range p.SharedParts() {
		n += part.Tokens
	}
	return n
}

// Affinity returns the key that sends requests with the same shared parts to the same
// endpoint; empty: there are none.
func (p *Prompt) AffinityKey() string {
	var ids []string
	for _, part := range p.SharedParts() {
		ids = append(ids, part.ID)
	}
	return strings.Join(ids, ",")
}

// Call is what a caller says of its request.
type RequestMeta struct {
	ID          string
	APIKey      string        // of the workspace
	Timeout     time.Duration // how long the caller waits; 0: not said
	Prompt      Prompt
	ResumeAfter string // last event that the caller has, for a stream that goes on
}

// Directions are what an entry tells an endpoint beside the request.
type ForwardOptions struct {
	Workspace        string
	Endpoint         string // the only one that may run the request
	TimeLeft         time.Duration
	Salt             string // separates cached parts
	FetchFrom        []string
	SaveTo           []string // addresses for each part of the prompt, "" for none
	FetchUntilMillis int64    // on the endpoints' clock in milliseconds; 0: no bound
	Priority         int      // 0 is the most urgent
	HasPriority      bool
	WeightVersion    int64  // the only weights that may run the request; 0: any
	ResumeAfter      string // "": from the start
}

// Verdict is what an endpoint's answer says before its body.
type ResponseMeta struct {
	RequestID     string
	FromEndpoint  bool // the endpoint's own answer
	NotRun        bool // the endpoint did not run the request and never will
	Misdirected   bool // another process answered, or one with other weights
	EndpointID    string
	WeightVersion int64 // 0: not said
	KeepAlive     time.Duration
	Leaving       bool // the connection closes after the answer
}

// Salt returns the cache salt of a request: only requests with the same salt share parts.
// An isolated workspace shares with nobody; weights of another version never match.
func Salt(w *cfvfleet.Workspace, model string, version int64) string {
	scope := "all"
	if w != nil && w.Isolated {
		scope = "only." + w.Name
	}
	var b strings.Builder
	b.WriteString(model)
	b.WriteByte('.')
	b.WriteString(formatVersion(version))
	b.WriteByte('.')
	b.WriteString(scope)
	return b.String()
}

// SaltVersion returns the model and the version of weights in a salt.
func ParseSalt(salt string) (model string, version int64, ok bool) {
	parts := strings.SplitN(salt, ".", 3)
	if len(parts) != 3 {
		return "", 0, false
	}
	version, ok = parseVersion(parts[1])
	return parts[0], version, ok
}
