package cfvfleet

import (
	"slices"
	"testing"
	"time"

	"coltsfootvalve/core/cfvmirror"

	"gotest.tools/v3/assert"
)

// Failure: endpoints of a version that no roll-out had completed got requests like all others while its order was missing
// or withdrawn, and while another version was rolled out.
func TestVersionsServeOnlyAfterTheirRollout(t *testing.T) {
	const order, progress = 5, 6
	announce := func(id, version string) Change {
		return Change{Endpoint: &EndpointChange{ID: id, Endpoint: &Endpoint{ID: id, Service: "s", SoftwareVersion: version}}}
	}
	remove := func(id string) Change { return Change{Endpoint: &EndpointChange{ID: id}} }
	ordered := func(revision cfvmirror.Revision, target string) Change {
		return Change{Revision: revision, RolloutOrder: &RolloutOrder{Service: "s", Target: target, Duration: time.Minute}}
	}
	recorded := func(of int64, target string, phase RolloutPhase) Change {
		return Change{Revision: cfvmirror.Revision(of + 1), RolloutProgress: &RolloutProgress{Service: "s", OrderRevision: of, Target: target, Phase: phase, Share: 0.05}}
	}
	old, target := announce("a", "v1"), announce("b", "v2")
	tests := map[string]struct {
		changes []Change // one a second
		want    []string // stable endpoints
	}{
		"there first":                       {[]Change{old}, []string{"a"}},
		"order not known":                   {[]Change{old, target}, []string{"a"}},
		"order not known, others gone":      {[]Change{old, target, remove("a")}, nil},
		"order withdrawn":                   {[]Change{old, ordered(order, "v2"), target, recorded(order, "v2", RolloutRunning), ordered(7, "")}, []string{"a"}},
		"order superseded":                  {[]Change{old, ordered(order, "v2"), target, recorded(order, "v2", RolloutRunning), ordered(7, "v3"), announce("c", "v3")}, []string{"a"}},
		"rolled back, then another order":   {[]Change{old, ordered(order, "v2"), target, recorded(order, "v2", RolloutRolledBack), ordered(8, "v3")}, []string{"a"}},
		"completed":                         {[]Change{old, ordered(order, "v2"), target, recorded(order, "v2", RolloutCompleted)}, []string{"b"}},
		"completed, then withdrawn":         {[]Change{old, ordered(order, "v2"), target, recorded(order, "v2", RolloutCompleted), ordered(9, ""), announce("c", "v2")}, []string{"b", "c"}},
		"completed, then ordered again":     {[]Change{old, ordered(order, "v2"), target, recorded(order, "v2", RolloutCompleted), remove("a"), ordered(9, "v2")}, []string{"b"}},
		"completed, then the next order":    {[]Change{old, ordered(order, "v2"), target, recorded(order, "v2", RolloutCompleted), ordered(9, "v3"), announce("c", "v3")}, []string{"b"}},
		"read after the order":              {[]Change{ordered(order, "v2"), target, old}, []string{"a"}},
		"only the target, after the order":  {[]Change{ordered(order, "v2"), target}, nil},
		"the leader knew the target before": {[]Change{ordered(order, "v2"), target, {Revision: progress, RolloutProgress: &RolloutProgress{Service: "s", OrderRevision: order, Target: "v2", Established: true}}}, []string{"b"}},
		"replaced without an order":         {[]Change{old, target, remove("a"), announce("c", "v2"), announce("d", "v2"), announce("e", "v2"), announce("f", "v2"), announce("g", "v2")}, []string{"b", "c", "d", "e", "f", "g"}},
		"the version is not named":          {[]Change{old, announce("b", "")}, []string{"a", "b"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			v := NewView()
			for i, c := range tt.changes {
				v.Apply(time.Duration(i+1)*time.Second, c)
				if i > 0 || c.Endpoint != nil {
					v.Serving("s", false)
				}
			}
			got := ids(v.Serving("s", false))
			slices.Sort(got)
			assert.DeepEqual(t, got, tt.want)
		})
	}
}
