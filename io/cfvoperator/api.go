package cfvoperator

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"coltsfootvalve/common/cfverror"
	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/common/cfvmetric"
	"coltsfootvalve/core/cfvtree"
	"coltsfootvalve/io/cfvserve"
	"coltsfootvalve/io/cfvsettings"

	"github.com/labstack/echo/v4"
)

// maxSettingsBytes is the maximum size of a settings document.
const maxSettingsBytes = 64 << 20

// maxHistoryEntries is the maximum number of history entries in a response.
const maxHistoryEntries = 1000

// Config configures an API. Tests replace its functions.
type Config struct {
	Token              string // bearer token of operators; empty disables authentication
	Settings           *cfvsettings.Store
	Traces             *cfvserve.Traces
	Metrics            *cfvmetric.Registry
	Status             func() StatusJSON
	ReloadCertificates func() error // reloads the certificates from their files
}

// API handles the requests of operators.
type API struct {
	cfg Config
}

// New returns an API.
func New(cfg Config) *API { return &API{cfg} }

// Handler returns the HTTP handler of the operator API.
func (a *API) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = writeError
	e.Use(a.requireToken)
	e.GET("/status", func(c echo.Context) error { return c.JSON(http.StatusOK, a.cfg.Status()) })
	e.GET("/settings", a.getSettings)
	e.POST("/settings/changes", a.change)
	e.POST("/settings/apply", a.apply)
	e.POST("/settings/diff", a.diff)
	e.GET("/settings/history", a.history)
	e.GET("/settings/explain", a.explainSetting)
	e.GET("/requests/:id", a.explainRequest)
	e.GET("/metrics", a.metrics)
	e.GET("/metrics.json", a.metricsJSON)
	e.POST("/log/level/:level", func(c echo.Context) error {
		if err := cfvlog.SetLevel(c.Param("level")); err != nil {
			return cfverror.NotRun(cfverror.ReasonBadRequest, "level: %v", err)
		}
		return nil
	})
	e.POST("/certificates/reload", func(echo.Context) error { return a.cfg.ReloadCertificates() })
	return e
}

// requireToken is middleware that rejects requests without the operators' bearer token.
func (a *API) requireToken(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if a.cfg.Token != "" && c.Request().Header.Get("Authorization") != "Bearer "+a.cfg.Token {
			return cfverror.NotRun(cfverror.ReasonUnauthorized, "the operators' token is missing or wrong")
		}
		return next(c)
	}
}

// writeError writes an error as ErrorJSON, with the status code that matches its reason.
func writeError(err error, c echo.Context) {
	r := cfverror.From(err)
	status := http.StatusInternalServerError
	if he, ok := err.(*echo.HTTPError); ok {
		status = he.Code
	}
	switch r.Reason {
	case cfverror.ReasonUnauthorized:
		status = http.StatusUnauthorized
	case cfverror.ReasonBadRequest:
		status = http.StatusBadRequest
	case cfverror.ReasonConflict, cfverror.ReasonOutcomeUnknown:
		status = http.StatusConflict
	case cfverror.ReasonSettings:
		status = http.StatusServiceUnavailable
	}
	_ = c.JSON(status, ErrorJSON{r.Message, string(r.Reason)})
}

// getSettings responds with the current settings as a document, without secrets.
func (a *API) getSettings(c echo.Context) error {
	c.Response().Header().Set("X-Revision", strconv.FormatUint(a.cfg.Settings.Revision(), 10))
	return c.JSONBlob(http.StatusOK, redact(a.cfg.Settings.Catalog().Tree()).Encode())
}

// redact returns the tree with the cache secrets of its workspaces replaced, or an empty tree if
// that fails.
func redact(t cfvtree.Tree) cfvtree.Tree {
	var changes []cfvtree.Change
	for _, p := range t.PathsAtLevel(cfvtree.LevelWorkspace) {
		if t.Text(p, cfvtree.CacheSecret) != "" {
			changes = append(changes, cfvtree.Change{Path: p, Name: cfvtree.CacheSecret, Value: cfvtree.TextValue("hidden")})
		}
	}
	out, err := t.Apply(changes)
	if err != nil {
		return cfvtree.Tree{}
	}
	return out
}

// change proposes the changes in the body of a request.
func (a *API) change(c echo.Context) error {
	var j ChangesJSON
	if err := c.Bind(&j); err != nil {
		return cfverror.NotRun(cfverror.ReasonBadRequest, "%v", err)
	}
	changes, err := parseChanges(j.Changes)
	if err != nil {
		return cfverror.NotRun(cfverror.ReasonBadRequest, "%v", err)
	}
	return a.propose(c, cfvsettings.Proposal{Author: j.Author, Changes: changes, Expected: j.Expected})
}

