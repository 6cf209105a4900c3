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

// Salt is a cache salt. Endpoints and stores find a cached part only under the salt that it was made with, so neither
// versions of the weights nor cache scopes ever mix.
type Salt struct {
	Model   string
	Version int64  // of the weights
	Scope   string // cache scope
}

// String returns the text of a salt that endpoints and stores receive.
func (s Salt) String() string {
	return s.Model + "." + formatVersion(s.Version) + "." + s.Scope
}

// ParseSalt parses the text of a salt. Names of models may have dots, so the version is the first number before a
// cache scope.
func ParseSalt(text string) (s Salt, ok bool) {
	for i := range len(text) {
		if text[i] != '.' {
			continue
		}
		number, scope, found := strings.Cut(text[i+1:], ".")
		if !found || !cfvfleet.IsCacheScope(scope) {
			continue
		}
		if version, isNumber := parseVersion(number); isNumber {
			return Salt{Model: text[:i], Version: version, Scope: scope}, true
		}
	}
	return s, false
}
