// Package cfvoperator implements the operator API of a node: status, settings, request traces
// and metrics over HTTP, and the client that the command line uses.
package cfvoperator

// ChangesJSON is a request to change settings.
type ChangesJSON struct {
	Author   string       `json:"author"`
	Expected uint64       `json:"expected,omitempty"`
	Changes  []ChangeJSON `json:"changes"`
}

// ChangeJSON sets or unsets one setting. Without a name it adds or removes the node of the tree
// at Path.
type ChangeJSON struct {
	Path   string `json:"path"`
	Name   string `json:"name,omitempty"`
	Value  string `json:"value,omitempty"`
	Remove bool   `json:"remove,omitempty"`
}

// AcceptedJSON is the response to an accepted change.
type AcceptedJSON struct {
	Revision uint64 `json:"revision"`
}

// ErrorJSON is the response to a request that fails.
type ErrorJSON struct {
	Error  string `json:"error"`
	Reason string `json:"reason"`
}

// ValueJSON is the effective value of one setting and the path that sets it.
type ValueJSON struct {
	Path   string `json:"path"`
	Name   string `json:"name"`
	Value  string `json:"value"`
	Origin string `json:"origin"`
}

// HistoryJSON is one accepted revision of the settings.
type HistoryJSON struct {
	Revision uint64   `json:"revision"`
	Author   string   `json:"author"`
	Time     string   `json:"time"`
	Changes  []string `json:"changes"`
}

// MemberJSON is the membership status of one entry VM.
type MemberJSON struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
	Status        string `json:"status"`
	Incarnation   uint64 `json:"incarnation"`
}

// EndpointJSON is the state of one endpoint as known to its owner.
type EndpointJSON struct {
	Name    string `json:"name"`
	Group   string `json:"group"`
	Address string `json:"address"`
	Version string `json:"version"`
	BootID  string `json:"bootId"`
	Held    int    `json:"held"`
	Bound   int    `json:"bound"`
	Cold    bool   `json:"cold"`
	Settled bool   `json:"settled"`
	Shut    bool   `json:"shut"`
	Waiting int    `json:"waiting"`
}

// StatusJSON is the status of a node.
type StatusJSON struct {
	Node      string         `json:"node"`
	Revision  uint64         `json:"revision"`
	Running   int64          `json:"running"`
	InUse     int            `json:"inUse"`
	Stopping  bool           `json:"stopping"`
	Members   []MemberJSON   `json:"members"`
	Endpoints []EndpointJSON `json:"endpoints"`
	Moves     []MoveJSON     `json:"moves"`
}

// MoveJSON is the state of one version move.
type MoveJSON struct {
	Service  string `json:"service"`
	From     string `json:"from"`
	To       string `json:"to"`
	State    string `json:"state"`
	Share    int    `json:"share"`
	Deadline string `json:"deadline"`
	Cause    string `json:"cause,omitempty"`
}

// NoteJSON is one step in the trace of a request.
type NoteJSON struct {
	AfterMicros int64  `json:"afterMicros"`
	Text        string `json:"text"`
}

// ExplanationJSON is the trace of a request.
type ExplanationJSON struct {
	RequestID string     `json:"requestId"`
	Workspace string     `json:"workspace"`
	Notes     []NoteJSON `json:"notes"`
}
