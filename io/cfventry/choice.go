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
func (q *request) choose() (c cfvdispatch.Choice, d cfvcall.Directions, refusal *statusError) {
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
func (q *request) placed(c cfvdispatch.Choice, d cfvcall.Directions, query cfvdispatch.Query) {
	e := q.entry
	if !e.cfg.Log.Detailed() {
		return
	}
	primary := ""
	if c.Primary != nil {
		primary = c.Primary.ID
	}
	load := e.dispatcher.Running(c.Endpoint.ID)
	e.cfg.Log.Detail("a request was placed", q.facts("endpoint", c.Endpoint.ID, "primary", primary, "candidates", len(query.Endpoints),
		"running", load.Running, "tokens", query.Tokens, "sharedTokens", query.Shared, "stored", query.Stored,
		"fetch", strings.Join(d.Fetch, ","), "save", strings.Join(d.Save, ","), "weights", d.WeightVersion, "affinity", query.Affinity)...)
}

// load is what the request adds to the prompt tokens that an endpoint has to read.
func (q *request) load() int { return q.call.Prompt.Tokens }

func (q *request) noEndpoint(why cfvdispatch.Reason, known int) *statusError {
	reason, after := cfverror.ReasonNoEndpoint, comeBack
	switch why {
	case cfvdispatch.AllCold:
		reason = cfverror.ReasonEndpointsCold
	case cfvdispatch.AllFull:
		reason = cfverror.ReasonEndpointsFull
	case cfvdispatch.AllOld:
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
	query.Tokens, query.Shared, query.Affinity, query.Exclude = p.Tokens, p.SharedTokens(), p.Affinity(), q.rejected
	if q.service.Engine != nil && p.Tokens > 0 {
		query.Border = e.border(now, q, len(query.Endpoints))
	}
	query.Stored = q.stored(now, query.Wanted)
	return query
}

// border counts the request once in the demand, and returns how many of n endpoints are
// for short prompts.
func (e *Entry) border(now time.Duration, q *request, n int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.lanesOf(q.service.Name)
	if q.arrivals == 0 {
		l.Note(now, q.call.Prompt.Tokens, q.service.Engine.Slots)
	}
	return l.Border(n)
}

// stored reports whether stores hold all shared parts for the newest weights.
func (q *request) stored(now time.Duration, version int64) bool {
	shared := q.call.Prompt.Shared()
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
func (q *request) directions(now time.Duration, query cfvdispatch.Query, c cfvdispatch.Choice) cfvcall.Directions {
	e := q.entry
	d := cfvcall.Directions{Endpoint: c.Endpoint.ID, Left: q.left(), ResumeAfter: q.resumeAfter()}
	if q.call.Deadline == 0 && q.route.Timeout == 0 {
		d.Left = 0
	}
	if q.workspace != nil {
		d.Workspace = q.workspace.Name
	}
	p := &q.call.Prompt
	if p.Model == "" {
		return d
	}
	d.Priority, d.HasPriority = q.priority(), true
	version := max(e.dispatcher.Version(c.Endpoint, p.Model), 1)
	d.WeightVersion = version
	d.Salt = cfvcall.Salt(q.workspace, p.Model, version)
	current := version >= query.Wanted
	if len(p.Shared()) == 0 || e.cfg.Parts == nil || !current && (query.OldParts == nil || !query.OldParts(c.Endpoint.ID)) {
		return d
	}
	e.cfg.Parts.Do(func(cat *cfvparts.Catalog) {
		t := cat.Transfers(now, cfvparts.Wish{Salt: d.Salt, Parts: p.Shared(), Domain: c.Endpoint.Domain, Save: current})
		d.FetchUntil = t.Until
		d.Fetch, d.Save = append(t.Fetch, ""), append(t.Save, "") // the last part is the request's own
	})
	return d
}
