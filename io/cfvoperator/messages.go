// Package cfvoperator is the operators' side of a node: status, settings, explanations
// and metrics as JSON over HTTP, and the client that the command line uses.
package cfvoperator

// ChangesJSON asks for a change of the settings.
type ChangesJSON struct {
	Author   string       `json:"author"`
	Expected uint64       `json:"expected,omitempty"`
	Changes  []ChangeJSON `json:"changes"`
}

// ChangeJSON sets or unsets one setting. Without a name it adds or removes the node.
type ChangeJSON struct {
	Path   string `json:"path"`
	Name   string `json:"name,omitempty"`
	Value  string `json:"value,omitempty"`
	Remove bool   `json:"remove,omitempty"`
}

// AcceptedJSON answers an accepted change.
type AcceptedJSON struct {
	Revision uint64 `json:"revision"`
}

// ErrorJSON answers a request that is refused.
type ErrorJSON struct {
	Error  string `json:"error"`
	Reason string `json:"reason"`
}

// ValueJSON is one setting in force with the path that gave it.
type ValueJSON struct {
	Path   string `json:"path"`
	Name   string `json:"name"`
	Value  string `json:"value"`
	Origin string `json:"origin"`
}

// HistoryJSON is one accepted change.
type HistoryJSON struct {
	Revision uint64   `json:"revision"`
	Author   string   `json:"author"`
	Time     string   `json:"time"`
	Changes  []string `json:"changes"`
}

// MemberJSON is one entry VM.
type MemberJSON struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
	Status        string `json:"status"`
	Incarnation   uint64 `json:"incarnation"`
}

// EndpointJSON is one endpoint as its owner sees it.
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

// StatusJSON is a node's state.
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

// MoveJSON is one version move.
type MoveJSON struct {
	Service  string `json:"service"`
	From     string `json:"from"`
	To       string `json:"to"`
	State    string `json:"state"`
	Share    int    `json:"share"`
	Deadline string `json:"deadline"`
	Cause    string `json:"cause,omitempty"`
}

// NoteJSON is one step of a request.
type NoteJSON struct {
	AfterMicros int64  `json:"afterMicros"`
	Text        string `json:"text"`
}

// ExplanationJSON says what happened to a request.
type ExplanationJSON struct {
	RequestID string     `json:"requestId"`
	Workspace string     `json:"workspace"`
	Notes     []NoteJSON `json:"notes"`
}
