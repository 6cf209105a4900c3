package cfventry

import (
	"sync"
	"time"

	"coltsfootvalve/core/cfvparts"
)

// PartCatalog guards the catalog of the stores that hold shared prompt parts. It is safe for
// concurrent use.
type PartCatalog struct {
	mu      sync.Mutex
	catalog *cfvparts.Catalog
	now     func() time.Duration
}

// NewPartCatalog returns an empty catalog.
func NewPartCatalog(now func() time.Duration) *PartCatalog {
	return &PartCatalog{catalog: cfvparts.NewCatalog(), now: now}
}

// Do calls f with the catalog while it holds the lock. f must not retain the catalog.
func (p *PartCatalog) Do(f func(c *cfvparts.Catalog)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.catalog)
}
