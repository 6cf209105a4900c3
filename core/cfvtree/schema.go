// Package cfvtree is the tree of settings: typed values that a child inherits from its
// parent unless it overrides them, validated whole before a change is accepted.
package cfvtree

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
)

// Level is a kind of node in the tree.
type Level string

// The levels of the tree, by the shape of their paths.
const (
	LevelRoot      Level = "root"      // root
	LevelRegion    Level = "region"    // regions/R
	LevelDomain    Level = "domain"    // regions/R/D
	LevelEndpoint  Level = "endpoint"  // regions/R/D/E
	LevelWorkspace Level = "workspace" // workspaces/W
	LevelService   Level = "service"   // services/S
	LevelVersion   Level = "version"   // services/S/V
	LevelStore     Level = "store"     // stores/S
)

// Root is the path of the node that every other node inherits from.
const Root = "root"

// Kind is the type of a setting's value.
type Kind string

// The kinds of values.
const (
	KindInt  Kind = "integer"
	KindBool Kind = "boolean"
	KindText Kind = "text"
)

// Name names a setting.
type Name string

// The settings.
const (
	ColdSlots           Name = "coldSlots"
	WarmSlots           Name = "warmSlots"
	RampStepMillis      Name = "rampStepMillis"
	ReportLagMillis     Name = "reportLagMillis"
	QueueMillis         Name = "queueMillis"
	QueueLength         Name = "queueLength"
	RequestMillis       Name = "requestMillis"
	SilenceMillis       Name = "silenceMillis"
	MaxBodyBytes        Name = "maxBodyBytes"
	Drained             Name = "drained"
	Priority            Name = "priority"
	RequestsPerSecond   Name = "requestsPerSecond"
	ConcurrentRequests  Name = "concurrentRequests"
	KeyHash             Name = "keyHash"
	CacheSecret         Name = "cacheSecret"
	Address             Name = "address"
	EndpointService     Name = "service"
	EndpointVersion     Name = "version"
	ServiceKind         Name = "kind"
	IdempotentMethods   Name = "idempotentMethods"
	HonoursKey          Name = "honoursKey"
	RetryPercent        Name = "retryPercent"
	ActiveVersion       Name = "activeVersion"
	MoveTo              Name = "moveTo"
	MoveStart           Name = "moveStart"
	MoveDeadline        Name = "moveDeadline"
	MoveTakenBack       Name = "moveTakenBack"
	BadSharePercent     Name = "badSharePercent"
	LoadsAtOnce         Name = "loadsAtOnce"
	BookingWindowMillis Name = "bookingWindowMillis"
)

// Field describes one setting.
type Field struct {
	Name    Name
	Kind    Kind
	Default Value
	Min     int
	Max     int
	Levels  []Level
	Doc     string
}

var everywhere = []Level{LevelRoot, LevelRegion, LevelDomain, LevelEndpoint}
var byService = []Level{LevelRoot, LevelService, LevelVersion}
var byWorkspace = []Level{LevelRoot, LevelWorkspace}

const anyInt = 1 << 53

