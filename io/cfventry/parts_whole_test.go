package cfventry

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Failure: short sound streams without length or chunks that arrived at once and ended with their connection counted as
// crashes of their endpoints, and requests with the popular parts were refused (LOST).
func TestWholeStreamsThatEndWithTheirConnectionAreNoCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newPartFleet("")
		fleet.answer = streamHead + "Connection: close\r\n\r\nid:1\n\nid:2\n\n"
		fleet.hangUp = true
		e := newPartEntry(fleet)
		var mu sync.Mutex
		codes := make(map[int]int)
		for i := range 40 {
			askWithParts(e, fmt.Sprint("o", i), chunkedPart)
			var wg sync.WaitGroup
			for j := range min(i+1, 12) {
				wg.Go(func() {
					r := askWithParts(e, fmt.Sprintf("s%d.%d", i, j), "first", fmt.Sprint("subject", i))
					mu.Lock()
					defer mu.Unlock()
					codes[r.Code]++
				})
			}
			wg.Wait()
			time.Sleep(100 * time.Millisecond)
		}
		fleet.close()
		e.connPools.retain(nil)
		time.Sleep(time.Minute) // lets the endpoints end
		assert.DeepEqual(t, codes, map[int]int{http.StatusOK: 414})
	})
}
