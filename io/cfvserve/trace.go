package cfvserve

import (
	"fmt"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// maxTraces is the number of requests whose traces a node keeps.
const maxTraces = 2048

// Trace records the steps of one request. It contains no API key, prompt or response. It is
// safe for concurrent use.
type Trace struct {
	requestID string
	workspace string
	started   time.Time

	mu    sync.Mutex
	notes []Note
}

// Note describes one step of a request.
type Note struct {
	After time.Duration // since the request was received
	Text  string
}

// Note records a step.
func (t *Trace) Note(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notes = append(t.notes, Note{time.Since(t.started), fmt.Sprintf(format, args...)})
}

// Notes returns the steps recorded so far.
func (t *Trace) Notes() []Note {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Note(nil), t.notes...)
}

// Workspace returns the workspace that sent the request.
func (t *Trace) Workspace() string { return t.workspace }

// Traces keeps the traces of the latest requests. It is safe for concurrent use.
type Traces struct {
	byID *lru.Cache[string, *Trace]
}

// NewTraces returns an empty collection.
func NewTraces() *Traces {
	byID, err := lru.New[string, *Trace](maxTraces)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &Traces{byID}
}

// Start starts the trace of a request.
func (t *Traces) Start(requestID, workspace string) *Trace {
	trace := &Trace{requestID: requestID, workspace: workspace, started: time.Now()}
	t.byID.Add(requestID, trace)
	return trace
}

// Get returns the trace of a request.
func (t *Traces) Get(requestID string) (*Trace, bool) {
	return t.byID.Get(requestID)
}