var fields = indexFields([]Field{
	{ColdSlots, KindInt, IntValue(2), 1, 10_000, everywhere, "Requests that a freshly started endpoint bears at once."},
	{WarmSlots, KindInt, IntValue(16), 1, 10_000, everywhere, "Requests that a warm endpoint bears at once."},
	{RampStepMillis, KindInt, IntValue(1000), 1, 600_000, everywhere, "Least time in milliseconds between two doublings of a cold endpoint's slots."},
	{ReportLagMillis, KindInt, IntValue(1000), 0, 60_000, everywhere, "Greatest age of an endpoint's load report in milliseconds: so long after a broken connection the endpoint gets no work, unless a new boot shows."},
	{Drained, KindBool, BoolValue(false), 0, 0, everywhere, "Whether the place gets no new work."},
	{Address, KindText, TextValue(""), 0, 0, []Level{LevelEndpoint, LevelStore}, "IP number and port of the endpoint or store VM."},
	{EndpointService, KindText, TextValue(""), 0, 0, []Level{LevelEndpoint}, "Service that the endpoint runs."},
	{EndpointVersion, KindText, TextValue(""), 0, 0, []Level{LevelEndpoint}, "Version that the endpoint has loaded; empty for the service's active version."},
	{ServiceKind, KindText, TextValue("engine"), 0, 0, []Level{LevelService}, "engine for a model engine, plain for a plain service."},
	{QueueMillis, KindInt, IntValue(2000), 0, 600_000, byService, "Longest wait for a slot in milliseconds."},
	{QueueLength, KindInt, IntValue(64), 0, 100_000, byService, "Requests that may wait for a group of endpoints."},
	{RequestMillis, KindInt, IntValue(120_000), 1, 3_600_000, byService, "Longest run of one request in milliseconds."},
	{SilenceMillis, KindInt, IntValue(5000), 1, 600_000, byService, "Longest silence of an answer in milliseconds before its connection is given up."},
	{MaxBodyBytes, KindInt, IntValue(8 << 20), 1, 1 << 30, byService, "Largest request body in bytes."},
	{IdempotentMethods, KindText, TextValue("GET,HEAD"), 0, 0, byService, "Methods, by comma, that a plain service lets be repeated."},
	{HonoursKey, KindBool, BoolValue(false), 0, 0, byService, "Whether the service itself runs an idempotency key at most once."},
	{RetryPercent, KindInt, IntValue(10), 0, 100, byService, "Retries allowed in percent of successes."},
	{BookingWindowMillis, KindInt, IntValue(86_400_000), 1000, 604_800_000, []Level{LevelRoot}, "How long an idempotency key is remembered, in milliseconds."},
	{ActiveVersion, KindText, TextValue(""), 0, 0, []Level{LevelService}, "Version that serves requests outside a move."},
	{MoveTo, KindText, TextValue(""), 0, 0, []Level{LevelService}, "Version that traffic moves to; empty for no move."},
	{MoveStart, KindInt, IntValue(0), 0, anyInt, []Level{LevelService}, "Start of the move in milliseconds since 1970."},
	{MoveDeadline, KindInt, IntValue(0), 0, anyInt, []Level{LevelService}, "Deadline of the move in milliseconds since 1970."},
	{MoveTakenBack, KindBool, BoolValue(false), 0, 0, []Level{LevelService}, "Whether the move was taken back."},
	{LoadsAtOnce, KindInt, IntValue(2), 1, 1000, byService, "Endpoints of a service that may load weights at once."},
	{BadSharePercent, KindInt, IntValue(5), 1, 100, byService, "Share of traffic in percent that an unproved version may get."},
	{Priority, KindInt, IntValue(5), 0, 9, []Level{LevelRoot, LevelService, LevelWorkspace}, "Priority class: 0 goes first, 9 last."},
	{RequestsPerSecond, KindInt, IntValue(0), 0, 1_000_000, byWorkspace, "Requests a second that a workspace may start; 0 for no limit."},
	{ConcurrentRequests, KindInt, IntValue(0), 0, 1_000_000, byWorkspace, "Requests that a workspace may run at once; 0 for no limit."},
	{KeyHash, KindText, TextValue(""), 0, 0, []Level{LevelWorkspace}, "SHA-256 of the workspace's key in hexadecimal."},
	{CacheSecret, KindText, TextValue(""), 0, 0, []Level{LevelWorkspace}, "Secret that keys the workspace's cache blocks, in hexadecimal."},
})

func indexFields(list []Field) map[Name]Field {
	out := make(map[Name]Field, len(list))
	for _, f := range list {
		out[f.Name] = f
	}
	return out
}

