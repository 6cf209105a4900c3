// Package cfvtree implements the settings tree. Settings are typed values that a node of the
// tree inherits from its parent unless it overrides them. Every change is validated against
// the whole tree before it is accepted.
package cfvtree

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
)

// Level is the kind of a node in the tree, such as region or service.
type Level string

// The levels of the tree and the form of their paths.
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

// Root is the path of the root node, from which all other nodes inherit.
const Root = "root"

// Kind is the type of a setting's value.
type Kind string

// The types of values.
const (
	KindInt  Kind = "integer"
	KindBool Kind = "boolean"
	KindText Kind = "text"
)

// Name is the name of a setting.
type Name string

// The names of the settings. Field.Doc describes each of them.
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

// Field describes one setting: its type, default value, range and the levels at which it may
// be set.
type Field struct {
	Name    Name
	Kind    Kind
	Default Value
	Min     int
	Max     int
	Levels  []Level
	Doc     string
}

// The levels of settings that apply to endpoints, to services and to workspaces.
var endpointLevels = []Level{LevelRoot, LevelRegion, LevelDomain, LevelEndpoint}
var serviceLevels = []Level{LevelRoot, LevelService, LevelVersion}
var workspaceLevels = []Level{LevelRoot, LevelWorkspace}

// maxExactInt is the largest integer up to which a float64, and so a JSON number, is exact.
const maxExactInt = 1 << 53

var fieldsByName = indexFields([]Field{
	{ColdSlots, KindInt, IntValue(2), 1, 10_000, endpointLevels, "Maximum concurrent requests at a freshly started endpoint."},
	{WarmSlots, KindInt, IntValue(16), 1, 10_000, endpointLevels, "Maximum concurrent requests at a warm endpoint."},
	{RampStepMillis, KindInt, IntValue(1000), 1, 600_000, endpointLevels, "Minimum time in milliseconds between two doublings of the slots of a cold endpoint."},
	{ReportLagMillis, KindInt, IntValue(1000), 0, 60_000, endpointLevels, "Maximum age of an endpoint's load report in milliseconds. After a broken connection, the endpoint gets no requests for this long unless a restart is detected earlier."},
	{Drained, KindBool, BoolValue(false), 0, 0, endpointLevels, "Whether the region, failure domain or endpoint is drained and gets no new requests."},
	{Address, KindText, TextValue(""), 0, 0, []Level{LevelEndpoint, LevelStore}, "IP address and port of the endpoint or store VM."},
	{EndpointService, KindText, TextValue(""), 0, 0, []Level{LevelEndpoint}, "Service that the endpoint runs."},
	{EndpointVersion, KindText, TextValue(""), 0, 0, []Level{LevelEndpoint}, "Version that the endpoint has loaded; if empty, the active version of the service."},
	{ServiceKind, KindText, TextValue("engine"), 0, 0, []Level{LevelService}, "Kind of service: engine for a model engine, plain for a plain service."},
	{QueueMillis, KindInt, IntValue(2000), 0, 600_000, serviceLevels, "Maximum time in milliseconds that a request waits for a slot."},
	{QueueLength, KindInt, IntValue(64), 0, 100_000, serviceLevels, "Maximum number of requests that wait for a group of endpoints."},
	{RequestMillis, KindInt, IntValue(120_000), 1, 3_600_000, serviceLevels, "Maximum duration of a request in milliseconds."},
	{SilenceMillis, KindInt, IntValue(5000), 1, 600_000, serviceLevels, "Idle timeout of a response in milliseconds: if no data of a body, or no complete event of a stream, arrives for this long, the connection is closed."},
	{MaxBodyBytes, KindInt, IntValue(8 << 20), 1, 1 << 30, serviceLevels, "Maximum size of a request body in bytes."},
	{IdempotentMethods, KindText, TextValue("GET,HEAD"), 0, 0, serviceLevels, "Comma-separated HTTP methods whose requests to a plain service may be retried."},
	{HonoursKey, KindBool, BoolValue(false), 0, 0, serviceLevels, "Whether the service itself ensures that requests with the same idempotency key run at most once."},
	{RetryPercent, KindInt, IntValue(10), 0, 100, serviceLevels, "Retry budget in percent of successful requests."},
	{BookingWindowMillis, KindInt, IntValue(86_400_000), 1000, 604_800_000, []Level{LevelRoot}, "Time in milliseconds for which idempotency keys are remembered."},
	{ActiveVersion, KindText, TextValue(""), 0, 0, []Level{LevelService}, "Version that serves requests outside a move."},
	{MoveTo, KindText, TextValue(""), 0, 0, []Level{LevelService}, "Version to which traffic moves; empty if there is no move."},
	{MoveStart, KindInt, IntValue(0), 0, maxExactInt, []Level{LevelService}, "Start of the move in milliseconds since the Unix epoch."},
	{MoveDeadline, KindInt, IntValue(0), 0, maxExactInt, []Level{LevelService}, "Deadline of the move in milliseconds since the Unix epoch."},
	{MoveTakenBack, KindBool, BoolValue(false), 0, 0, []Level{LevelService}, "Whether the move was rolled back."},
	{LoadsAtOnce, KindInt, IntValue(2), 1, 1000, serviceLevels, "Maximum number of endpoints of a service that load weights at the same time."},
	{BadSharePercent, KindInt, IntValue(5), 1, 100, serviceLevels, "Maximum share of traffic, in percent, of a version that is not yet verified."},
	{Priority, KindInt, IntValue(5), 0, 9, []Level{LevelRoot, LevelService, LevelWorkspace}, "Priority class from 0, the highest, to 9, the lowest."},
	{RequestsPerSecond, KindInt, IntValue(0), 0, 1_000_000, workspaceLevels, "Maximum requests per second of a workspace; 0 for no limit."},
	{ConcurrentRequests, KindInt, IntValue(0), 0, 1_000_000, workspaceLevels, "Maximum concurrent requests of a workspace; 0 for no limit."},
	{KeyHash, KindText, TextValue(""), 0, 0, []Level{LevelWorkspace}, "SHA-256 hash of the workspace's API key, in hexadecimal."},
	{CacheSecret, KindText, TextValue(""), 0, 0, []Level{LevelWorkspace}, "Secret from which the cache keys of the workspace are derived, in hexadecimal."},
})

