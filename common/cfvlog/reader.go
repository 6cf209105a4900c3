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
	Component string // the prefix of the message, before the colon
	Message   string
	Level     string
	Values    map[string]any // all other keys
}

// RequestID returns the id of the request that the line is about, or an empty string.
func (l *Line) RequestID() string { return l.text("requestId") }

func (l *Line) text(name string) string {
	s, _ := l.Values[name].(string) // empty for a value of another type
	return s
}

// maxLineBytes is the maximum length of a line.
const maxLineBytes = 1 << 20

// Read reads the lines of a log. It ignores everything before the first brace of a line, and
// lines without a brace. It also returns the number of lines that could not be parsed.
func Read(r io.Reader) (lines []Line, unparsed int, err error) {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		_, text, found := strings.Cut(sc.Text(), "{")
		if !found {
			continue
		}
		l, err := parse("{" + text)
		if err != nil {
			unparsed++
			continue
		}
		lines = append(lines, l)
	}
	if err = sc.Err(); err != nil {
		return nil, unparsed, fmt.Errorf("line %d: %w", len(lines)+unparsed+1, err)
	}
	return lines, unparsed, nil
}

func parse(text string) (l Line, err error) {
	if err = json.Unmarshal([]byte(text), &l.Values); err != nil {
		return l, err
	}
	remove := func(name string) string {
		s := l.text(name)
		delete(l.Values, name)
		return s
	}
	l.Node, l.Level, l.Message = remove("node"), remove("level"), remove("message")
	if part, rest, ok := strings.Cut(l.Message, ": "); ok && !strings.Contains(part, " ") {
		l.Component, l.Message = part, rest
	}
	l.Time, err = time.Parse(time.RFC3339Nano, remove("time"))
	return l, err
}

// RequestLines returns the lines about one request in the order of their times. From the same
// nodes and within the window around the request, it adds the lines that name one of its
// endpoints, those of the watcher of the key-value store (follow) and those about the state as a
// whole (belief).
func RequestLines(lines []Line, request string, window time.Duration) (selected []Line) {
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
			selected = append(selected, l)
		}
	}
	sort.SliceStable(selected, func(i, j int) bool { return selected[i].Time.Before(selected[j].Time) })
	return selected
}

// Cause returns the line that explains how the request ended: its refusal, or else the last
// line about it.
func Cause(lines []Line, request string) (cause Line, ok bool) {
	for _, l := range lines {
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
