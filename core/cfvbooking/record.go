// Package cfvbooking implements a journal of idempotency keys. A request with such a key runs
// at most once, because its claim is written by compare-and-swap before the request is sent.
package cfvbooking

import (
	"encoding/json"
	"fmt"
	"time"
)

// State is the state of a claimed request.
type State int

// The states of a record.
const (
	StatePending State = iota // claimed; the request may have run
	StateDone                 // the request ran and its response is known
	StateNotRun               // the request was never sent; the key may be claimed again
)

// MaxResponseBytes is the largest response body that is kept.
const MaxResponseBytes = 16 << 10

// Response is a service's response to a request.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	Kept        bool // false if the body was too large to keep
}

// Record is the journal's record of one claimed key.
type Record struct {
	Key         string
	Fingerprint string // of method, path and body, to distinguish a resent request from a different one
	Attempt     string // ID of the only dispatch that the claim allows
	Entry       string
	StartMillis uint64 // when the entry's process started
	State       State
	Response    Response
	At          time.Time
}

// Segment refers to a part of the journal that is no longer written.
type Segment struct {
	Name    string
	Expires time.Time
}

// Tail is the part of a journal that is written by compare-and-swap.
type Tail struct {
	Segments []Segment
	Records  []Record
}

type recordJSON struct {
	Key         string `json:"key"`
	Fingerprint string `json:"fingerprint"`
	Attempt     string `json:"attempt"`
	Entry       string `json:"entry"`
	Started     uint64 `json:"started"`
	State       int    `json:"state"`
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Kept        bool   `json:"kept,omitempty"`
	AtMillis    int64  `json:"atMillis"`
}

type segmentJSON struct {
	Name          string `json:"name"`
	ExpiresMillis int64  `json:"expiresMillis"`
}

type tailJSON struct {
	Segments []segmentJSON `json:"segments"`
	Records  []recordJSON  `json:"records"`
}

// EncodeTail encodes the tail as JSON.
func EncodeTail(t Tail) []byte {
	j := tailJSON{Segments: make([]segmentJSON, 0, len(t.Segments)), Records: toRecordsJSON(t.Records)}
	for _, s := range t.Segments {
		j.Segments = append(j.Segments, segmentJSON{s.Name, s.Expires.UnixMilli()})
	}
	return mustMarshal(j)
}

// DecodeTail decodes a tail. Empty data is an empty tail.
func DecodeTail(data []byte) (t Tail, err error) {
	if len(data) == 0 {
		return t, nil
	}
	var j tailJSON
	if err = json.Unmarshal(data, &j); err != nil {
		return t, fmt.Errorf("booking journal: %w", err)
	}
	for _, s := range j.Segments {
		t.Segments = append(t.Segments, Segment{s.Name, time.UnixMilli(s.ExpiresMillis)})
	}
	t.Records = fromRecordsJSON(j.Records)
	return t, nil
}

// EncodeSegment encodes the records of a segment as JSON.
func EncodeSegment(records []Record) []byte {
	return mustMarshal(toRecordsJSON(records))
}

// DecodeSegment decodes the records of a segment.
func DecodeSegment(data []byte) (records []Record, err error) {
	var j []recordJSON
	if err = json.Unmarshal(data, &j); err != nil {
		return nil, fmt.Errorf("booking segment: %w", err)
	}
	return fromRecordsJSON(j), nil
}

func mustMarshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // cannot happen: strings, numbers and bytes always encode
	}
	return data
}

func toRecordsJSON(records []Record) []recordJSON {
	out := make([]recordJSON, 0, len(records))
	for _, r := range records {
		out = append(out, recordJSON{
			Key: r.Key, Fingerprint: r.Fingerprint, Attempt: r.Attempt,
			Entry: r.Entry, Started: r.StartMillis, State: int(r.State),
			Status: r.Response.Status, ContentType: r.Response.ContentType,
			Body: r.Response.Body, Kept: r.Response.Kept, AtMillis: r.At.UnixMilli(),
		})
	}
	return out
}

func fromRecordsJSON(list []recordJSON) []Record {
	out := make([]Record, 0, len(list))
	for _, j := range list {
		out = append(out, Record{
			Key: j.Key, Fingerprint: j.Fingerprint, Attempt: j.Attempt,
			Entry: j.Entry, StartMillis: j.Started, State: State(j.State),
			Response: Response{j.Status, j.ContentType, j.Body, j.Kept},
			At:       time.UnixMilli(j.AtMillis),
		})
	}
	return out
}
