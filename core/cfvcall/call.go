// Package cfvcall holds the metadata of a caller's request, of its forwarding to an
// endpoint and of the endpoint's response, independent of the wire format.
package cfvcall

import (
	"strings"
	"time"

	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvnotice"
)

// Part is a piece of a prompt whose KV cache requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Prompt describes the prompt of a request to a model.
type Prompt struct {
	Model     string
	Parts     []Part // in order; the last one is unique to the request
	Tokens    int    // of the whole prompt
	MaxOutput int    // tokens
}

// SharedParts returns the parts that other requests may have in common with this one.
func (p *Prompt) SharedParts() []Part {
	if len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// SharedTokens returns the total length of the shared parts.
func (p *Prompt) SharedTokens() int {
	n := 0
	for _, part := range p.SharedParts() {
		n += part.Tokens
	}
	return n
}

// AffinityKey returns the key by which requests with the same shared parts are routed to
// the same endpoint. It is empty if there are no shared parts.
func (p *Prompt) AffinityKey() string {
	var ids []string
	for _, part := range p.SharedParts() {
		ids = append(ids, part.ID)
	}
	return strings.Join(ids, ",")
}

// RequestMeta is the metadata that a caller sends with its request.
type RequestMeta struct {
	ID          string
	APIKey      string        // of the workspace
	Timeout     time.Duration // how long the caller waits; 0: not specified
	Prompt      Prompt
	ResumeAfter string // id of the last event that the caller received, to resume a stream
}

// ForwardOptions is the metadata that an entry sends to an endpoint with a request.
type ForwardOptions struct {
	Workspace        string
	Endpoint         string // the only one that may run the request
	TimeLeft         time.Duration
	Salt             string   // separates cached parts
	FetchFrom        []string // store address for each part of the prompt, "" for none
	SaveTo           []string // likewise
	FetchUntilMillis int64    // on the endpoints' clock in milliseconds; 0: no limit
	Priority         int      // 0 is the highest
	HasPriority      bool
	WeightVersion    int64  // the only weights that may run the request; 0: any
	ResumeAfter      string // id of the last event received; "": from the start
}

// ResponseMeta is the metadata in the header of an endpoint's response.
type ResponseMeta struct {
	RequestID     string
	FromEndpoint  bool // sent by the endpoint itself
	NotRun        bool // the endpoint did not run the request and never will
	Misdirected   bool // received by another process, or by one with other weights
	EndpointID    string
	WeightVersion int64 // 0: not reported
	KeepAlive     time.Duration
	Leaving       bool // the connection closes after the response
	Notice        cfvnotice.Notice
}

// Scopes of salts. The second is followed by the name of a workspace.
const (
	sharedScope   = "all"
	isolatedScope = "only."
)

// Salt returns the cache salt of a request. Only requests with the same salt share parts:
// isolated workspaces share with no other workspace, and versions of the weights never mix.
func Salt(w *cfvfleet.Workspace, model string, version int64) string {
	scope := sharedScope
	if w != nil && w.Isolated {
		scope = isolatedScope + w.Name
	}
	var b strings.Builder
	b.WriteString(model)
	b.WriteByte('.')
	b.WriteString(formatVersion(version))
	b.WriteByte('.')
	b.WriteString(scope)
	return b.String()
}

// ParseSalt returns the model and the version of the weights in a salt. Names of models may have
// dots, so the version is the first number before a scope.
func ParseSalt(salt string) (model string, version int64, ok bool) {
	for i := range len(salt) {
		if salt[i] != '.' {
			continue
		}
		number, scope, found := strings.Cut(salt[i+1:], ".")
		if !found || scope != sharedScope && !strings.HasPrefix(scope, isolatedScope) {
			continue
		}
		if version, ok = parseVersion(number); ok {
			return salt[:i], version, true
		}
	}
	return "", 0, false
}
