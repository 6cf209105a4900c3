package cfvfleet

import (
	"testing"
	"time"

	"coltsfootvalve/core/cfvmirror"

	"gotest.tools/v3/assert"
)

// Guards against roll-outs that begin anew after the key-value store was restored from an older copy: a version that was rolled back
// got requests again, and the time and the evidence of an order that was written again were counted from its new revision.
func TestRolloutAcrossARestore(t *testing.T) {
	order := func(era, number int64, target string) Change {
		return Change{Revision: cfvmirror.NewRevision(era, number), RolloutOrder: &RolloutOrder{Service: "s", Target: target, Duration: time.Minute}}
	}
	progress := func(era, number, of int64, phase RolloutPhase, target string) Change {
		return Change{Revision: cfvmirror.NewRevision(era, number), RolloutProgress: &RolloutProgress{Service: "s", OrderRevision: of, Target: target, Phase: phase, Share: 0.5}}
	}
	removed := func(era, number int64) Change {
		return Change{Revision: cfvmirror.NewRevision(era, number), RolloutProgress: &RolloutProgress{Service: "s"}}
	}
	type want struct {
		target     string
		phase      RolloutPhase
		share      float64 // as recorded
		number     int64   // of the order
		learnedAt  time.Duration
		unrecorded bool
		record     cfvmirror.Revision
	}
	running, rolledBack := RolloutRunning, RolloutRolledBack
	tests := map[string]struct {
		changes []Change // the first is learned of at 1 s, the next at 2 s
		want    want
	}{
		"the order is written again": {
			[]Change{order(1, 5, "v2"), progress(1, 6, 5, running, "v2"), order(2, 4, "v2")},
			want{"v2", running, 0.5, 4, time.Second, false, cfvmirror.NewRevision(1, 6)},
		},
		"another order has its number": {
			[]Change{order(1, 5, "v2"), progress(1, 6, 5, rolledBack, "v2"), order(2, 5, "v3")},
			want{"v3", running, 0, 5, 3 * time.Second, false, cfvmirror.NewRevision(1, 6)},
		},
		"the same order in the same era": {
			[]Change{order(1, 5, "v2"), progress(1, 6, 5, rolledBack, "v2"), order(1, 7, "v2")},
			want{"v2", running, 0, 7, 3 * time.Second, false, cfvmirror.NewRevision(1, 6)},
		},
		"the copy holds an earlier progress": {
			[]Change{order(1, 5, "v2"), progress(1, 8, 5, rolledBack, "v2"), progress(2, 6, 5, running, "v2")},
			want{"v2", rolledBack, 0.5, 5, time.Second, true, cfvmirror.NewRevision(2, 6)},
		},
		"the copy holds no progress": {
			[]Change{order(1, 5, "v2"), progress(1, 8, 5, rolledBack, "v2"), removed(2, 6)},
			want{"v2", rolledBack, 0.5, 5, time.Second, true, 0},
		},
		"another leader records an earlier progress": {
			[]Change{order(1, 5, "v2"), progress(1, 8, 5, rolledBack, "v2"), removed(2, 6), progress(2, 7, 5, running, "v2")},
			want{"v2", rolledBack, 0.5, 5, time.Second, true, cfvmirror.NewRevision(2, 7)},
		},
		"order and progress are lost, and the end is recorded again": {
			[]Change{order(1, 5, "v2"), progress(1, 8, 5, rolledBack, "v2"), removed(2, 6), order(2, 7, "v2"), progress(2, 8, 7, rolledBack, "v2")},
			want{"v2", rolledBack, 0.5, 7, time.Second, false, cfvmirror.NewRevision(2, 8)},
		},
		"order and progress are lost twice": {
			[]Change{order(1, 5, "v2"), progress(1, 8, 5, rolledBack, "v2"), order(2, 7, "v2"), progress(2, 6, 5, running, "v2"), order(3, 9, "v2"), progress(3, 6, 5, running, "v2")},
			want{"v2", rolledBack, 0.5, 9, time.Second, true, cfvmirror.NewRevision(3, 6)},
		},
		"a running one goes back": {
			[]Change{order(1, 5, "v2"), progress(1, 8, 5, running, "v2"), removed(2, 6)},
			want{"v2", running, 0, 5, time.Second, false, 0},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			v := NewView()
			for i, c := range tt.changes {
				v.Apply(time.Duration(i+1)*time.Second, c)
			}
			r := v.Rollout("s")
			got := want{r.Target, r.Progress.Phase, r.Progress.Share, r.Revision, r.LearnedAt, r.Unrecorded, r.RecordRevision}
			assert.Equal(t, got, tt.want)
		})
	}
}
