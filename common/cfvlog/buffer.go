package cfvlog

import (
	"fmt"
	"io"

	"github.com/rs/zerolog/diode"
)

// bufferedLines is the number of lines that are buffered for a slow reader of the output.
// Beyond it, the oldest lines are dropped.
const bufferedLines = 4096

// Buffer returns a writer that never blocks. If w is too slow, lines are dropped, and a
// line with their number is written to w.
func Buffer(w io.Writer) io.WriteCloser {
	return diode.NewWriter(w, bufferedLines, 0, func(missed int) {
		_, _ = fmt.Fprintf(w, "{\"level\":\"warn\",\"message\":\"log: lines were dropped\",\"lines\":%d}\n", missed)
	})
}
