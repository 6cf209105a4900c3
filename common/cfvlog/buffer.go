package cfvlog

import (
	"fmt"
	"io"

	"github.com/rs/zerolog/diode"
)

// bufferedLines is how many lines wait for a slow reader of the output before the oldest
// are dropped.
const bufferedLines = 4096

// Buffer returns a writer that never blocks. Lines that w takes too slowly are dropped and
// counted; the count is written in a line of its own.
func Buffer(w io.Writer) io.WriteCloser {
	return diode.NewWriter(w, bufferedLines, 0, func(missed int) {
		_, _ = fmt.Fprintf(w, "{\"level\":\"warn\",\"message\":\"log: lines were dropped\",\"lines\":%d}\n", missed)
	})
}
