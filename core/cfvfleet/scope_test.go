package cfvfleet

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// isolatedConfig returns a configuration with the given workspaces, those with a true value isolated.
func isolatedConfig(version int64, workspaces map[string]bool) *Config {
	cfg := &Config{Version: version}
	for name, isolated := range workspaces {
		cfg.Workspaces = append(cfg.Workspaces, Workspace{Name: name, Isolated: isolated})
	}
	return cfg
}

// Failure: after a workspace had become isolated, others used the cached parts that it had made. Entries may have any of
// the configurations that were in force so far.
func TestScopesOfIsolatedWorkspacesHoldNoPartsOfOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "ab"}
		var configs []map[string]bool
		makers := make(map[string][]string) // workspaces by scope
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(configs) == 0 || rapid.IntRange(0, 3).Draw(t, "what") == 0 {
				c := make(map[string]bool)
				for _, name := range names {
					switch rapid.IntRange(0, 2).Draw(t, name) {
					case 0:
						c[name] = false
					case 1:
						c[name] = true
					}
				}
				configs = append(configs, c)
				continue
			}
			c := configs[len(configs)-1-rapid.IntRange(0, min(2, len(configs)-1)).Draw(t, "age")]
			name := rapid.SampledFrom(names).Draw(t, "workspace")
			scope := NewIndex(isolatedConfig(1, c)).CacheScope(name)
			assert.Assert(t, IsCacheScope(scope))
			_, configured := c[name]
			for _, maker := range makers[scope] {
				assert.Assert(t, maker == name || configured && !c[maker] && !c[name], "%q uses parts of %q in scope %q of %v", name, maker, scope, c)
			}
			if !slices.Contains(makers[scope], name) {
				makers[scope] = append(makers[scope], name)
			}
		}
	})
}

func TestRequestsWithoutWorkspaceShare(t *testing.T) {
	x := NewIndex(isolatedConfig(1, map[string]bool{"a": true, "b": false}))
	assert.Equal(t, x.CacheScope(""), x.CacheScope("b"))
	assert.Assert(t, x.CacheScope("a") != x.CacheScope("b"))
	assert.Equal(t, NewIndex(&Config{}).CacheScope(""), "all")
}

func TestScopesComeIntoForceWithTheirConfiguration(t *testing.T) {
	v := NewView()
	v.Apply(time.Second, Change{Config: isolatedConfig(1, map[string]bool{"a": true, "b": false})})
	first := v.Index().CacheScope("b")
	v.Apply(2*time.Second, Change{Config: isolatedConfig(2, map[string]bool{"a": false, "b": false})})
	second := v.Index().CacheScope("b")
	v.Apply(3*time.Second, Change{Config: isolatedConfig(3, map[string]bool{"a": false, "b": false, "c": false})})
	tests := map[string]struct {
		scope string
		since time.Duration
		used  bool
	}{
		"that of the others":                     {second, 2 * time.Second, true},
		"the one before":                         {scope: first},
		"that of a workspace no longer isolated": {scope: IsolatedCacheScope("a")},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			since, used := v.Index().CacheScopeSince(tt.scope)
			assert.Equal(t, since, tt.since)
			assert.Equal(t, used, tt.used)
		})
	}
	v.Apply(4*time.Second, Change{Config: isolatedConfig(4, map[string]bool{"a": true, "b": false, "c": false})})
	since, used := v.Index().CacheScopeSince(first)
	assert.Assert(t, used && since == 4*time.Second, "a scope that returns came into force at %s", since)
}