func indexFields(list []Field) map[Name]Field {
	out := make(map[Name]Field, len(list))
	for _, f := range list {
		out[f.Name] = f
	}
	return out
}

// Fields returns the descriptions of all settings, sorted by name.
func Fields() []Field {
	out := make([]Field, 0, len(fieldsByName))
	for _, f := range fieldsByName {
		out = append(out, f)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// AllowedAt reports whether the setting may be set at the level.
func (f Field) AllowedAt(level Level) bool {
	for _, l := range f.Levels {
		if l == level {
			return true
		}
	}
	return false
}

// check returns an error if the value has the wrong type or is out of range.
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

// Value is the typed value of a setting.
type Value struct {
	kind   valueKind
	flag   bool
	number int
	text   string
}

// valueKind encodes a Kind in one byte to keep values small, since trees hold many of them.
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

// Kind returns the type of the value.
func (v Value) Kind() Kind { return [...]Kind{KindText, KindInt, KindBool}[v.kind] }

// Int returns an integer value, or 0 for other kinds.
func (v Value) Int() int { return v.number }

// Bool returns a boolean value, or false for other kinds.
func (v Value) Bool() bool { return v.flag }

// Text returns a text value, or the empty string for other kinds.
func (v Value) Text() string { return v.text }

// String returns the value in the form that ParseValue reads.
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

// ParseValue parses and checks a value of the named setting, as typed on the command line.
func ParseValue(name Name, text string) (v Value, err error) {
	f, ok := fieldsByName[name]
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

// LevelOf returns the level of the node at path, or an error if the path is malformed.
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

// parentOf returns the path of the node from which the node at path inherits.
func parentOf(path string) string {
	i := strings.LastIndexByte(path, '/')
	if i < 0 || strings.Count(path, "/") == 1 {
		return Root
	}
	return path[:i]
}
