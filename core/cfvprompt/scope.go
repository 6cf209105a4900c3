// Package cfvprompt derives keys from prompts: the chain of cache block keys, which no other
// workspace or version can derive, and the affinity key, which routes prompts with the same start
// to the same endpoints.
package cfvprompt

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
)

// BlockBytes is the length in bytes of one cache block of a prompt, about 2000 tokens.
const BlockBytes = 8000

// BlockTokens is the length of one block in tokens, at 4 bytes per token.
const BlockTokens = BlockBytes / 4

// AffinityBytes is the length in bytes of the prompt prefix that determines the affinity key.
// Prompts with the same prefix can share the cache of an endpoint.
const AffinityBytes = BlockBytes

// Scope separates caches: the block keys of different scopes never match.
type Scope struct {
	Secret  string // secret of the workspace
	Service string
	Version string
	Adapter string
}

// Salt returns the engine's cache salt for the scope. It does not depend on the version, because
// engines themselves keep the caches of different weights apart.
func (s Scope) Salt() string {
	return s.mac("salt\x00" + s.Service + "\x00" + s.Adapter)
}

// mac returns the truncated HMAC of data under the secret, in hexadecimal.
func (s Scope) mac(data string) string {
	m := hmac.New(sha256.New, []byte(s.Secret))
	m.Write([]byte(data))
	return hex.EncodeToString(m.Sum(nil)[:16])
}

// BlockKeys returns the keys of the complete blocks of a prompt. Each key also depends on all
// text before its block.
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

// AffinityKey returns the key that determines which endpoints a prompt prefers. It is empty for
// prompts that are too short to benefit from a cache.
func (s Scope) AffinityKey(text string) string {
	if len(text) < AffinityBytes {
		return ""
	}
	return s.mac("route\x00" + s.Service + "\x00" + s.Adapter + "\x00" + text[:AffinityBytes])
}

// Fingerprint returns a key that distinguishes the requests of a workspace.
func (s Scope) Fingerprint(data string) string {
	return s.mac("request\x00" + s.Service + "\x00" + data)
}
