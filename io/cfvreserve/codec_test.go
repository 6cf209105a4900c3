package cfvreserve

import (
	"testing"
	"time"

	"coltsfootvalve/core/cfvcall"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestRequestsKeepAllFieldsOnTheWire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringMatching(`[a-z]{0,8}`)
		size := rapid.IntRange(0, 1<<20)
		millis := rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(0, 1<<20).Draw(t, "millis")) * time.Millisecond
		})
		part := rapid.Custom(func(t *rapid.T) cfvcall.Part {
			return cfvcall.Part{ID: text.Draw(t, "id"), Tokens: size.Draw(t, "tokens")}
		})
		req := Request{
			RequestID: text.Draw(t, "request"), Service: text.Draw(t, "service"), Model: text.Draw(t, "model"), Affinity: text.Draw(t, "affinity"),
			Tokens: size.Draw(t, "tokens"), SharedTokens: size.Draw(t, "shared"), Group: size.Draw(t, "group"), GroupCount: size.Draw(t, "groups"),
			Exclude: rapid.SliceOfN(text, 1, 4).Draw(t, "exclude"), Domain: text.Draw(t, "domain"), Entry: text.Draw(t, "entry"),
			Parts: rapid.SliceOfN(part, 1, 4).Draw(t, "parts"), Objective: millis.Draw(t, "objective"), Elapsed: millis.Draw(t, "elapsed"),
			Patience: millis.Draw(t, "patience"), Isolated: text.Draw(t, "isolated"), Candidate: rapid.Bool().Draw(t, "candidate"),
		}
		assert.DeepEqual(t, requestFromWire(requestToWire(req)), req)
	})
}
