package cfventry

import (
	"net/http"
	"strings"
	"time"

	"coltsfootvalve/common/cfverror"
	"coltsfootvalve/core/cfvcall"
	"coltsfootvalve/core/cfvdispatch"
	"coltsfootvalve/core/cfvparts"
)

// choose picks the endpoint and says what it is told.
func (q *request) choose() (c cfvdispatch.Choice, d cfvcall.ForwardOptions, refusal *statusError) {
	e := q.entry
	now := e.cfg.Now()
	query := q.query(now)
	narrow := query
	q.reserve(&narrow)
	now = e.cfg.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	c, why := e.dispatcher.Choose(now, narrow, e.cfg.Random())
	if why != cfvdispatch.Chosen && q.grant != nil {
		c, why = e.dispatcher.Choose(now, query, e.cfg.Random())
	}
	if why != cfvdispatch.Chosen {
		return c, d, q.noEndpoint(why, len(query.Endpoints))
	}
	d = q.directions(now, query, c)
	e.dispatcher.Start(now, c.Endpoint, q.load())
	q.placed(c, d, query)
	return c, d, nil
}

// placed logs where the request goes, and what decided it.
func (q *request) placed(c cfvdispatch.Choice, d cfvcall.ForwardOptions, query cfvdispatch.Query) {
	e := q.entry
	if !e.cfg.Log.DebugEnabled() {
		return
	}
	primary := ""
	if c.CachedOn != nil {
		primary = c.CachedOn.ID
	}
	load := e.dispatcher.LocalLoad(c.Endpoint.ID)
	e.cfg.Log.Debugw("a request was placed", q.facts("endpoint", c.Endpoint.ID, "primary", primary, "candidates", len(query.Endpoints),
		"running", load.Running, "tokens", query.PromptTokens, "sharedTokens", query.SharedTokens, "stored", query.Stored,
		"fetch", strings.Join(d.FetchFrom, ","), "save", strings.Join(d.SaveTo, ","), "weights", d.WeightVersion, "affinity", query.Affinity)...)
}

// load is what the request adds to the prompt tokens that an endpoint has to read.
func (q *request) load() int { return q.call.Prompt.Tokens }

func (q *request) noEndpoint(why cfvdispatch.Reason, known int) *statusError {
	reason, after := cfverror.ReasonNoEndpoint, comeBack
	switch why {
	case cfvdispatch.AllAtColdLimit:
		reason = cfverror.ReasonEndpointsCold
	case cfvdispatch.AllAtEntryLimit:
		reason = cfverror.ReasonEndpointsFull
	case cfvdispatch.AllOnOldWeights:
		reason = cfverror.ReasonVersionMissing
	}
	if q.stream.begun() {
		q.cut("no endpoint to go on at: " + string(reason))
	}
	if q.sent > 0 {
		return &statusError{status: http.StatusBadGateway, refusal: cfverror.Unknown(reason, "none of %d endpoints can take the request", known)}
	}
	return q.later(after, reason, "none of %d endpoints can take the request", known)
}

// query collects what the choice depends on.
func (q *request) query(now time.Duration) cfvdispatch.Query {
	e := q.entry
	p := &q.call.Prompt
	query := e.query(now, q.service, p)
	query.PromptTokens, query.SharedTokens, query.Affinity, query.Exclude = p.Tokens, p.SharedTokens(), p.AffinityKey(), q.rejected
	if q.service.Engine != nil && p.Tokens > 0 {
		query.ShortPoolSize = e.border(now, q, len(query.Endpoints))
	}
	query.Stored = q.stored(now, query.DesiredWeights)
	return query
}

// border counts the request once in the demand, and returns how many of n endpoints are
// for short prompts.
func (e *Entry) border(now time.Duration, q *request, n int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.lanesOf(q.service.Name)
	if q.arrivals == 0 {
		l.RecordRequest(now, q.call.Prompt.Tokens, q.service.Engine.Slots)
	}
	return l.ShortPoolSize(n)
}

// stored reports whether stores hold all shared parts for the newest weights.
func (q *request) stored(now time.Duration, version int64) bool {
	shared := q.call.Prompt.SharedParts()
	if len(shared) == 0 || q.entry.cfg.Parts == nil {
		return false
	}
	salt := cfvcall.Salt(q.workspace, q.call.Prompt.Model, max(version, 1))
	all := true
	q.entry.cfg.Parts.Do(func(c *cfvparts.Catalog) {
		for _, part := range shared {
			all = all && c.Find(now, cfvparts.Key{Salt: salt, Part: part.ID}, part.Tokens, "") != ""
		}
	})
	return all
}

// directions says what the endpoint is told. The caller holds the entry's lock.
func (q *request) directions(now time.Duration, query cfvdispatch.Query, c cfvdispatch.Choice) cfvcall.ForwardOptions {
	e := q.entry
	d := cfvcall.ForwardOptions{Endpoint: c.Endpoint.ID, TimeLeft: q.left(), ResumeAfter: q.resumeAfter()}
	if q.call.Timeout == 0 && q.route.Timeout == 0 {
		d.TimeLeft = 0
	}
	if q.workspace != nil {
		d.Workspace = q.workspace.Name
	}
	p := &q.call.Prompt
	if p.Model == "" {
		return d
	}
	d.Priority, d.HasPriority = q.priority(), true
	version := max(e.dispatcher.WeightsVersion(c.Endpoint, p.Model), 1)
	d.WeightVersion = version
	d.Salt = cfvcall.Salt(q.workspace, p.Model, version)
	current := version >= query.DesiredWeights
	if len(p.SharedParts()) == 0 || e.cfg.Parts == nil || !current && (query.MayFetchOldParts == nil || !query.MayFetchOldParts(c.Endpoint.ID)) {
		return d
	}
	e.cfg.Parts.Do(func(cat *cfvparts.Catalog) {
		t := cat.PlanTransfers(now, cfvparts.TransferRequest{Salt: d.Salt, Parts: p.SharedParts(), Domain: c.Endpoint.Domain, Save: current})
		d.FetchUntilMillis = t.FetchDeadlineMillis
		d.FetchFrom, d.SaveTo = append(t.Fetch, ""), append(t.Save, "") // the last part is the request's own
	})
	return d
}
