package cfvlog

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const log = `  1.2 front-1 {"level":"info","node":"front-1","endpoint":"i-1","time":"2026-01-02T03:04:04Z","message":"belief: an endpoint is gone"}
{"level":"info","node":"front-1","requestId":"r1","endpoint":"i-1","time":"2026-01-02T03:04:05Z","message":"entry: an endpoint did not answer"}
not a line of a log
{"broken":
{"level":"info","node":"front-1","requestId":"r2","time":"2026-01-02T03:04:05Z","message":"entry: a request was answered"}
{"level":"info","node":"front-1","requestId":"r1","reason":"endpointFailed","status":502,"time":"2026-01-02T03:04:06Z","message":"entry: a request was refused"}
{"level":"info","node":"front-2","endpoint":"i-1","time":"2026-01-02T03:04:06Z","message":"belief: an endpoint is gone"}
`

func TestRequestLines(t *testing.T) {
	lines, unparsed, err := Read(strings.NewReader(log))
	assert.NilError(t, err)
	assert.Equal(t, len(lines), 5)
	assert.Equal(t, unparsed, 1)
	selected := RequestLines(lines, "r1", 5*time.Second)
	var got []string
	for _, l := range selected {
		got = append(got, l.Component+"|"+l.Message)
	}
	assert.DeepEqual(t, got, []string{"belief|an endpoint is gone", "entry|an endpoint did not answer", "entry|a request was refused"})
	cause, ok := Cause(selected, "r1")
	assert.Assert(t, ok)
	assert.Equal(t, cause.Values["reason"], "endpointFailed")
	assert.Equal(t, len(RequestLines(lines, "r3", time.Second)), 0)
}

// A reader of the output that stops reading must not block the process.
func TestBufferNeverBlocks(t *testing.T) {
	r, w := io.Pipe()
	defer r.Close()
	b := Buffer(w)
	l := New(b, "front-1")
	done := make(chan struct{})
	go func() {
		for range 3 * bufferedLines {
			l.Infow("a request was answered")
		}
		close(done)
	}()
	<-done
	var got bytes.Buffer
	go func() { _, _ = io.Copy(&got, r) }() // ends when the pipe is closed
}
