package cfvfleet

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strings"
	"time"
)

// Cache scopes. The scope of an isolated workspace ends with its name, and the shared scope of a configuration
// with isolated workspaces ends with a digest of their names.
const (
	sharedScope   = "all"
	digestPrefix  = sharedScope + "."
	digestBytes   = 16
	isolatedScope = "only."
)

// IsCacheScope reports whether a text is a cache scope of some configuration.
func IsCacheScope(text string) bool {
	if digest, ok := strings.CutPrefix(text, digestPrefix); ok {
		data, err := hex.DecodeString(digest)
		return err == nil && len(data) == digestBytes
	}
	return text == sharedScope || strings.HasPrefix(text, isolatedScope)
}

// IsolatedCacheScope returns the cache scope of a workspace that shares parts with no other one.
func IsolatedCacheScope(workspace string) string { return isolatedScope + workspace }

// cacheScopes are the cache scopes that a configuration gives to its workspaces.
type cacheScopes struct {
	shared     string
	workspaces map[string]string        // scope by name of the workspace
	since      map[string]time.Duration // when each scope came into force; 0: with the first known configuration
}

// newCacheScopes returns the cache scopes of a configuration. The shared scope names the set of isolated workspaces:
// all parts in it were made by others, whatever configurations were in force before.
func newCacheScopes(cfg *Config) cacheScopes {
	var isolated []string
	for _, w := range cfg.Workspaces {
		if w.Isolated {
			isolated = append(isolated, w.Name)
		}
	}
	slices.Sort(isolated)
	isolated = slices.Compact(isolated)
	s := cacheScopes{shared: sharedScope, workspaces: make(map[string]string), since: make(map[string]time.Duration)}
	if len(isolated) > 0 {
		h := sha256.New()
		for _, name := range isolated {
			_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(name)))) // never returns an error
			_, _ = h.Write([]byte(name))
		}
		s.shared = digestPrefix + hex.EncodeToString(h.Sum(nil)[:digestBytes])
	}
	for _, w := range cfg.Workspaces {
		s.workspaces[w.Name] = s.shared
	}
	for _, name := range isolated {
		s.workspaces[name] = IsolatedCacheScope(name)
		s.since[s.workspaces[name]] = 0
	}
	s.since[s.shared] = 0
	return s
}

// follow sets the times of the scopes of a configuration that replaces another one now.
func (s *cacheScopes) follow(now time.Duration, replaced cacheScopes) {
	for scope := range s.since {
		since, ok := replaced.since[scope]
		if !ok {
			since = now
		}
		s.since[scope] = since
	}
}

// CacheScope returns the scope of the cached parts that requests of the named workspace use and make; "" stands for
// requests without a workspace. A workspace that is no longer configured shares its parts with no other one.
func (x *Index) CacheScope(workspace string) string {
	if workspace == "" {
		return x.scopes.shared
	}
	if scope, ok := x.scopes.workspaces[workspace]; ok {
		return scope
	}
	return IsolatedCacheScope(workspace)
}

// CacheScopeSince returns when a scope came into force, and false if the configuration gives it to no workspace.
// The time is 0 if the first known configuration had the scope.
func (x *Index) CacheScopeSince(scope string) (since time.Duration, ok bool) {
	since, ok = x.scopes.since[scope]
	return since, ok
}
