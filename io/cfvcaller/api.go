// Package cfvcaller implements the HTTP API for callers: OpenAI-style completions and calls to
// plain services.
package cfvcaller

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"

	"coltsfootvalve/common/cfverror"
	"coltsfootvalve/common/cfvmetric"
	"coltsfootvalve/core/cfvcatalog"
	"coltsfootvalve/io/cfvopenai"
	"coltsfootvalve/io/cfvserve"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
)

// HeaderIdempotencyKey is the header that carries a caller's idempotency key.
const HeaderIdempotencyKey = "Idempotency-Key"

// Length limits of keys and IDs that callers choose.
const (
	maxKeyBytes       = 200
	maxRequestIDBytes = 128
)

// Config configures an API.
type Config struct {
	Catalog func() *cfvcatalog.Catalog
	Server  *cfvserve.Server
	Metrics *cfvmetric.Registry
}

// API serves the requests of callers.
type API struct {
	cfg      Config
	leaving  atomic.Bool
	stopping atomic.Bool
	running  atomic.Int64
}

// New returns an API.
func New(cfg Config) *API {
	return &API{cfg: cfg}
}

// Handler returns the HTTP handler with all routes.
func (a *API) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = a.writeError
	e.GET("/ready", a.ready)
	v1 := e.Group("/v1", a.countRunning, a.authenticate)
	v1.GET("/models", a.models)
	v1.POST("/chat/completions", a.complete)
	v1.POST("/completions", a.complete)
	services := e.Group("/services/:service", a.countRunning, a.authenticate)
	services.Any("", a.call)
	services.Any("/*", a.call)
	return e
}

// Leave makes the readiness check fail. New requests are still accepted.
func (a *API) Leave() { a.leaving.Store(true) }

// Leaving reports whether Leave was called.
func (a *API) Leaving() bool { return a.leaving.Load() }

// Stop makes the API refuse new requests.
func (a *API) Stop() { a.stopping.Store(true) }

// RunningRequests returns the number of requests in progress.
func (a *API) RunningRequests() int64 { return a.running.Load() }

func (a *API) ready(c echo.Context) error {
	if a.leaving.Load() || a.cfg.Catalog().Revision() == 0 {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// countRunning counts the requests in progress. It refuses new requests once the node is
// stopping.
func (a *API) countRunning(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		a.running.Add(1)
		defer a.running.Add(-1)
		if a.stopping.Load() {
			c.Response().Header().Set("Connection", "close")
			return cfverror.NotRun(cfverror.ReasonStopping, "this node stops; send the request again")
		}
		return next(c)
	}
}

const (
	contextKeyWorkspace = "workspace"
	contextKeyRequestID = "requestId"
)

// authenticate looks up the workspace of the bearer key and sets the request ID.
func (a *API) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		id := c.Request().Header.Get(cfvopenai.HeaderRequestID)
		if id == "" {
			id = uuid.NewString()
		}
		if len(id) > maxRequestIDBytes {
			return cfverror.NotRun(cfverror.ReasonBadRequest, "%s: longer than %d bytes", cfvopenai.HeaderRequestID, maxRequestIDBytes)
		}
		c.Response().Header().Set(cfvopenai.HeaderRequestID, id)
		key, ok := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		w, known := a.cfg.Catalog().WorkspaceByKey(key)
		if !ok || !known {
			a.cfg.Metrics.CountRefusal(cfverror.ReasonUnauthorized)
			return cfverror.NotRun(cfverror.ReasonUnauthorized, "no workspace has this key")
		}
		c.Set(contextKeyWorkspace, w)
		c.Set(contextKeyRequestID, id)
		return next(c)
	}
}

func workspaceOf(c echo.Context) cfvcatalog.Workspace {
	w, _ := c.Get(contextKeyWorkspace).(cfvcatalog.Workspace)
	return w
}

func requestIDOf(c echo.Context) string {
	id, _ := c.Get(contextKeyRequestID).(string)
	return id
}

// readBody reads a request body of at most limit bytes.
func readBody(c echo.Context, limit int64) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, cfverror.NotRun(cfverror.ReasonBodyTooLarge, "body: larger than %d bytes", limit)
	}
	if err != nil {
		return nil, cfverror.NotRun(cfverror.ReasonBadRequest, "body: %v", err)
	}
	return data, nil
}

type modelsJSON struct {
	Object string      `json:"object"`
	Data   []modelJSON `json:"data"`
}

type modelJSON struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (a *API) models(c echo.Context) error {
	out := modelsJSON{Object: "list", Data: []modelJSON{}}
	for _, s := range a.cfg.Catalog().Services() {
		if !s.Plain {
			out.Data = append(out.Data, modelJSON{s.Name, "model"})
		}
	}
	return c.JSON(http.StatusOK, out)
}

type errorJSON struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Reason  string `json:"reason"`
	Ran     string `json:"ran"`
}

// writeError writes an error response in the JSON format of the OpenAI API.
func (a *API) writeError(err error, c echo.Context) {
	var he *echo.HTTPError
	r := cfverror.From(err)
	status := statusOf(r)
	if errors.As(err, &he) {
		r = cfverror.NotRun(cfverror.ReasonBadRequest, "%v", he.Message)
		status = he.Code
	}
	if c.Response().Committed {
		return
	}
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		c.Response().Header().Set("Retry-After", "1")
	}
	_ = c.JSON(status, errorJSON{errorBody{
		Message: r.Message, Type: "coltsfootvalve_error", Code: string(r.Reason), Reason: string(r.Reason), Ran: string(r.Ran),
	}})
}

// statusOf returns the HTTP status of a refused request.
func statusOf(r *cfverror.Refusal) int {
	switch r.Reason {
	case cfverror.ReasonBadRequest:
		return http.StatusBadRequest
	case cfverror.ReasonUnauthorized:
		return http.StatusUnauthorized
	case cfverror.ReasonUnknownService:
		return http.StatusNotFound
	case cfverror.ReasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case cfverror.ReasonRateLimited, cfverror.ReasonConcurrency:
		return http.StatusTooManyRequests
	case cfverror.ReasonKeyReused, cfverror.ReasonQuarantined:
		return http.StatusUnprocessableEntity
	case cfverror.ReasonClaimPending, cfverror.ReasonOutcomeUnknown, cfverror.ReasonConflict:
		return http.StatusConflict
	case cfverror.ReasonEndpointFailed, cfverror.ReasonResponseMismatch, cfverror.ReasonResponseTruncated:
		return http.StatusBadGateway
	case cfverror.ReasonEndpointSilent, cfverror.ReasonTimeout:
		return http.StatusGatewayTimeout
	case cfverror.ReasonInternal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}

func (a *API) service(name string, plain bool) (cfvcatalog.Service, error) {
	s, ok := a.cfg.Catalog().Service(name)
	if !ok || s.Plain != plain {
		a.cfg.Metrics.CountRefusal(cfverror.ReasonUnknownService)
		return s, cfverror.NotRun(cfverror.ReasonUnknownService, "no such service: %s", fmt.Sprintf("%.100q", name))
	}
	return s, nil
}
