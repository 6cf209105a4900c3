package cfvpeer

import (
	"testing"
	"time"

	"coltsfootvalve/core/cfvbooking"
	"coltsfootvalve/core/cfvmember"
	"coltsfootvalve/core/cfvmove"
	"coltsfootvalve/core/cfvslot"
	"coltsfootvalve/io/cfvwire"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

func TestMessagesRoundTrip(t *testing.T) {
	r := cfvslot.Request{
		Slot: "s", Group: "g", Entry: "n", EntryStarted: 3, Workspace: "w", Priority: 2, PromptKey: "p", Version: "v",
		Exclude: []string{"a"}, MaxQueueTime: time.Second, MaxQueueLength: 4, MaxDuration: time.Minute,
	}
	assert.DeepEqual(t, requestFromWire(requestToWire(r)), r)
	d := cfvslot.Decision{Slot: "s", Grant: &cfvslot.Grant{
		Slot: "s", Endpoint: "e", Address: "1.2.3.4:5", Version: "v", QueueTime: time.Second, Epoch: "n/1/2",
		Level: cfvslot.RampLevel{Endpoint: "e", BootID: "b", Slots: 4},
	}}
	assert.DeepEqual(t, decisionFromWire("s", decisionToWire(d)), d)
	rel := cfvslot.Release{Slot: "s", Endpoint: "e", Outcome: cfvslot.OutcomeFailed, BootID: "b", Leaving: true, Linger: time.Second}
	assert.DeepEqual(t, releaseFromWire(releaseToWire(rel)), rel)
	m := cfvmember.Member{Name: "n", Address: "a", Region: "r", Domain: "d", StartMillis: 1, Incarnation: 2, Status: cfvmember.StatusLeft}
	assert.DeepEqual(t, memberFromWire(memberToWire(m)), m)
	v := cfvmove.Verdict{Move: cfvmove.ID{Service: "s", To: "v", StartMillis: 7}, Cause: "c"}
	assert.DeepEqual(t, verdictFromWire(verdictToWire(v)), v)
	resp := cfvbooking.Response{Status: 201, ContentType: "t", Body: []byte("b"), Kept: true}
	assert.DeepEqual(t, responseFromWire(responseToWire(resp)), resp)
}

func FuzzPeerMessages(f *testing.F) {
	good, err := proto.Marshal(probeToWire(Probe{From: cfvmember.Member{Name: "n"}, Target: &cfvmember.Member{Name: "m"}}))
	assert.NilError(f, err)
	f.Add(good)
	f.Add([]byte{0xff, 0x00})
	f.Fuzz(func(t *testing.T, data []byte) {
		var probe cfvwire.ProbeRequest
		if proto.Unmarshal(data, &probe) == nil {
			p := probeFromWire(&probe)
			_ = p.From.Status.String()
			for _, m := range p.Gossip.Updates {
				_ = m.Status.String()
			}
		}
		var inv cfvwire.RecogniseResponse
		if proto.Unmarshal(data, &inv) == nil {
			inventoryFromWire("g", time.Unix(0, 0), &inv)
		}
		var reserve cfvwire.ReserveRequest
		if proto.Unmarshal(data, &reserve) == nil {
			requestFromWire(&reserve)
		}
	})
}
