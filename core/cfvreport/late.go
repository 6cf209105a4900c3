// Package cfvreport tells from the logs of entries which streams were late, and what ran
// beside them at their endpoints.
package cfvreport

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"coltsfootvalve/common/cfvlog"
)

// Stream is one request for a stream as its entry logged it.
type Stream struct {
	Request    string
	Route      string
	Endpoint   string // the last one
	Tokens     int    // of the prompt
	Fetched    bool   // shared parts came from stores
	Placements int    // endpoints that it was sent to
	Placed     time.Time
	Began      time.Time     // zero: no event came
	Ended      time.Time     // zero: not answered whole, or not logged
	First      time.Duration // until the first event
	Pause      time.Duration // longest between two events
}

// Limits say what is late.
type Limits struct {
	First time.Duration // until the first event
	Pause time.Duration // between two events
	Long  int           // tokens from which a prompt is long
}

// Cause says what a late stream met.
type Cause string

// The causes, in the order in which they are looked for.
const (
	InTime        Cause = "in time"
	NeverBegan    Cause = "no event came"
	Rejected      Cause = "began late: sent to more than one endpoint"
	BesideWhole   Cause = "began late: a long prompt was read whole there"
	BesideLong    Cause = "began late: a long prompt was there"
	OwnFetch      Cause = "began late: its parts were fetched"
	OwnReading    Cause = "began late: it was read whole"
	Crowded       Cause = "began late: no long prompt was there"
	PausedByWhole Cause = "paused: a long prompt was read whole there"
	PausedByLong  Cause = "paused: a long prompt was there"
	PausedAlone   Cause = "paused: no long prompt was there"
)

// Row counts the streams of a route that met one cause.
type Row struct {
	Route string
	Cause Cause
	Count int
	Share float64       // of the route's streams
	First time.Duration // until the first event, at the median of those that began
}

// Streams reads the streams from lines of logs. Entries must log placements, which they do
// at level debug.
func Streams(lines []cfvlog.Line) []*Stream {
	byID := make(map[string]*Stream)
	var out []*Stream
	for _, l := range lines {
		id := l.Request()
		s := byID[id]
		switch {
		case id == "":
		case l.Message == "a request was placed":
			if s == nil {
				s = &Stream{Request: id}
				byID[id] = s
				out = append(out, s)
			}
			s.place(l)
		case s == nil:
		case l.Message == "a stream began" && s.Began.IsZero():
			s.Began, s.First = l.Time, millis(l, "millis")
		case l.Message == "a request was answered":
			s.Ended, s.Pause = l.Time, millis(l, "longestPauseMillis")
		}
	}
	return slices.DeleteFunc(out, func(s *Stream) bool { return s.Tokens == 0 })
}

func (s *Stream) place(l cfvlog.Line) {
	s.Placements++
	s.Route, s.Endpoint, s.Placed = text(l, "route"), text(l, "endpoint"), l.Time
	s.Tokens = int(number(l, "tokens"))
	s.Fetched = strings.Trim(text(l, "fetch"), ",") != ""
}

func text(l cfvlog.Line, name string) string {
	v, _ := l.Values[name].(string)
	return v
}

// number returns a value, or 0 where the line has none: other lines of the kind lack it too.
func number(l cfvlog.Line, name string) float64 {
	v, _ := l.Values[name].(float64)
	return v
}

func millis(l cfvlog.Line, name string) time.Duration {
	return time.Duration(number(l, name) * float64(time.Millisecond))
}

// Late counts what late streams met, by route, the most frequent cause first.
func Late(streams []*Stream, limits Limits) []Row {
	type key struct {
		route string
		cause Cause
	}
	long := make(map[string][]*Stream) // by endpoint
	for _, s := range streams {
		if s.Tokens >= limits.Long {
			long[s.Endpoint] = append(long[s.Endpoint], s)
		}
	}
	firsts := make(map[key][]time.Duration)
	counts, totals := make(map[key]int), make(map[string]int)
	for _, s := range streams {
		k := key{s.Route, s.cause(limits, long[s.Endpoint])}
		counts[k]++
		totals[s.Route]++
		if !s.Began.IsZero() {
			firsts[k] = append(firsts[k], s.First)
		}
	}
	var out []Row
	for k, n := range counts {
		r := Row{Route: k.route, Cause: k.cause, Count: n, Share: float64(n) / float64(totals[k.route])}
		if list := firsts[k]; len(list) > 0 {
			slices.Sort(list)
			r.First = list[len(list)/2]
		}
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(b.Count, a.Count), cmp.Compare(a.Cause, b.Cause))
	})
	return out
}

// cause judges one stream by the long prompts at its endpoint.
func (s *Stream) cause(limits Limits, long []*Stream) Cause {
	if s.Began.IsZero() {
		return NeverBegan
	}
	if s.First > limits.First {
		return s.lateCause(limits, long)
	}
	if s.Pause > limits.Pause {
		switch met, whole := s.beside(long, s.Began, s.Ended); {
		case whole:
			return PausedByWhole
		case met:
			return PausedByLong
		}
		return PausedAlone
	}
	return InTime
}

func (s *Stream) lateCause(limits Limits, long []*Stream) Cause {
	met, whole := s.beside(long, s.Placed, s.Began)
	switch {
	case s.Placements > 1:
		return Rejected
	case whole:
		return BesideWhole
	case met:
		return BesideLong
	case s.Tokens >= limits.Long && s.Fetched:
		return OwnFetch
	case s.Tokens >= limits.Long:
		return OwnReading
	}
	return Crowded
}

// beside reports whether other long prompts waited or were read at the endpoint within a
// span, and whether one of them was read whole.
func (s *Stream) beside(long []*Stream, from, to time.Time) (met, whole bool) {
	for _, o := range long {
		if o == s || !o.Placed.Before(to) || !o.Began.IsZero() && !o.Began.After(from) {
			continue
		}
		met, whole = true, whole || !o.Fetched
	}
	return met, whole
}
