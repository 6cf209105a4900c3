package cfvleader

import (
	"encoding/json"

	"coltsfootvalve/core/cfvmirror"
)

// Name returns the name of the leader in the record that Store.Acquire writes, and false if it can't be read.
func Name(r cfvmirror.Record) (name string, ok bool) {
	err := json.Unmarshal(r.Value, &name)
	return name, err == nil && name != ""
}
