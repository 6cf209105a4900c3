package cfvopenai

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
)

// MaxEventBytes is the maximum size of one event, and of one line, of an event stream.
const MaxEventBytes = 1 << 20

// EventReader reads the data of server-sent events.
type EventReader struct {
	scanner *bufio.Scanner
	onEvent func() // called after each complete event, also one without data
}

// NewEventReader returns a reader of the events in r.
func NewEventReader(r io.Reader) *EventReader {
	return NewWatchedEventReader(r, func() {})
}

// NewWatchedEventReader returns a reader of the events in r. It calls onEvent after each complete
// event, also after one that consists of comments, by which servers keep streams open.
func NewWatchedEventReader(r io.Reader, onEvent func()) *EventReader {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 4096), MaxEventBytes)
	return &EventReader{s, onEvent}
}

// Next returns the data of the next event, or io.EOF at the end of the input. The data lines of
// one event are joined by line breaks. Comments and other fields are skipped.
func (e *EventReader) Next() (data []byte, err error) {
	seen, empty := false, true
	for e.scanner.Scan() {
		line := bytes.TrimSuffix(e.scanner.Bytes(), []byte("\r"))
		if len(line) == 0 {
			if !empty {
				e.onEvent()
			}
			if seen {
				return data, nil
			}
			empty = true
			continue
		}
		empty = false
		value, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		if seen {
			data = append(data, '\n')
		}
		if len(data)+len(value) > MaxEventBytes {
			return nil, fmt.Errorf("read event: more than %d bytes", MaxEventBytes)
		}
		data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
		seen = true
	}
	if err := e.scanner.Err(); err != nil {
		return nil, fmt.Errorf("read event: %w", err)
	}
	return nil, io.EOF
}
