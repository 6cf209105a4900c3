package cfvmember

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"coltsfootvalve/common/cfvseed"

	"gotest.tools/v3/assert"
)

const (
	testPeriod           = 200 * time.Millisecond
	testSuspicionTimeout = 1500 * time.Millisecond
)

// fleet runs the probes between several tables in virtual time, as cfvmembership.Runner does,
// over links that can be cut.
type fleet struct {
	now       time.Time
	rand      *rand.Rand
	names     []string
	tables    map[string]*Table
	frozen    map[string]bool
	down      map[string]bool
	cut       func(from, to string) bool
	lossShare float64
	bytes     int
	calls     int
	deadSince map[string]time.Time // first time that any table declared the member dead
}

func newFleet(n int) *fleet {
	f := &fleet{
		now: time.Unix(4_000_000, 0), rand: rand.New(rand.NewPCG(cfvseed.Seed(), 7)),
		tables: make(map[string]*Table), frozen: make(map[string]bool), down: make(map[string]bool),
		cut: func(string, string) bool { return false }, deadSince: make(map[string]time.Time),
	}
	for i := range n {
		f.names = append(f.names, fmt.Sprintf("n%03d", i))
	}
	for _, name := range f.names {
		f.start(name, 1)
	}
	return f
}

// start starts a process that knows only the platform's list.
func (f *fleet) start(name string, started uint64) {
	t := New(Config{
		Self:             Member{Name: name, Address: name, Region: "r", StartMillis: started},
		SuspicionTimeout: testSuspicionTimeout,
		Rand:             rand.New(rand.NewPCG(f.rand.Uint64(), started)),
	})
	var list []Member
	for _, n := range f.names {
		list = append(list, Member{Name: n, Address: n, Region: "r"})
	}
	t.SetList(list)
	f.tables[name] = t
	delete(f.down, name)
}

// delivers reports whether one message is delivered.
func (f *fleet) delivers(from, to string) bool {
	return !f.down[to] && !f.frozen[to] && !f.cut(from, to) && f.rand.Float64() >= f.lossShare
}

// updateBytes is the size of one update on the wire, with its name and address.
const updateBytes = 60

func (f *fleet) exchange(from, to string) bool {
	f.calls++
	out := f.tables[from].Updates(to)
	f.bytes += len(out) * updateBytes
	if !f.delivers(from, to) {
		return false
	}
	f.tables[to].Merge(f.now, out)
	back := f.tables[to].Updates(from)
	f.bytes += len(back) * updateBytes
	if !f.delivers(to, from) {
		return false
	}
	f.tables[from].Merge(f.now, back)
	return true
}

func (f *fleet) probe(from string) {
	t := f.tables[from]
	for _, dead := range t.ExpireSuspects(f.now) {
		if _, seen := f.deadSince[dead]; !seen {
			f.deadSince[dead] = f.now
		}
	}
	for _, m := range t.SuspectsToProbe() {
		f.exchange(from, m.Name)
	}
	m, ok := t.NextProbe()
	if !ok || f.exchange(from, m.Name) {
		return
	}
	for _, h := range t.Helpers(m.Name, 2) {
		if f.exchange(from, h.Name) && f.exchange(h.Name, m.Name) {
			return
		}
	}
	t.ProbeFailed(f.now, m.Name)
}

// run lets every node probe once per period.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(testPeriod) {
		for _, name := range f.names {
			if !f.down[name] && !f.frozen[name] {
				f.probe(name)
			}
		}
	}
}

// countStatus returns the number of running nodes whose table has the status for the member.
func (f *fleet) countStatus(name string, s Status) int {
	n := 0
	for other, t := range f.tables {
		if other == name || f.down[other] || f.frozen[other] {
			continue
		}
		if m, ok := t.Get(name); ok && m.Status == s {
			n++
		}
	}
	return n
}

func (f *fleet) allAlive(t *testing.T) {
	t.Helper()
	for _, name := range f.names {
		assert.Equal(t, f.countStatus(name, StatusAlive), len(f.names)-1, "%s is not alive everywhere", name)
	}
}

