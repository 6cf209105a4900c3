package cfvopenai

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an entry that ends for its memory: an event of data lines without end was kept whole.
func TestEventWithoutEndIsAnError(t *testing.T) {
	const line, most = "data: 0123456789\n", 3 * MaxEventBytes // with the names of the fields
	lines := strings.NewReader(strings.Repeat(line, 16*MaxEventBytes/len(line)))
	_, err := NewEventReader(lines).Next()
	read := lines.Size() - int64(lines.Len())
	assert.Assert(t, read <= most, "%d bytes were read", read)
	assert.ErrorContains(t, err, "more than")
	data, err := NewEventReader(strings.NewReader("data: a\ndata: b\n\n")).Next()
	assert.NilError(t, err)
	assert.Equal(t, string(data), "a\nb")
}
