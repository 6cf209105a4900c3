// Package cfvreport finds late streams in the logs of entries and attributes each of them to a
// cause, such as a long prompt that ran at the same endpoint.
package cfvreport

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"coltsfootvalve/common/cfvlog"
)

// Stream is one streaming request as its entry logged it.
type Stream struct {
	RequestID        string
	Route            string
	Endpoint         string // of the last attempt
	PromptTokens     int
	Fetched          bool      // shared parts were fetched from stores in the last attempt
	Attempts         int       // number of placements
	PlacedAt         time.Time // of the last attempt
	FirstEventAt     time.Time // zero: no event came
	EndedAt          time.Time // zero: the response was not complete, or its end was not logged
	TimeToFirstEvent time.Duration
	LongestPause     time.Duration // between two events
}

// Limits defines which streams are late and which prompts are long.
type Limits struct {
	TimeToFirstEvent time.Duration
	Pause            time.Duration // between two events
	LongPromptTokens int           // length from which a prompt is long
}

// Cause is the cause to which a stream's lateness is attributed. The late command prints its
// text, also as JSON.
type Cause string

// Values of Cause. Apart from InTime, they are listed in the order in which they are checked.
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

// CauseRow counts the streams of a route with one cause. Its field names appear in JSON output.
type CauseRow struct {
	Route string
	Cause Cause
	Count int
	Share float64       // share of the route's streams
	First time.Duration // median time to the first event, of the streams that had one
}

// ParseStreams collects the streams from log lines. It needs the lines about placements, which
// entries log at level debug. Requests without prompt tokens are left out.
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
			s.applyPlacement(l)
		case s == nil:
		case l.Message == "a stream began" && s.FirstEventAt.IsZero():
			s.FirstEventAt, s.TimeToFirstEvent = l.Time, millisValue(l, "millis")
		case l.Message == "a request was answered":
			s.EndedAt, s.LongestPause = l.Time, millisValue(l, "longestPauseMillis")
		}
	}
	return slices.DeleteFunc(out, func(s *Stream) bool { return s.PromptTokens == 0 })
}

// applyPlacement updates the stream from the log line of a placement.
func (s *Stream) applyPlacement(l cfvlog.Line) {
	s.Attempts++
	s.Route, s.Endpoint, s.PlacedAt = stringValue(l, "route"), stringValue(l, "endpoint"), l.Time
	s.PromptTokens = int(numberValue(l, "tokens"))
	s.Fetched = strings.Trim(stringValue(l, "fetch"), ",") != ""
}

func stringValue(l cfvlog.Line, name string) string {
	v, _ := l.Values[name].(string)
	return v
}

// numberValue returns a numeric value, or 0 if the line has none. A missing value is not an error:
// not every line of a kind has all values.
func numberValue(l cfvlog.Line, name string) float64 {
	v, _ := l.Values[name].(float64)
	return v
}

func millisValue(l cfvlog.Line, name string) time.Duration {
	return time.Duration(numberValue(l, name) * float64(time.Millisecond))
}

// CountCauses counts the streams by route and cause, the most frequent cause of a route first.
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
	firstEvents := make(map[key][]time.Duration)
	counts, totals := make(map[key]int), make(map[string]int)
	for _, s := range streams {
		k := key{s.Route, s.cause(limits, long[s.Endpoint])}
		counts[k]++
		totals[s.Route]++
		if !s.FirstEventAt.IsZero() {
			firstEvents[k] = append(firstEvents[k], s.TimeToFirstEvent)
		}
	}
	var out []CauseRow
	for k, n := range counts {
		r := CauseRow{Route: k.route, Cause: k.cause, Count: n, Share: float64(n) / float64(totals[k.route])}
		if list := firstEvents[k]; len(list) > 0 {
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

// cause returns the cause of one stream, given the streams with long prompts at its endpoint.
func (s *Stream) cause(limits Limits, long []*Stream) Cause {
	if s.FirstEventAt.IsZero() {
		return NoEvent
	}
	if s.TimeToFirstEvent > limits.TimeToFirstEvent {
		return s.lateCause(limits, long)
	}
	if s.LongestPause > limits.Pause {
		switch overlap, full := s.overlaps(long, s.FirstEventAt, s.EndedAt); {
		case full:
			return PausedBesideFullPrefill
		case overlap:
			return PausedBesideLongPrompt
		}
		return PausedNoLongPrompt
	}
	return InTime
}

// lateCause returns the cause of a late first event.
func (s *Stream) lateCause(limits Limits, long []*Stream) Cause {
	overlap, full := s.overlaps(long, s.PlacedAt, s.FirstEventAt)
	switch {
	case s.Attempts > 1:
		return LateSeveralEndpoints
	case full:
		return LateBesideFullPrefill
	case overlap:
		return LateBesideLongPrompt
	case s.PromptTokens >= limits.LongPromptTokens && s.Fetched:
		return LateOwnFetch
	case s.PromptTokens >= limits.LongPromptTokens:
		return LateOwnPrefill
	}
	return LateNoLongPrompt
}

// overlaps reports whether other long prompts waited or were prefilled at the endpoint between
// two times, and whether one of them was a full prefill.
func (s *Stream) overlaps(long []*Stream, from, to time.Time) (overlap, full bool) {
	for _, o := range long {
		if o == s || !o.PlacedAt.Before(to) || !o.FirstEventAt.IsZero() && !o.FirstEventAt.After(from) {
			continue
		}
		overlap, full = true, full || !o.Fetched
	}
	return overlap, full
}
