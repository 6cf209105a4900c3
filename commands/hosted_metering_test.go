package commands

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"coltsfootvalve/platform"
	"coltsfootvalve/standins/cfvfakeplatform"
	"coltsfootvalve/standins/cfvfakereplica"

	"gotest.tools/v3/assert"
)

// accepted returns the sums of the counts that the platform has accepted, by workspace, for windows from a time on.
func accepted(d *cfvfakeplatform.Duties, from time.Time) map[string]uint64 {
	sums := make(map[string]uint64)
	for window := from.Unix() - 5; window <= time.Now().Unix(); window++ {
		counts, _, _ := d.Accepted(window)
		for workspace, n := range counts {
			sums[workspace] += n
		}
	}
	return sums
}

// Guards against requests that the platform is not told of, and against a leader that stops telling it when it is
// replaced.
func TestUsageIsReported(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0, cfvfakereplica.Config{}, cfvfakereplica.Config{StreamEvents: 3, Model: "m"})
	duties := cfvfakeplatform.NewDuties(500 * time.Millisecond)
	f.dutyAddr = f.serve(duties.Handler())
	start := time.Now()
	for i := range 2 {
		f.startEntry(i, f.keyValueStoreAddr)
		f.eventually("the entry is ready", func() bool { return f.ready(i) })
	}
	f.eventually("there is a leader", func() bool { return f.entries[0].isLeader() || f.entries[1].isLeader() })
	want := make(map[string]uint64)
	send := func() {
		for i := range 20 {
			assert.Equal(t, f.send(i%2, http.MethodGet, "/look/up", shopKey, "").status, http.StatusOK)
			assert.Equal(t, f.send(i%2, http.MethodGet, "/open/up", "", "").status, http.StatusOK) // of no workspace
			assert.Equal(t, f.sendPrompt(i%2, "/ask/", otherKey).status, http.StatusOK)
			want["of-"+shopKey]++
			want["of-"+otherKey]++
		}
	}
	allAccepted := func() bool {
		got := accepted(duties, start)
		return got["of-"+shopKey] == want["of-"+shopKey] && got["of-"+otherKey] == want["of-"+otherKey]
	}
	send()
	f.eventually("the requests are reported", allAccepted)
	leader := 0
	if f.entries[1].isLeader() {
		leader = 1
	}
	f.entries[leader].stopLeader()
	f.eventually("the other entry is the leader", func() bool { return f.entries[1-leader].isLeader() })
	send()
	f.eventually("the requests are reported by the other entry", allAccepted)
	assert.DeepEqual(t, accepted(duties, start), want) // nothing else
	assert.DeepEqual(t, duties.Violations(), []string{})
	assert.Assert(t, strings.Contains(f.logs.String(), "reported the usage of a window"))
}

// Guards against a deployment without metering that counts or records usage.
func TestNoUsageIsReportedWithoutMetering(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, cfvfakereplica.Config{}, cfvfakereplica.Config{StreamEvents: 3, Model: "m"})
	assert.Assert(t, f.entries[0].metering == nil)
	assert.Equal(t, f.send(0, http.MethodGet, "/look/up", shopKey, "").status, http.StatusOK)
	f.eventually("there is a leader", f.entries[0].isLeader)
	time.Sleep(500 * time.Millisecond)
	_, recorded := f.keyValueStore.Get(platform.KeyUsage)
	assert.Assert(t, !recorded)
}

// Guards against windows of usage that are reported with other counts, or never: a restored key-value store has lost the record of
// the last window, and an earlier one or none is there again.
func TestUsageIsReportedAcrossARestore(t *testing.T) {
	t.Parallel()
	for name, early := range map[string]bool{"the copy holds no record": true, "the copy holds an earlier record": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 0, cfvfakereplica.Config{}, cfvfakereplica.Config{StreamEvents: 3, Model: "m"})
			duties := cfvfakeplatform.NewDuties(500 * time.Millisecond)
			f.dutyAddr = f.serve(duties.Handler())
			start := time.Now()
			for i := range 2 {
				f.startEntry(i, f.keyValueStoreAddr)
				f.eventually("the entry is ready", func() bool { return f.ready(i) })
			}
			want := make(map[string]uint64)
			send := func() {
				for i := range 20 {
					assert.Equal(t, f.send(i%2, http.MethodGet, "/look/up", shopKey, "").status, http.StatusOK)
					want["of-"+shopKey]++
				}
			}
			allAccepted := func() bool { return accepted(duties, start)["of-"+shopKey] == want["of-"+shopKey] }
			c := f.keyValueStore.Copy()
			for range 2 {
				send()
				f.eventually("the requests are reported", allAccepted)
				if !early {
					c = f.keyValueStore.Copy()
					early = true
				}
			}
			send() // is recorded, and perhaps reported, when the store is restored
			windows := duties.Windows()
			f.eventually("the window is recorded", func() bool { return duties.Windows() > windows })
			f.keyValueStore.SetAway(true)
			for _, lost := range f.keyValueStore.Restore(c) {
				f.keyValueStore.WriteAgain(lost)
			}
			f.keyValueStore.SetAway(false)
			send()
			f.eventually("the requests are reported after the restore", allAccepted)
			assert.DeepEqual(t, accepted(duties, start), want)
			assert.DeepEqual(t, duties.Violations(), []string{})
		})
	}
}
