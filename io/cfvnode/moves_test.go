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

// startMove starts a move of the assistant service from v1 to v2 and waits until all nodes
// have applied it.
func (c *cluster) startMove(length time.Duration) {
	now := time.Now()
	c.apply(fmt.Sprintf(`{"services/assistant": {"moveTo": "v2", "moveStart": %d, "moveDeadline": %d}}`,
		now.UnixMilli(), now.Add(length).UnixMilli()))
	c.waitSettings()
}

// moveConfig describes a cluster whose engines run v1 and can load v2.
func moveConfig(v2 cfvfakeengine.Behaviour) clusterConfig {
	return clusterConfig{
		entries: 3, engines: 3, settings: `{"services/assistant": {"activeVersion": "v1", "badSharePercent": 20, "retryPercent": 100}}`,
		engine: func(cfg *cfvfakeengine.Config) {
			cfg.WeightsLoadTime = 100 * time.Millisecond
			cfg.EnforceFencing = true
			cfg.VersionBehaviours = cfvfakeengine.Behaviours{"v2": v2}
		},
	}
}

// moveStatus returns the status of the move at a node.
func (c *cluster) moveStatus(node int) cfvmoves.Status {
	list := c.nodes[node].moves.Statuses()
	if len(list) == 0 {
		return cfvmoves.Status{}
	}
	return list[0]
}

func (c *cluster) waitMoveState(state string) {
	c.t.Helper()
	c.eventually("the move is "+state, func() bool {
		for i, n := range c.nodes {
			if n.ctx.Err() == nil && c.moveStatus(i).State != state {
				return false
			}
		}
		return true
	})
}

// engineVersions counts the engines by the version that they run.
func (c *cluster) engineVersions() map[string]int {
	out := make(map[string]int)
	for _, e := range c.engines {
		out[e.Version()]++
	}
	return out
}

func TestGoodMoveIsDone(t *testing.T) {
	t.Parallel()
	runVirtual(t, moveConfig(cfvfakeengine.Behaviour{}), func(t *testing.T, c *cluster) {
		l := c.startLoad(func(i int) int { return i % 3 })
		c.waitServed(l, 60)
		c.startMove(20 * time.Second)
		c.waitMoveState(cfvmoves.StateDone)
		assert.Equal(t, c.engineVersions()["v2"], 6)
		c.waitSettings()
		assert.Equal(t, c.nodes[1].settings.Catalog().Tree().Text("services/assistant", cfvtree.ActiveVersion), "v2")
		c.waitServed(l, 40)
		assert.Equal(t, l.stopAndGetFailure(), "")
	})
}

// Failure: the last endpoint leaves the old version before an entry that missed the broadcast of the full share
// knows of it, and the entry's requests are refused with noEndpoint.
func TestMoveWaitsForEntryThatMissedABroadcast(t *testing.T) {
	t.Parallel()
	cfg := moveConfig(cfvfakeengine.Behaviour{})
	cfg.nodeConfig = func(cfg *Config) { cfg.ProbeInterval = 2 * time.Second }
	runVirtual(t, cfg, func(t *testing.T, c *cluster) {
		deaf := (c.judgeIndex() + 1) % len(c.nodes)
		c.network.SetLatency(c.nodes[deaf].cfg.PeerAddress, time.Hour) // it still calls others
		l := c.startLoad(func(int) int { return deaf })
		c.startMove(24 * time.Second)
		c.waitMoveState(cfvmoves.StateDone)
		c.waitServed(l, 40)
		assert.Equal(t, l.stopAndGetFailure(), "")
	})
}

func TestBadMoveIsTakenBack(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		v2     cfvfakeengine.Behaviour
		outage bool
	}{
		"failing version": {cfvfakeengine.Behaviour{FailEvery: 2}, false},
		"failing version during a key-value outage": {cfvfakeengine.Behaviour{FailEvery: 2}, true},
		"slow version": {cfvfakeengine.Behaviour{Slowdown: 12}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, moveConfig(tt.v2))
			l := c.startLoad(func(i int) int { return i % 3 })
			c.waitServed(l, 200)
			c.startMove(time.Minute)
			if tt.outage {
				c.kv.SetFault(cfvfault.Fault{Mode: cfvfault.Outage})
			}
			c.waitMoveState(cfvmoves.StateTakenBack)
			for i, n := range c.nodes {
				s, _ := n.settings.Catalog().Service("assistant")
				assert.Equal(t, c.moveStatus(i).Share, 0)
				for k := range 100 {
					assert.Equal(t, n.moves.Version(s, fmt.Sprint("prompt", k)), "v1")
				}
			}
			c.eventually("every engine runs the old version again", func() bool { return c.engineVersions()["v1"] == 6 })
			c.kv.SetFault(cfvfault.Fault{})
			c.eventually("the end of the move is written to the settings", func() bool {
				return c.nodes[0].settings.Catalog().Tree().Bool("services/assistant", cfvtree.MoveTakenBack)
			})
			c.waitServed(l, 40)
			l.stopAndGetFailure()
		})
	}
}

func TestMoveContinuesAfterJudgeDies(t *testing.T) {
	t.Parallel()
	cfg := moveConfig(cfvfakeengine.Behaviour{})
	engine := cfg.engine
	cfg.engine = func(cfg *cfvfakeengine.Config) {
		engine(cfg)
		cfg.DecodePerToken = 5 * time.Millisecond // fewer requests in the time of the move
	}
	runVirtual(t, cfg, func(_ *testing.T, c *cluster) {
		judge := c.judgeIndex()
		l := c.startLoad(func(i int) int { return (judge + 1 + i%2) % 3 })
		c.waitServed(l, 60)
		c.startMove(40 * time.Second)
		c.eventually("some traffic has moved", func() bool { return c.moveStatus((judge+1)%3).Share > 0 })
		c.kill(judge)
		c.vmList.Set(append(c.vms[:judge:judge], c.vms[judge+1:]...))
		c.waitMoveState(cfvmoves.StateDone)
		l.stopAndGetFailure()
	})
}

// judgeIndex returns the index of the node that decides on moves of the assistant service.
func (c *cluster) judgeIndex() int {
	for i, n := range c.nodes {
		if n.moves.IsJudge("assistant") {
			return i
		}
	}
	c.t.Fatal("no node is the judge of the assistant service")
	return -1
}

func TestOperatorTakesAMoveBack(t *testing.T) {
	t.Parallel()
	runVirtual(t, moveConfig(cfvfakeengine.Behaviour{}), func(_ *testing.T, c *cluster) {
		l := c.startLoad(func(i int) int { return i % 3 })
		c.startMove(time.Minute)
		c.eventually("some traffic has moved", func() bool { return c.moveStatus(0).Share > 0 })
		c.apply(`{"services/assistant": {"moveTakenBack": true}}`)
		c.waitMoveState(cfvmoves.StateTakenBack)
		c.eventually("every engine runs the old version again", func() bool { return c.engineVersions()["v1"] == 6 })
		l.stopAndGetFailure()
	})
}
