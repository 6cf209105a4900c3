package cfvleader

import (
	"testing"

	"coltsfootvalve/core/cfvmirror"

	"gotest.tools/v3/assert"
)

func TestNameOfTheLeader(t *testing.T) {
	for value, want := range map[string]string{`"entry-1"`: "entry-1", `""`: "", `7`: "", `{`: "", "": ""} {
		name, ok := Name(cfvmirror.Record{Value: []byte(value)})
		assert.Equal(t, name, want)
		assert.Equal(t, ok, want != "")
	}
}