func TestTablesAgreeAfterFaults(t *testing.T) {
	tests := map[string]func(t *testing.T, f *fleet){
		"a killed node is dead everywhere": func(t *testing.T, f *fleet) {
			f.down["n003"] = true
			f.run(8 * time.Second)
			assert.Equal(t, f.countStatus("n003", StatusDead), 7)
		},
		"a paused node is alive again after it resumes": func(t *testing.T, f *fleet) {
			f.frozen["n003"] = true
			f.run(8 * time.Second)
			assert.Equal(t, f.countStatus("n003", StatusDead), 7)
			f.frozen["n003"] = false
			f.run(8 * time.Second)
			f.allAlive(t)
		},
		"a one-way link failure between two nodes makes no member dead": func(t *testing.T, f *fleet) {
			f.cut = func(from, to string) bool { return from == "n001" && to == "n002" }
			f.run(20 * time.Second)
			assert.Equal(t, len(f.deadSince), 0)
		},
		"all are alive again after a network partition": func(t *testing.T, f *fleet) {
			f.cut = func(from, to string) bool { return (from < "n004") != (to < "n004") }
			f.run(15 * time.Second)
			assert.Equal(t, f.countStatus("n000", StatusDead), 4)
			assert.Equal(t, f.countStatus("n007", StatusDead), 4)
			f.cut = func(string, string) bool { return false }
			f.run(20 * time.Second)
			f.allAlive(t)
		},
		"all processes are replaced one by one at the same addresses": func(t *testing.T, f *fleet) {
			for i, name := range f.names {
				f.down[name] = true
				f.run(3 * time.Second)
				f.start(name, uint64(i)+10)
				f.run(3 * time.Second)
			}
			f.run(10 * time.Second)
			f.allAlive(t)
			for _, name := range f.names {
				m, _ := f.tables["n000"].Get(name)
				assert.Assert(t, m.StartMillis >= 10)
			}
		},
		"a node that leaves stays leaving": func(t *testing.T, f *fleet) {
			f.tables["n005"].MarkLeaving()
			f.run(3 * time.Second)
			f.down["n005"] = true
			f.run(10 * time.Second)
			assert.Equal(t, f.countStatus("n005", StatusLeaving), 7)
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(8)
			f.run(4 * time.Second)
			f.allAlive(t)
			tt(t, f)
		})
	}
}

func TestUnlistedDeadMembersAreRemoved(t *testing.T) {
	f := newFleet(4)
	f.run(4 * time.Second)
	f.down["n003"] = true
	f.run(8 * time.Second)
	table := f.tables["n000"]
	table.SetList([]Member{{Name: "n000"}, {Name: "n001"}, {Name: "n002"}})
	_, known := table.Get("n003")
	assert.Assert(t, !known)
	table.Merge(f.now, []Member{{Name: "n003", StartMillis: 1, Status: StatusDead}})
	_, known = table.Get("n003")
	assert.Assert(t, !known, "an update about a dead member added a removed member again")
}

func TestUpdatesAreLimitedPerMessage(t *testing.T) {
	f := newFleet(200)
	f.run(2 * time.Second)
	for _, name := range f.names {
		assert.Assert(t, len(f.tables[name].Updates("n000")) <= MaxUpdates)
	}
}

// BenchmarkFleet measures a minute of a fleet in virtual time. It reports the bytes and the CPU
// time of a node per second, the members that are declared dead by mistake at 5% packet loss,
// and the time until a killed node is dead in all other tables.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{8, 32, 128, 340} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			for range b.N {
				benchFleet(b, n)
			}
		})
	}
}

func benchFleet(b *testing.B, n int) {
	f := newFleet(n)
	f.run(2 * time.Minute)
	f.bytes, f.calls = 0, 0
	start := time.Now()
	f.run(time.Minute)
	elapsed := time.Since(start)
	b.ReportMetric(float64(f.bytes)/60/float64(n), "B/node/s")
	b.ReportMetric(elapsed.Seconds()/60/float64(n)*1e6, "µs-CPU/node/s")
	f.lossShare = 0.05
	f.run(time.Minute)
	b.ReportMetric(float64(len(f.deadSince)), "false-deaths/min")
	f.lossShare = 0
	f.run(20 * time.Second)
	f.down["n003"] = true
	killed := f.now
	for f.countStatus("n003", StatusDead) < n-1 && f.now.Sub(killed) < time.Minute {
		f.run(testPeriod)
	}
	b.ReportMetric(f.now.Sub(killed).Seconds(), "s-to-dead-everywhere")
}
