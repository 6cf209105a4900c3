// Package cfvprompt turns prompts into keys: the chain of cache block keys, which no
// other workspace or version can form, and the key that routes a returning prompt.
package cfvprompt

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
)

// PieceBytes is the length of one piece of a prompt in bytes: about two thousand tokens.
const BlockBytes = 8000

// PieceTokens is the length of one piece in tokens, at four bytes a token.
const BlockTokens = BlockBytes / 4

// RouteBytes is the length of the start of a prompt that routes it, in bytes. Two prompts
// with the same start share an endpoint's cache.
const AffinityBytes = BlockBytes

// Scope is what separates caches: blocks of two scopes never match.
type Scope struct {
	Secret  string // of the workspace
	Service string
	Version string
	Adapter string
}

// Salt returns the engine's cache salt for the scope. The version is left out: an engine
// separates the weights that it runs by itself.
func (s Scope) Salt() string {
	return s.mac("salt\x00" + s.Service + "\x00" + s.Adapter)
}

func (s Scope) mac(data string) string {
	m := hmac.New(sha256.New, []byte(s.Secret))
	m.Write([]byte(data))
	return hex.EncodeToString(m.Sum(nil)[:16])
}

// Chain returns the keys of the prompt's whole pieces. Each covers all text before it.
func (s Scope) BlockKeys(text string) []string {
	var out []string
	parent := s.mac("chain\x00" + s.Service + "\x00" + s.Version + "\x00" + s.Adapter)
	for len(text) >= BlockBytes {
		parent = s.mac(parent + "\x00" + text[:BlockBytes])
		out = append(out, parent)
		text = text[BlockBytes:]
	}
	return out
}

// RouteKey returns the key by which a prompt prefers endpoints; empty for a prompt too
// short for its cache to matter.
func (s Scope) AffinityKey(text string) string {
	if len(text) < AffinityBytes {
		return ""
	}
	return s.mac("route\x00" + s.Service + "\x00" + s.Adapter + "\x00" + text[:AffinityBytes])
}

// Fingerprint returns a key that tells one request of a workspace from another.
func (s Scope) Fingerprint(data string) string {
	return s.mac("request\x00" + s.Service + "\x00" + data)
}
