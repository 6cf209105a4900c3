package cfventry

import (
	"time"

	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvparts"
)

// cacheScope is the cache scope of a request's parts.
type cacheScope struct {
	name     string
	settling bool // nothing is fetched, since parts that were saved under it earlier may be freed now
}

// newCacheScope returns the named scope at the given time.
func newCacheScope(now time.Duration, index *cfvfleet.Index, name string) cacheScope {
	since, used := index.CacheScopeSince(name)
	return cacheScope{name: name, settling: !used || since > 0 && now-since < cfvparts.ScopeSettleTime}
}

// cacheScope returns the scope that the configuration in force gives to the request, which may be newer than the one
// that the request was admitted with.
func (q *request) cacheScope() cacheScope {
	index, workspace := q.entry.index(), ""
	if q.workspace != nil {
		workspace = q.workspace.Name
	}
	return newCacheScope(q.entry.cfg.Now(), index, index.CacheScope(workspace))
}
