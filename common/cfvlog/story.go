package cfvlog

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"
)

// Line is one line of a log.
type Line struct {
	Time      time.Time
	Node      string
	Component string // what stands before the colon of the message
	Message   string
	Level     string
	Values    map[string]any // all other values
}

// Request returns the id of the request that the line is about, or nothing.
func (l *Line) RequestID() string { return l.text("requestId") }

func (l *Line) text(name string) string {
	s, _ := l.Values[name].(string) // a value of another type is no text
	return s
}

// maxLine bounds a line in bytes.
const maxLine = 1 << 20

// Read reads the lines of a log. What stands before the first brace of a line is ignored,
// as are lines without one; the number of lines that can't be read is returned.
func Read(r io.Reader) (lines []Line, unread int, err error) {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLine)
	for sc.Scan() {
		_, text, found := strings.Cut(sc.Text(), "{")
		if !found {
			continue
		}
		l, err := parse("{" + text)
		if err != nil {
			unread++
			continue
		}
		lines = append(lines, l)
	}
	if err = sc.Err(); err != nil {
		return nil, unread, fmt.Errorf("line %d: %w", len(lines)+unread+1, err)
	}
	return lines, unread, nil
}

func parse(text string) (l Line, err error) {
	if err = json.Unmarshal([]byte(text), &l.Values); err != nil {
		return l, err
	}
	take := func(name string) string {
		s := l.text(name)
		delete(l.Values, name)
		return s
	}
	l.Node, l.Level, l.Message = take("node"), take("level"), take("message")
	if part, rest, ok := strings.Cut(l.Message, ": "); ok && !strings.Contains(part, " ") {
		l.Component, l.Message = part, rest
	}
	l.Time, err = time.Parse(time.RFC3339Nano, take("time"))
	return l, err
}

// Story returns the lines about one request in order, and for each endpoint that they name
// what its entry learned of it within the window around the request.
func RequestLines(lines []Line, request string, window time.Duration) (story []Line) {
	endpoints, nodes := make(map[string]bool), make(map[string]bool)
	var from, to time.Time
	for _, l := range lines {
		if l.RequestID() != request {
			continue
		}
		if from.IsZero() || l.Time.Before(from) {
			from = l.Time
		}
		if l.Time.After(to) {
			to = l.Time
		}
		nodes[l.Node] = true
		endpoints[l.text("endpoint")] = true
	}
	if from.IsZero() {
		return nil
	}
	delete(endpoints, "")
	for _, l := range lines {
		near := l.Time.After(from.Add(-window)) && l.Time.Before(to.Add(window)) && nodes[l.Node] && l.RequestID() == ""
		if l.RequestID() == request || near && (endpoints[l.text("endpoint")] || l.Component == "follow" || l.Component == "belief" && l.text("endpoint") == "") {
			story = append(story, l)
		}
	}
	sort.SliceStable(story, func(i, j int) bool { return story[i].Time.Before(story[j].Time) })
	return story
}

// Cause returns the line that ended the request: its refusal, its answer, or else the last
// that is about it.
func Cause(story []Line, request string) (cause Line, ok bool) {
	for _, l := range story {
		if l.RequestID() != request {
			continue
		}
		cause, ok = l, true
		if _, refused := l.Values["reason"]; refused {
			return cause, true
		}
	}
	return cause, ok
}
