package cfvfleet

import (
	"cmp"
	"slices"
	"time"
)

// maxWeightsHistory limits the versions of a model's weights that are remembered.
const maxWeightsHistory = 8

// MaxWeightsLag is the age of a state from which a version that it learns of may have been set long before.
const MaxWeightsLag = 3600 * time.Millisecond

// WeightsVersion is a version of a model's weights and the time at which it was set.
type WeightsVersion struct {
	Version   int64
	Since     time.Duration // on the process's clock; a later time than the real one, or the same
	NotBefore time.Duration // an earlier time than the real one, or the same, if Certain is set
	Certain   bool          // Since is at most MaxWeightsLag after the real time; otherwise the version may have been set long before
}

// DesiredVersion is the desired version of a model's weights.
type DesiredVersion struct {
	WeightsVersion
	history []WeightsVersion // ascending by version; the last one is the desired one
}

// ReplacedBy returns the first known version that replaced a version of the weights, and false if there
// is none.
func (d DesiredVersion) ReplacedBy(version int64) (v WeightsVersion, ok bool) {
	for _, v := range d.history {
		if v.Version > version {
			return v, true
		}
	}
	return v, false
}

// Oldest returns the oldest version on which requests may still start, given whether a version was set too
// long ago for requests to start on the versions that it replaced. It returns 0 if all may be used.
func (d DesiredVersion) Oldest(expired func(v WeightsVersion) bool) (oldest int64) {
	for _, v := range d.history {
		if expired(v) {
			oldest = v.Version
		}
	}
	return oldest
}

// History returns the known versions with the times at which they were set, ascending.
func (d DesiredVersion) History() []WeightsVersion { return d.history }

// add adds a newer version.
func (d DesiredVersion) add(v WeightsVersion) DesiredVersion {
	history := append(slices.Clone(d.history), v)
	return DesiredVersion{WeightsVersion: v, history: history[max(len(history)-maxWeightsHistory, 0):]}
}

// setSince corrects the time at which a version was set, if a peer knows of an earlier one, or adds the version.
func (d DesiredVersion) setSince(version int64, earliest, latest time.Duration) DesiredVersion {
	history := slices.Clone(d.history)
	i, known := slices.BinarySearchFunc(history, version, func(v WeightsVersion, version int64) int { return cmp.Compare(v.Version, version) })
	switch {
	case known && !history[i].Certain:
		history[i] = WeightsVersion{Version: version, Since: min(latest, history[i].Since), NotBefore: earliest - MaxWeightsLag, Certain: true}
	case known:
		history[i].Since = min(latest, history[i].Since)
	case version < d.Version && len(history) < maxWeightsHistory:
		history = slices.Insert(history, i, WeightsVersion{Version: version, Since: latest, NotBefore: earliest - MaxWeightsLag, Certain: true})
	}
	d.history = history
	if n := len(history); n > 0 {
		d.WeightsVersion = history[n-1]
	}
	return d
}

// setHeard corrects the time at which this process or a peer first heard of a version, or adds the version.
func (d DesiredVersion) setHeard(version int64, heard time.Duration) DesiredVersion {
	history := slices.Clone(d.history)
	i, known := slices.BinarySearchFunc(history, version, func(v WeightsVersion, version int64) int { return cmp.Compare(v.Version, version) })
	switch {
	case known:
		history[i].Since = min(heard, history[i].Since)
	case version < d.Version && len(history) < maxWeightsHistory:
		history = slices.Insert(history, i, WeightsVersion{Version: version, Since: heard})
	}
	d.history = history
	if n := len(history); n > 0 {
		d.WeightsVersion = history[n-1]
	}
	return d
}

// SetWeightsSince records that a peer has known a version of a model's weights since a time between the given
// ones, which differ by the time that its answer may have taken. It also adds a version that this process missed, since a newer one had replaced it. Newer versions than the desired
// one are ignored.
func (v *View) SetWeightsSince(model string, version int64, earliest, latest time.Duration) {
	if d, ok := v.weights[model]; ok {
		v.weights[model] = d.setSince(version, earliest, latest)
	}
}

// SetWeightsHeard records that a peer heard of a version of a model's weights at the given time, and does not
// know for how long it had been set. Like SetWeightsSince, it adds a version that this process missed.
func (v *View) SetWeightsHeard(model string, version int64, heard time.Duration) {
	if d, ok := v.weights[model]; ok {
		v.weights[model] = d.setHeard(version, heard)
	}
}

// SetWeightsNotBefore records that the versions that this process learned of at time now were not set before
// the given time.
func (v *View) SetWeightsNotBefore(now, notBefore time.Duration) {
	v.updateLearned(now, func(w *WeightsVersion) { w.NotBefore = notBefore })
}

// MarkWeightsUncertain records that the versions that this process learned of at time now may have been set
// long before.
func (v *View) MarkWeightsUncertain(now time.Duration) {
	v.updateLearned(now, func(w *WeightsVersion) { w.Certain, w.NotBefore = false, 0 })
}

// updateLearned calls f with the versions that this process learned of at time now.
func (v *View) updateLearned(now time.Duration, f func(*WeightsVersion)) {
	for model, d := range v.weights {
		if d.Since != now || !d.Certain {
			continue
		}
		d.history = slices.Clone(d.history)
		for i := range d.history {
			if w := &d.history[i]; w.Since == now && w.Certain {
				f(w)
			}
		}
		d.WeightsVersion = d.history[len(d.history)-1]
		v.weights[model] = d
	}
}