// Fields returns the description of every setting, sorted by name.
func Fields() []Field {
	out := make([]Field, 0, len(fields))
	for _, f := range fields {
		out = append(out, f)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// AllowedAt reports whether the setting may stand at the level.
func (f Field) AllowedAt(level Level) bool {
	for _, l := range f.Levels {
		if l == level {
			return true
		}
	}
	return false
}

// check returns an error if the value is out of the field's range.
func (f Field) check(v Value) error {
	if v.Kind() != f.Kind {
		return fmt.Errorf("%s: want %s, got %s", f.Name, f.Kind, v.Kind())
	}
	if f.Kind == KindInt && (v.number < f.Min || v.number > f.Max) {
		return fmt.Errorf("%s: want %d to %d, got %d", f.Name, f.Min, f.Max, v.number)
	}
	if f.Name == ServiceKind && v.text != "engine" && v.text != "plain" {
		return fmt.Errorf("%s: want engine or plain, got %q", f.Name, v.text)
	}
	return nil
}

// Value is one typed setting.
type Value struct {
	kind   valueKind
	flag   bool
	number int
	text   string
}

// valueKind is a kind in one byte: there are many values.
type valueKind uint8

const (
	valueText valueKind = iota
	valueInt
	valueBool
)

// IntValue returns an integer value.
func IntValue(n int) Value { return Value{kind: valueInt, number: n} }

// BoolValue returns a boolean value.
func BoolValue(b bool) Value { return Value{kind: valueBool, flag: b} }

// TextValue returns a text value.
func TextValue(s string) Value { return Value{kind: valueText, text: s} }

// Kind returns the value's type.
func (v Value) Kind() Kind { return [...]Kind{KindText, KindInt, KindBool}[v.kind] }

// Int returns the number of an integer value.
func (v Value) Int() int { return v.number }

// Bool returns the flag of a boolean value.
func (v Value) Bool() bool { return v.flag }

// Text returns the text of a text value.
func (v Value) Text() string { return v.text }

// String returns the value as an operator would type it.
func (v Value) String() string {
	switch v.kind {
	case valueInt:
		return strconv.Itoa(v.number)
	case valueBool:
		return strconv.FormatBool(v.flag)
	default:
		return v.text
	}
}

// ParseValue reads a value for the named setting as an operator types it.
func ParseValue(name Name, text string) (v Value, err error) {
	f, ok := fields[name]
	if !ok {
		return v, fmt.Errorf("%s: no such setting", name)
	}
	switch f.Kind {
	case KindInt:
		n, err := strconv.Atoi(text)
		if err != nil {
			return v, fmt.Errorf("%s: want an integer, got %q", name, text)
		}
		v = IntValue(n)
	case KindBool:
		b, err := strconv.ParseBool(text)
		if err != nil {
			return v, fmt.Errorf("%s: want true or false, got %q", name, text)
		}
		v = BoolValue(b)
	default:
		v = TextValue(text)
	}
	return v, f.check(v)
}

// LevelOf returns the level of the node at path, or an error naming the path.
func LevelOf(path string) (Level, error) {
	parts := strings.Split(path, "/")
	for _, p := range parts {
		if p == "" {
			return "", fmt.Errorf("path %q: empty part", path)
		}
	}
	switch {
	case path == Root:
		return LevelRoot, nil
	case parts[0] == "regions" && len(parts) >= 2 && len(parts) <= 4:
		return []Level{LevelRegion, LevelDomain, LevelEndpoint}[len(parts)-2], nil
	case parts[0] == "workspaces" && len(parts) == 2:
		return LevelWorkspace, nil
	case parts[0] == "stores" && len(parts) == 2:
		return LevelStore, nil
	case parts[0] == "services" && len(parts) >= 2 && len(parts) <= 3:
		return []Level{LevelService, LevelVersion}[len(parts)-2], nil
	}
	return "", fmt.Errorf("path %q: want root, regions/R[/D[/E]], workspaces/W, stores/S or services/S[/V]", path)
}

// parentOf returns the path that path inherits from.
func parentOf(path string) string {
	i := strings.LastIndexByte(path, '/')
	if i < 0 || strings.Count(path, "/") == 1 {
		return Root
	}
	return path[:i]
}
