// Package cfvtier plans the transfer of cache blocks between engines and store VMs: which
// blocks a store holds, whether importing them pays, and which to export.
package cfvtier

import (
	"context"
	"net/http"
	"sync"
	"time"

	"coltsfootvalve/common/cfvhttp"
	"coltsfootvalve/common/cfvmetric"
	"coltsfootvalve/core/cfvcache"
	"coltsfootvalve/core/cfvcatalog"
	"coltsfootvalve/core/cfvowner"
	"coltsfootvalve/core/cfvprompt"
	"coltsfootvalve/io/cfvopenai"
)

// Bounds of planning one transfer.
const (
	defaultLookupTimeout = 50 * time.Millisecond // unless configured; a lookup delays the first token
	unavailablePeriod    = time.Second           // how long a store that does not answer is not asked
	maxExports           = 4                     // exports of this node that may be under way
	exportDuration       = 2 * time.Second
	initialImportTime    = 5 * time.Millisecond  // guess for one block
	initialComputeTime   = 50 * time.Millisecond // guess for one block
)

// Config configures a tier. The functions are its seams.
type Config struct {
	Catalog       func() *cfvcatalog.Catalog
	Metrics       *cfvmetric.Registry
	LookupTimeout time.Duration // how long a store may take to say what it holds; 0: 50 ms
}

// Tier plans transfers. It is safe for concurrent use.
type Tier struct {
	cfg  Config
	http *http.Client

	mu               sync.Mutex
	policies         map[string]*cfvcache.Policy // by service
	unavailableUntil map[string]time.Time
	exportDeadlines  []time.Time // when exports under way are taken as ended
}

// New returns a tier that knows nothing of its stores.
func New(cfg Config) *Tier {
	if cfg.LookupTimeout <= 0 {
		cfg.LookupTimeout = defaultLookupTimeout
	}
	return &Tier{
		cfg: cfg, http: cfvhttp.NewClient(cfg.LookupTimeout, 8),
		policies: make(map[string]*cfvcache.Policy), unavailableUntil: make(map[string]time.Time),
	}
}

// Plan returns the transfer of a prompt's blocks; nil for none.
func (t *Tier) Plan(ctx context.Context, service string, scope cfvprompt.Scope, text string) *cfvopenai.TransferParams {
	keys := scope.BlockKeys(text)
	stores := t.cfg.Catalog().Stores()
	if len(keys) == 0 || len(stores) == 0 {
		return nil
	}
	store := stores[cfvowner.Owner(keys[0], storeNames(stores))]
	held, ok := t.lookup(ctx, store, keys)
	if !ok {
		return nil
	}
	p := &cfvopenai.TransferParams{}
	lead := countLeadingHeld(keys, held)
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.policy(service)
	if lead > 0 && c.ShouldImport() {
		for i := range lead {
			m := held[keys[i]]
			p.Import = append(p.Import, cfvopenai.ImportBlock{
				Index: i, Key: m.Key, Store: store, Generation: m.Generation, Length: m.Length, Checksum: m.Checksum,
			})
		}
		t.cfg.Metrics.Count("tier.imports", int64(lead))
	}
	if lead < len(keys) && c.ShouldExport() && t.startExport() {
		for i := lead; i < len(keys); i++ {
			p.Export = append(p.Export, cfvopenai.ExportBlock{Index: i, Key: keys[i], Store: store})
		}
		t.cfg.Metrics.Count("tier.exports", int64(len(keys)-lead))
	}
	return p
}

func storeNames(stores map[string]string) []string {
	out := make([]string, 0, len(stores))
	for name := range stores {
		out = append(out, name)
	}
	return cfvowner.Rank("", out)
}

// leading returns how many leading blocks of the chain are held.
func countLeadingHeld(keys []string, held map[string]cfvopenai.Manifest) int {
	for i, key := range keys {
		if _, ok := held[key]; !ok {
			return i
		}
	}
	return len(keys)
}

// lookup asks a store which blocks it holds. A store that does not answer is left alone
// for a while.
func (t *Tier) lookup(ctx context.Context, store string, keys []string) (map[string]cfvopenai.Manifest, bool) {
	t.mu.Lock()
	isDown := time.Now().Before(t.unavailableUntil[store])
	t.mu.Unlock()
	if isDown {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, t.cfg.LookupTimeout)
	defer cancel()
	var resp cfvopenai.LookupResponse
	err := cfvhttp.Call(ctx, t.http, http.MethodPost, "http://"+store+"/lookup", cfvopenai.LookupRequest{Keys: keys}, &resp)
	if err != nil {
		t.cfg.Metrics.Count("tier.lookupFailed", 1)
		t.mu.Lock()
		t.unavailableUntil[store] = time.Now().Add(unavailablePeriod)
		t.mu.Unlock()
		return nil, false
	}
	held := make(map[string]cfvopenai.Manifest, len(resp.Manifests))
	for _, m := range resp.Manifests {
		held[m.Key] = m
	}
	return held, true
}

// chooser returns a service's chooser; the caller holds the lock.
func (t *Tier) policy(service string) *cfvcache.Policy {
	c, ok := t.policies[service]
	if !ok {
		c = cfvcache.NewPolicy(cfvcache.NewEstimator(initialImportTime, initialComputeTime))
		t.policies[service] = c
	}
	return c
}

// startExport counts an export, unless too many are under way; the caller holds the lock.
func (t *Tier) startExport() bool {
	now := time.Now()
	kept := t.exportDeadlines[:0]
	for _, until := range t.exportDeadlines {
		if now.Before(until) {
			kept = append(kept, until)
		}
	}
	t.exportDeadlines = kept
	if len(t.exportDeadlines) >= maxExports {
		return false
	}
	t.exportDeadlines = append(t.exportDeadlines, now.Add(exportDuration))
	return true
}

// Learn takes what a request showed.
func (t *Tier) RecordSample(service string, s cfvcache.Sample) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.policy(service).RecordSample(s)
}
