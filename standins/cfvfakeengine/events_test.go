package cfvfakeengine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestCacheEventsComeLateAndWithGaps(t *testing.T) {
	e := &events{gapEvery: 3}
	e.add([]string{"a", "b", "c", "d"})
	assert.DeepEqual(t, e.after(0), []CacheEvent{{1, "a"}, {2, "b"}, {4, "d"}})
	assert.DeepEqual(t, e.after(2), []CacheEvent{{4, "d"}})
	e.lag = time.Hour
	assert.DeepEqual(t, e.after(0), []CacheEvent{})
}

func TestLoadsBeyondTheBoundTakeLonger(t *testing.T) {
	w := &Weights{Bound: 2, Time: time.Second}
	first, end := w.begin()
	second, _ := w.begin()
	third, _ := w.begin()
	assert.DeepEqual(t, []time.Duration{first, second, third}, []time.Duration{time.Second, time.Second, 1500 * time.Millisecond})
	end()
}
