package cfvexchange

import "coltsfootvalve/core/cfvdispatch"

// addLoads adds loads to sum.
func addLoads(sum, loads map[string]cfvdispatch.Load) {
	for id, l := range loads {
		current := sum[id]
		sum[id] = cfvdispatch.Load{Running: current.Running + l.Running, PendingTokens: current.PendingTokens + l.PendingTokens}
	}
}

// addDemands adds demands to sum.
func addDemands(sum, demands map[string]cfvdispatch.Demand) {
	for service, d := range demands {
		sum[service] = sum[service].Add(d)
	}
}