// parseChanges converts the changes of a request and parses their values.
func parseChanges(list []ChangeJSON) (out []cfvtree.Change, err error) {
	for _, j := range list {
		ch := cfvtree.Change{Path: j.Path, Name: cfvtree.Name(j.Name), Remove: j.Remove}
		if !j.Remove && j.Name != "" {
			if ch.Value, err = cfvtree.ParseValue(ch.Name, j.Value); err != nil {
				return nil, fmt.Errorf("%s: %w", j.Path, err)
			}
		}
		out = append(out, ch)
	}
	return out, nil
}

// propose proposes a change and responds with the new revision.
func (a *API) propose(c echo.Context, p cfvsettings.Proposal) error {
	revision, err := a.cfg.Settings.Propose(c.Request().Context(), p)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, AcceptedJSON{revision})
}

// readDocument decodes the settings document in the body of a request.
func readDocument(c echo.Context) ([]cfvtree.Change, error) {
	data, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxSettingsBytes))
	if err != nil {
		return nil, cfverror.NotRun(cfverror.ReasonBadRequest, "%v", err)
	}
	changes, err := cfvtree.DecodeChanges(data)
	if err != nil {
		return nil, cfverror.NotRun(cfverror.ReasonBadRequest, "%v", err)
	}
	return changes, nil
}

// apply proposes the settings document in the body of a request.
func (a *API) apply(c echo.Context) error {
	changes, err := readDocument(c)
	if err != nil {
		return err
	}
	expected, err := strconv.ParseUint("0"+c.QueryParam("expected"), 10, 64)
	if err != nil {
		return cfverror.NotRun(cfverror.ReasonBadRequest, "expected: %v", err)
	}
	return a.propose(c, cfvsettings.Proposal{Author: c.QueryParam("author"), Changes: changes, Expected: expected})
}

// diff responds with the changes that a settings document would make, without making them.
func (a *API) diff(c echo.Context) error {
	changes, err := readDocument(c)
	if err != nil {
		return err
	}
	current := a.cfg.Settings.Catalog().Tree()
	next, err := current.Apply(changes)
	if err != nil {
		return cfverror.NotRun(cfverror.ReasonBadRequest, "%v", err)
	}
	out := []string{}
	for _, ch := range cfvtree.Diff(current, next) {
		out = append(out, ch.String())
	}
	return c.JSON(http.StatusOK, out)
}

// history responds with the accepted revisions, newest first.
func (a *API) history(c echo.Context) error {
	list, err := a.cfg.Settings.History(c.Request().Context(), maxHistoryEntries)
	if err != nil {
		return cfverror.NotRun(cfverror.ReasonSettings, "%v", err)
	}
	out := []HistoryJSON{}
	for _, h := range list {
		out = append(out, HistoryJSON{h.Revision, h.Author, h.Time.UTC().Format(time.RFC3339), h.Changes})
	}
	return c.JSON(http.StatusOK, out)
}

// explainSetting responds with the settings in force at a path and where they are set.
func (a *API) explainSetting(c echo.Context) error {
	path := c.QueryParam("path")
	level, err := cfvtree.LevelOf(path)
	if err != nil {
		return cfverror.NotRun(cfverror.ReasonBadRequest, "%v", err)
	}
	t := a.cfg.Settings.Catalog().Tree()
	if path != cfvtree.Root && !t.Has(path) {
		return cfverror.NotRun(cfverror.ReasonBadRequest, "path %q: no such node", path)
	}
	out := []ValueJSON{}
	for _, f := range cfvtree.Fields() {
		if !f.AllowedAt(level) || f.Name == cfvtree.CacheSecret {
			continue
		}
		v, origin := t.Lookup(path, f.Name)
		if origin == "" {
			origin = "default"
		}
		out = append(out, ValueJSON{path, string(f.Name), v.String(), origin})
	}
	return c.JSON(http.StatusOK, out)
}

// explainRequest responds with the trace of a request that this node handled recently.
func (a *API) explainRequest(c echo.Context) error {
	trace, ok := a.cfg.Traces.Get(c.Param("id"))
	if !ok {
		return echo.NewHTTPError(http.StatusNotFound, "this node has not handled the request, or not lately")
	}
	out := ExplanationJSON{RequestID: c.Param("id"), Workspace: trace.Workspace(), Notes: []NoteJSON{}}
	for _, n := range trace.Notes() {
		out.Notes = append(out.Notes, NoteJSON{n.After.Microseconds(), n.Text})
	}
	return c.JSON(http.StatusOK, out)
}

// metricsJSON responds with the metrics as a JSON object of values by name.
func (a *API) metricsJSON(c echo.Context) error {
	out := make(map[string]int64)
	for _, s := range a.cfg.Metrics.Samples() {
		out[s.Name] = s.Value
	}
	return c.JSON(http.StatusOK, out)
}

// metrics responds with the metrics in the Prometheus text format.
func (a *API) metrics(c echo.Context) error {
	c.Response().Header().Set("Content-Type", cfvmetric.ContentType)
	return a.cfg.Metrics.WriteText(c.Response())
}
