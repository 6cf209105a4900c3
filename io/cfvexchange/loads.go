package cfvexchange

import "coltsfootvalve/core/cfvdispatch"

// addLoads adds loads to sum. The measured speeds are joined by the weight of their evidence.
func addLoads(sum, loads map[string]cfvdispatch.Load) {
	for id, l := range loads {
		sum[id] = sum[id].Add(l)
	}
}

// addDemands adds demands to sum.
func addDemands(sum, demands map[string]cfvdispatch.Demand) {
	for service, d := range demands {
		sum[service] = sum[service].Add(d)
	}
}
