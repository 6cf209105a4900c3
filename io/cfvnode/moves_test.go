package cfvnode

import (
	"fmt"
	"testing"
	"time"

	"coltsfootvalve/core/cfvtree"
	"coltsfootvalve/io/cfvmoves"
	"coltsfootvalve/standins/cfvfakeengine"
	"coltsfootvalve/standins/cfvfault"

	"gotest.tools/v3/assert"
)

// startMove accepts a move of the assistant from v1 to v2.
func (c *cluster) startMove(length time.Duration) {
	now := time.Now()
	c.apply(fmt.Sprintf(`{"services/assistant": {"moveTo": "v2", "moveStart": %d, "moveDeadline": %d}}`,
		now.UnixMilli(), now.Add(length).UnixMilli()))
	c.inForceEverywhere()
}

// moveShape is a cluster whose engines run v1 and can load v2.
func moveShape(v2 cfvfakeengine.Behaviour) shape {
	return shape{
		entries: 3, engines: 3, settings: `{"services/assistant": {"activeVersion": "v1", "badSharePercent": 20, "retryPercent": 100}}`,
		engine: func(cfg *cfvfakeengine.Config) {
			cfg.LoadFor = 100 * time.Millisecond
			cfg.EnforceFencing = true
			cfg.Vary = cfvfakeengine.Behaviours{"v2": v2}
		},
	}
}

// state returns the state of the move as a node sees it.
func (c *cluster) state(node int) cfvmoves.Status {
	list := c.nodes[node].moves.Statuses()
	if len(list) == 0 {
		return cfvmoves.Status{}
	}
	return list[0]
}

func (c *cluster) moveEnds(state string) {
	c.t.Helper()
	c.eventually("the move is "+state, func() bool {
		for i, n := range c.nodes {
			if n.ctx.Err() == nil && c.state(i).State != state {
				return false
			}
		}
		return true
	})
}

// versions counts the engines by the version that they run.
func (c *cluster) versions() map[string]int {
	out := make(map[string]int)
	for _, e := range c.engines {
		out[e.Version()]++
	}
	return out
}

func TestGoodMoveIsDone(t *testing.T) {
	t.Parallel()
	c := newCluster(t, moveShape(cfvfakeengine.Behaviour{}))
	l := c.startLoad(func(i int) int { return i % 3 })
	c.waitServed(l, 60)
	c.startMove(20 * time.Second)
	c.moveEnds(cfvmoves.StateDone)
	assert.Equal(t, c.versions()["v2"], 6)
	c.inForceEverywhere()
	assert.Equal(t, c.nodes[1].settings.Catalog().Tree().Text("services/assistant", cfvtree.ActiveVersion), "v2")
	c.waitServed(l, 40)
	assert.Equal(t, l.end(), "")
}

func TestBadMoveIsTakenBack(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		v2     cfvfakeengine.Behaviour
		outage bool
	}{
		"a version that fails":                           {cfvfakeengine.Behaviour{FailEvery: 2}, false},
		"a version that fails in an outage of key-value": {cfvfakeengine.Behaviour{FailEvery: 2}, true},
		"a version that is slow":                         {cfvfakeengine.Behaviour{Slow: 12}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, moveShape(tt.v2))
			l := c.startLoad(func(i int) int { return i % 3 })
			c.waitServed(l, 200)
			c.startMove(time.Minute)
			if tt.outage {
				c.kv.SetFault(cfvfault.Fault{Mode: cfvfault.Outage})
			}
			c.moveEnds(cfvmoves.StateTakenBack)
			for i, n := range c.nodes {
				s, _ := n.settings.Catalog().Service("assistant")
				assert.Equal(t, c.state(i).Share, 0)
				for k := range 100 {
					assert.Equal(t, n.moves.Version(s, fmt.Sprint("prompt", k)), "v1")
				}
			}
			c.eventually("every engine is back at the old version", func() bool { return c.versions()["v1"] == 6 })
			c.kv.SetFault(cfvfault.Fault{})
			c.eventually("the end is written", func() bool {
				return c.nodes[0].settings.Catalog().Tree().Bool("services/assistant", cfvtree.MoveTakenBack)
			})
			c.waitServed(l, 40)
			l.end()
		})
	}
}

func TestMoveGoesOnWhenItsJudgeDies(t *testing.T) {
	t.Parallel()
	c := newCluster(t, moveShape(cfvfakeengine.Behaviour{}))
	judge := c.judge()
	l := c.startLoad(func(i int) int { return (judge + 1 + i%2) % 3 })
	c.waitServed(l, 60)
	c.startMove(40 * time.Second)
	c.eventually("traffic moves", func() bool { return c.state((judge+1)%3).Share > 0 })
	c.kill(judge)
	c.list.Set(append(c.vms[:judge:judge], c.vms[judge+1:]...))
	c.moveEnds(cfvmoves.StateDone)
	l.end()
}

// judge returns the index of the node that judges moves of the assistant.
func (c *cluster) judge() int {
	for i, n := range c.nodes {
		if n.moves.IsJudge("assistant") {
			return i
		}
	}
	c.t.Fatal("nobody judges")
	return -1
}

func TestOperatorTakesAMoveBack(t *testing.T) {
	t.Parallel()
	c := newCluster(t, moveShape(cfvfakeengine.Behaviour{}))
	l := c.startLoad(func(i int) int { return i % 3 })
	c.startMove(time.Minute)
	c.eventually("traffic moves", func() bool { return c.state(0).Share > 0 })
	c.apply(`{"services/assistant": {"moveTakenBack": true}}`)
	c.moveEnds(cfvmoves.StateTakenBack)
	c.eventually("every engine is back at the old version", func() bool { return c.versions()["v1"] == 6 })
	l.end()
}
