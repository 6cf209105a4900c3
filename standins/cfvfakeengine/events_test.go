package cfvfakeengine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestCacheEventsComeLateAndWithGaps(t *testing.T) {
	e := &eventLog{dropEvery: 3}
	e.add([]string{"a", "b", "c", "d"})
	assert.DeepEqual(t, e.after(0), []CacheEvent{{1, "a"}, {2, "b"}, {4, "d"}})
	assert.DeepEqual(t, e.after(2), []CacheEvent{{4, "d"}})
	e.lag = time.Hour
	assert.DeepEqual(t, e.after(0), []CacheEvent{})
}

func TestLoadsBeyondTheLimitTakeLonger(t *testing.T) {
	w := &WeightStore{FullSpeedLoads: 2, LoadTime: time.Second}
	first, end := w.beginLoad()
	second, _ := w.beginLoad()
	third, _ := w.beginLoad()
	assert.DeepEqual(t, []time.Duration{first, second, third}, []time.Duration{time.Second, time.Second, 1500 * time.Millisecond})
	end()
}
