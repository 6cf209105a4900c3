package cfvdispatch

// LocalLoads returns the load of this entry by endpoint, without endpoints that have none.
func (d *Dispatcher) LocalLoads() map[string]Load {
	out := make(map[string]Load)
	for id, s := range d.states {
		if s.running > 0 || s.pendingTokens > 0 {
			out[id] = Load{s.running, s.pendingTokens}
		}
	}
	return out
}

// SetPeerLoads sets the total load of all other entries by endpoint.
func (d *Dispatcher) SetPeerLoads(loads map[string]Load) {
	for id, s := range d.states {
		s.peerLoad = loads[id]
		s.meanRunning += (float64(s.peerLoad.Running) - s.meanRunning) * meanRunningWeight
	}
}
