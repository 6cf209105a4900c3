// Package cfvmetering counts the requests that begin to run at each entry, gathers the counts at the leader and
// reports them to the platform. The decisions are made by core/cfvusage.
package cfvmetering

import (
	"sync"
	"time"

	"coltsfootvalve/core/cfvusage"
)

// MeterConfig configures a Meter.
type MeterConfig struct {
	Windows cfvusage.Windows
	Now     func() time.Duration // a clock that also runs while the VM is suspended
	Millis  func() int64         // wall clock in Unix milliseconds, which may step
}

// Meter counts the requests of an entry process by windows of true time. It is safe for concurrent use.
type Meter struct {
	cfg MeterConfig

	mu      sync.Mutex
	clock   *cfvusage.Clock
	counter *cfvusage.Counter
}

// NewMeter returns a meter without counts.
func NewMeter(cfg MeterConfig) *Meter {
	return &Meter{cfg: cfg, clock: cfvusage.NewClock(cfg.Now(), cfg.Millis()), counter: cfvusage.NewCounter(cfg.Windows)}
}

// Count counts a request of a workspace that begins to run.
func (m *Meter) Count(workspace string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counter.Add(m.cfg.Windows.At(m.clock.Millis(m.cfg.Now())), workspace)
}

// Millis returns the estimate of the present time in Unix milliseconds.
func (m *Meter) Millis() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.clock.Millis(m.cfg.Now())
}

// own returns this entry's own estimate of the present time in Unix milliseconds.
func (m *Meter) own() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.clock.Own(m.cfg.Now())
}

// sample takes a sample of the wall clock.
func (m *Meter) sample() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.clock.Sample(m.cfg.Now(), m.cfg.Millis())
}

// setFleet sets the fleet's estimate of the time at a moment of the clock. It returns by how many milliseconds this
// entry's estimate of the present time changes.
func (m *Meter) setFleet(at time.Duration, trueMillis int64) (change int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.cfg.Now()
	before := m.clock.Millis(now)
	m.clock.SetFleet(at, trueMillis)
	return m.clock.Millis(now) - before
}

// windows returns the kept counts, and the entry's own estimate of the present time.
func (m *Meter) windows() (windows []cfvusage.Window, trueMillis int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.cfg.Now()
	return m.counter.Windows(m.cfg.Windows.At(m.clock.Millis(now))), m.clock.Own(now)
}
