package cfvrollout

import (
	"os"
	"testing"

	"coltsfootvalve/common/cfvseed"
	"coltsfootvalve/core/cfvrollout"
	"coltsfootvalve/io/cfvwire/cfvwireentry"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	cfvseed.SetRapidFlags()
	os.Exit(m.Run())
}

func TestReportsKeepAllFieldsOnTheWire(t *testing.T) {
	evidence := rapid.Custom(func(t *rapid.T) cfvrollout.Evidence {
		return cfvrollout.Evidence{
			Service: rapid.StringMatching("[a-z-]{1,9}").Draw(t, "service"), Order: rapid.Int64().Draw(t, "order"),
			Version: rapid.StringMatching("[a-z0-9.]{1,9}").Draw(t, "version"), Route: rapid.StringMatching("[a-z-]{0,9}").Draw(t, "route"),
			Requests: rapid.Uint64().Draw(t, "requests"), Failures: rapid.Uint64().Draw(t, "failures"), Slow: rapid.Uint64().Draw(t, "slow"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		want := cfvrollout.Report{
			Entry: rapid.StringMatching("[a-z0-9]{1,9}").Draw(t, "entry"), StartMillis: rapid.Int64().Draw(t, "start"),
			Evidence: rapid.SliceOfN(evidence, 1, 5).Draw(t, "evidence"),
		}
		data, err := proto.Marshal(encodeReport(want))
		assert.NilError(t, err)
		var m cfvwireentry.ReportRequest
		assert.NilError(t, proto.Unmarshal(data, &m))
		assert.DeepEqual(t, decodeReport(&m), want)
	})
}
