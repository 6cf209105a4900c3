package cfvdispatch

import "coltsfootvalve/core/cfvspeed"

// Add returns the load of both, with the joined evidence about the speed.
func (l Load) Add(other Load) Load {
	return Load{Running: l.Running + other.Running, PendingTokens: l.PendingTokens + other.PendingTokens, Speed: cfvspeed.Join(l.Speed, other.Speed)}
}

// load returns the load of this entry and its peers.
func (s *endpointState) load() Load {
	return Load{Running: s.running + s.peerLoad.Running, PendingTokens: s.pendingTokens + s.peerLoad.PendingTokens}
}

// TotalLoad returns the load of this entry and its peers at an endpoint, as the choice sees it.
func (d *Dispatcher) TotalLoad(id string) Load {
	if s := d.states[id]; s != nil {
		return s.load()
	}
	return Load{}
}

// LocalLoads returns the load of this entry by endpoint, without endpoints that have none.
func (d *Dispatcher) LocalLoads() map[string]Load {
	out := make(map[string]Load)
	for id, s := range d.states {
		if s.running > 0 || s.pendingTokens > 0 {
			out[id] = Load{Running: s.running, PendingTokens: s.pendingTokens}
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
