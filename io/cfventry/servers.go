package cfventry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"coltsfootvalve/common/cfvclock"
	"coltsfootvalve/common/cfverror"
	"coltsfootvalve/common/cfvhttp"

	"github.com/labstack/echo/v4"
)

// Timeouts, limits and intervals of the servers. The limits of routes and workspaces come with
// the configuration.
const (
	readHeaderTimeout    = 10 * time.Second
	callerIdleTimeout    = 120 * time.Second // longer than any idle time that a configuration allows
	maxCallerHeaderBytes = 64 << 10
	maxProbeHeaderBytes  = 16 << 10
	callerBufferBytes    = 128 << 10 // of the kernel for each direction of a connection; the kernel lets it grow to several MB otherwise
	cleanupInterval      = 500 * time.Millisecond
	peerLoadInterval     = 200 * time.Millisecond
)

// Start listens for callers and for readiness probes, and starts the background work, which
// ends with ctx.
func (e *Entry) Start(ctx context.Context) (err error) {
	router := echo.New()
	router.HideBanner, router.HidePort = true, true
	router.Any("/*", e.handle)
	e.callers = cfvhttp.NewConnTracker(e.recordUnanswered)
	limit := cfvhttp.NewConnLimit(e.cfg.MaxCallers, callerBufferBytes, func() { e.cfg.Metrics.Count("callers.closed", 1) })
	e.callerServer = &http.Server{
		Handler: router, BaseContext: func(net.Listener) context.Context { return e.baseContext }, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxCallerHeaderBytes,
		ConnState: callerConnState(e.callers.ConnState, limit.ConnState),
	}
	e.readyServer = &http.Server{Handler: http.HandlerFunc(e.serveReady), ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxProbeHeaderBytes}
	for _, s := range []struct {
		server *http.Server
		addr   string
	}{{e.callerServer, e.cfg.CallerAddr}, {e.readyServer, e.cfg.ReadyAddr}} {
		l, err := e.cfg.Listen("tcp", s.addr)
		if err != nil {
			return fmt.Errorf("listen on %s: %w", s.addr, err)
		}
		if s.server == e.callerServer {
			l = e.callers.Listener(l)
			e.listener = l
			if e.cfg.BodyBudget != nil {
				l = headListener{l, e.cfg.BodyBudget, func() { e.cfg.Metrics.CountRefusal(cfverror.ReasonBodyMemory) }}
			}
		}
		go func() {
			if err := s.server.Serve(l); !e.stopping.Load() && !errors.Is(err, http.ErrServerClosed) {
				e.cfg.Log.Warnw("an HTTP server stopped unexpectedly", "addr", s.addr, "error", err.Error())
			}
		}()
	}
	e.startLoops(ctx)
	return nil
}

// recordUnanswered records a request whose connection was closed without a response.
func (e *Entry) recordUnanswered(r cfvhttp.UnansweredRequest) {
	e.cfg.Metrics.Count("callers.unanswered", 1)
	e.cfg.Log.Warnw("a connection was closed without a response to its request", "caller", r.Caller, "bytes", r.Bytes, "state", r.State.String(), "stopping", e.stopping.Load(),
		"running", e.running.Load(), "reservedBytes", e.cfg.BodyBudget.Used())
}

// startLoops starts the background work, which ends with ctx.
func (e *Entry) startLoops(ctx context.Context) {
	go cfvclock.Every(ctx, cleanupInterval, func(context.Context) { e.cleanUp() })
	go cfvclock.Every(ctx, peerLoadInterval, func(context.Context) { e.updatePeerLoads() })
	go cfvclock.Every(ctx, pendingCheckInterval, func(context.Context) {
		e.cancelObsolete()
		e.checkLinks()
	})
}

// serveReady answers a readiness probe of the load balancer.
func (e *Entry) serveReady(w http.ResponseWriter, r *http.Request) {
	status := http.StatusOK
	if r.URL.Path != e.cfg.Codec.ReadyPath {
		status = http.StatusNotFound
	} else if _, ok := e.stateFresh(); !ok || e.stopping.Load() || e.index() == nil {
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
}
