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
	RequestID        string
	Route            string
	Endpoint         string // the last one
	PromptTokens     int    // of the prompt
	Fetched          bool   // shared parts came from stores
	Attempts         int    // endpoints that it was sent to
	PlacedAt         time.Time
	FirstEventAt     time.Time     // zero: no event came
	EndedAt          time.Time     // zero: not answered whole, or not logged
	TimeToFirstEvent time.Duration // until the first event
	LongestPause     time.Duration // longest between two events
}

// Limits say what is late.
type Limits struct {
	TimeToFirstEvent time.Duration // until the first event
	Pause            time.Duration // between two events
	LongPromptTokens int           // tokens from which a prompt is long
}

// Cause says what a late stream met.
type Cause string

// The causes, in the order in which they are looked for.
const (
	InTime                  Cause = "in time"
	NoEvent                 Cause = "no event came"
	LateSeveralEndpoints    Cause = "began late: sent to more than one endpoint"
	LateBesideFullPrefill   Cause = "began late: a long prompt was read whole there"
	LateBesideLongPrompt    Cause = "began late: a long prompt was there"
	LateOwnFetch            Cause = "began late: its parts were fetched"
	LateOwnPrefill          Cause = "began late: it was read whole"
	LateNoLongPrompt        Cause = "began late: no long prompt was there"
	PausedBesideFullPrefill Cause = "paused: a long prompt was read whole there"
	PausedBesideLongPrompt  Cause = "paused: a long prompt was there"
	PausedNoLongPrompt      Cause = "paused: no long prompt was there"
)

// Row counts the streams of a route that met one cause.
type CauseRow struct {
	Route string
	Cause Cause
	Count int
	Share float64       // of the route's streams
	First time.Duration // until the first event, at the median of those that began
}

// Streams reads the streams from lines of logs. Entries must log placements, which they do
// at level debug.
func ParseStreams(lines []cfvlog.Line) []*Stream {
	byID := make(map[string]*Stream)
	var out []*Stream
	for _, l := range lines {
		id := l.RequestID()
		s := byID[id]
		switch {
		case id == "":
		case l.Message == "a request was placed":
			if s == nil {
				s = &Stream{RequestID: id}
				byID[id] = s
				out = append(out, s)
			}
			s.place(l)
		case s == nil:
		case l.Message == "a stream began" && s.FirstEventAt.IsZero():
			s.FirstEventAt, s.TimeToFirstEvent = l.Time, millis(l, "millis")
		case l.Message == "a request was answered":
			s.EndedAt, s.LongestPause = l.Time, millis(l, "longestPauseMillis")
		}
	}
	return slices.DeleteFunc(out, func(s *Stream) bool { return s.PromptTokens == 0 })
}

func (s *Stream) place(l cfvlog.Line) {
	s.Attempts++
	s.Route, s.Endpoint, s.PlacedAt = text(l, "route"), text(l, "endpoint"), l.Time
	s.PromptTokens = int(number(l, "tokens"))
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
func CountCauses(streams []*Stream, limits Limits) []CauseRow {
	type key struct {
		route string
		cause Cause
	}
	long := make(map[string][]*Stream) // by endpoint
	for _, s := range streams {
		if s.PromptTokens >= limits.LongPromptTokens {
			long[s.Endpoint] = append(long[s.Endpoint], s)
		}
	}
	firsts := make(map[key][]time.Duration)
	counts, totals := make(map[key]int), make(map[string]int)
	for _, s := range streams {
		k := key{s.Route, s.cause(limits, long[s.Endpoint])}
		counts[k]++
		totals[s.Route]++
		if !s.FirstEventAt.IsZero() {
			firsts[k] = append(firsts[k], s.TimeToFirstEvent)
		}
	}
	var out []CauseRow
	for k, n := range counts {
		r := CauseRow{Route: k.route, Cause: k.cause, Count: n, Share: float64(n) / float64(totals[k.route])}
		if list := firsts[k]; len(list) > 0 {
			slices.Sort(list)
			r.First = list[len(list)/2]
		}
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b CauseRow) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(b.Count, a.Count), cmp.Compare(a.Cause, b.Cause))
	})
	return out
}

// cause judges one stream by the long prompts at its endpoint.
func (s *Stream) cause(limits Limits, long []*Stream) Cause {
	if s.FirstEventAt.IsZero() {
		return NoEvent
	}
	if s.TimeToFirstEvent > limits.TimeToFirstEvent {
		return s.lateCause(limits, long)
	}
	if s.LongestPause > limits.Pause {
		switch met, whole := s.beside(long, s.FirstEventAt, s.EndedAt); {
		case whole:
			return PausedBesideFullPrefill
		case met:
			return PausedBesideLongPrompt
		}
		return PausedNoLongPrompt
	}
	return InTime
}

func (s *Stream) lateCause(limits Limits, long []*Stream) Cause {
	met, whole := s.beside(long, s.PlacedAt, s.FirstEventAt)
	switch {
	case s.Attempts > 1:
		return LateSeveralEndpoints
	case whole:
		return LateBesideFullPrefill
	case met:
		return LateBesideLongPrompt
	case s.PromptTokens >= limits.LongPromptTokens && s.Fetched:
		return LateOwnFetch
	case s.PromptTokens >= limits.LongPromptTokens:
		return LateOwnPrefill
	}
	return LateNoLongPrompt
}

// beside reports whether other long prompts waited or were read at the endpoint within a
// span, and whether one of them was read whole.
func (s *Stream) beside(long []*Stream, from, to time.Time) (met, whole bool) {
	for _, o := range long {
		if o == s || !o.PlacedAt.Before(to) || !o.FirstEventAt.IsZero() && !o.FirstEventAt.After(from) {
			continue
		}
		met, whole = true, whole || !o.Fetched
	}
	return met, whole
}
