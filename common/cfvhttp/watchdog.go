package cfvhttp

import (
	"context"
	"errors"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"
)

// Limits for servers that send bytes which are no response.
const (
	headTimeout    = time.Second     // from the first byte of a response until its head is complete
	interimTimeout = 5 * time.Second // from an interim response until the head of the next one is complete
	maxInterims    = 8               // interim responses before the final one
)

// Watchdog cancels a request that makes no progress although bytes arrive. It is stopped and
// started again with each sign of progress. It is safe for concurrent use.
type Watchdog struct {
	mu      sync.Mutex
	timer   *time.Timer
	cancel  func()
	expired atomic.Bool
}

// NewWatchdog returns a stopped watchdog, which calls cancel when it expires.
func NewWatchdog(cancel func()) *Watchdog { return &Watchdog{cancel: cancel} }

// Start lets the watchdog expire after the given time, instead of after an earlier one.
func (w *Watchdog) Start(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
	w.timer = time.AfterFunc(d, func() {
		w.expired.Store(true)
		w.cancel()
	})
}

// Stop stops the watchdog.
func (w *Watchdog) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
}

// Expired reports whether the watchdog cancelled the request.
func (w *Watchdog) Expired() bool { return w.expired.Load() }

// errTooManyInterims is the error of a response that only announces others.
var errTooManyInterims = errors.New("too many interim responses")

// WatchHead returns a context with which the watchdog watches the head of the response: it must be
// complete soon after its first byte.
func (w *Watchdog) WatchHead(ctx context.Context) context.Context {
	interims := 0
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotFirstResponseByte: func() { w.Start(headTimeout) },
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			if interims++; interims > maxInterims {
				return errTooManyInterims
			}
			w.Start(interimTimeout)
			return nil
		},
	})
}
