// Package cfvtier plans the transfer of cache blocks between engines and store VMs: which blocks
// an engine imports from a store, and which it exports.
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

// Timeouts, limits and initial estimates for planning a transfer.
const (
	defaultLookupTimeout = 50 * time.Millisecond // short, since a lookup delays the first token
	unavailablePeriod    = time.Second           // time without lookups after a store did not respond
	maxExports           = 4                     // concurrent exports started by this node
	exportDuration       = 2 * time.Second       // assumed duration of an export
	initialImportTime    = 5 * time.Millisecond  // estimate for one block
	initialComputeTime   = 50 * time.Millisecond // estimate for one block
)

// Config configures a Tier. Tests replace its functions.
type Config struct {
	Catalog       func() *cfvcatalog.Catalog
	Metrics       *cfvmetric.Registry
	LookupTimeout time.Duration    // timeout of a lookup at a store; 0: 50 ms
	Dial          cfvhttp.DialFunc // nil to use the network of the operating system
}

// Tier plans transfers of cache blocks. It is safe for concurrent use.
type Tier struct {
	cfg  Config
	http *http.Client

	mu               sync.Mutex
	policies         map[string]*cfvcache.Policy // by service
	unavailableUntil map[string]time.Time        // by address of the store
	exportDeadlines  []time.Time                 // when running exports are assumed to have ended
}

// New returns a Tier with initial estimates.
func New(cfg Config) *Tier {
	if cfg.LookupTimeout <= 0 {
		cfg.LookupTimeout = defaultLookupTimeout
	}
	return &Tier{
		cfg: cfg, http: cfvhttp.NewClientWithDial(cfg.Dial, cfg.LookupTimeout, 8),
		policies: make(map[string]*cfvcache.Policy), unavailableUntil: make(map[string]time.Time),
	}
}

// Plan returns the transfers of a prompt's blocks. It returns nil if the prompt has no complete
// block, if there are no stores, or if the lookup fails. The store is chosen by the key of the
// first block, so that prompts with the same start use the same store.
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
	leading := countLeadingHeld(keys, held)
	t.mu.Lock()
	defer t.mu.Unlock()
	policy := t.policy(service)
	if leading > 0 && policy.ShouldImport() {
		for i := range leading {
			m := held[keys[i]]
			p.Import = append(p.Import, cfvopenai.ImportBlock{
				Index: i, Key: m.Key, Store: store, Generation: m.Generation, Length: m.Length, Checksum: m.Checksum,
			})
		}
		t.cfg.Metrics.Count("tier.imports", int64(leading))
	}
	if leading < len(keys) && policy.ShouldExport() && t.startExport() {
		for i := leading; i < len(keys); i++ {
			p.Export = append(p.Export, cfvopenai.ExportBlock{Index: i, Key: keys[i], Store: store})
		}
		t.cfg.Metrics.Count("tier.exports", int64(len(keys)-leading))
	}
	return p
}

// storeNames returns the names of the stores in an order that does not depend on the map.
func storeNames(stores map[string]string) []string {
	out := make([]string, 0, len(stores))
	for name := range stores {
		out = append(out, name)
	}
	return cfvowner.Rank("", out)
}

// countLeadingHeld returns the number of blocks at the start of the chain that a store holds.
func countLeadingHeld(keys []string, held map[string]cfvopenai.Manifest) int {
	for i, key := range keys {
		if _, ok := held[key]; !ok {
			return i
		}
	}
	return len(keys)
}

// lookup asks a store which of the blocks it holds. If the store does not respond, no lookups
// are sent to it for unavailablePeriod.
func (t *Tier) lookup(ctx context.Context, store string, keys []string) (map[string]cfvopenai.Manifest, bool) {
	t.mu.Lock()
	unavailable := time.Now().Before(t.unavailableUntil[store])
	t.mu.Unlock()
	if unavailable {
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

// policy returns the transfer policy of a service. The caller must hold t.mu.
func (t *Tier) policy(service string) *cfvcache.Policy {
	p, ok := t.policies[service]
	if !ok {
		p = cfvcache.NewPolicy(cfvcache.NewEstimator(initialImportTime, initialComputeTime))
		t.policies[service] = p
	}
	return p
}

// startExport reports whether an export may start, and if so counts it. The caller must hold
// t.mu.
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

// RecordSample updates the estimates of a service with a finished request.
func (t *Tier) RecordSample(service string, s cfvcache.Sample) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.policy(service).RecordSample(s)
}
