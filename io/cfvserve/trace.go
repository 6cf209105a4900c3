package cfvserve

import (
	"fmt"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// tracesKept is the number of requests that a node can explain.
const tracesKept = 2048

// Trace says what happened to one request. It holds no key, prompt or answer.
type Trace struct {
	requestID string
	workspace string
	started   time.Time

	mu    sync.Mutex
	notes []Note
}

// Note is one step of a request.
type Note struct {
	After time.Duration // since the request came in
	Text  string
}

// Note adds a step.
func (t *Trace) Note(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notes = append(t.notes, Note{time.Since(t.started), fmt.Sprintf(format, args...)})
}

// Notes returns the steps so far.
func (t *Trace) Notes() []Note {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Note(nil), t.notes...)
}

// Workspace returns the workspace whose request it was.
func (t *Trace) Workspace() string { return t.workspace }

// Traces keeps the traces of the latest requests.
type Traces struct {
	byID *lru.Cache[string, *Trace]
}

// NewTraces returns an empty store.
func NewTraces() *Traces {
	byID, err := lru.New[string, *Trace](tracesKept)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &Traces{byID}
}

// Start begins a trace.
func (t *Traces) Start(requestID, workspace string) *Trace {
	trace := &Trace{requestID: requestID, workspace: workspace, started: time.Now()}
	t.byID.Add(requestID, trace)
	return trace
}

// Get returns the trace of a request.
func (t *Traces) Get(requestID string) (*Trace, bool) {
	return t.byID.Get(requestID)
}
