package cfvfleet

// servingEndpoints are the usable endpoints of a service by the part of its requests that they serve.
type servingEndpoints struct {
	stable, candidates []*Endpoint
}

// Serving returns the usable endpoints of a service that serve most of its requests. While a software version
// is rolled out, candidate selects those that serve the roll-out's share instead. The caller must not change
// the result.
func (v *View) Serving(service string, candidate bool) []*Endpoint {
	s, ok := v.serving[service]
	if !ok {
		s = v.splitUsable(service)
		if v.serving == nil {
			v.serving = make(map[string]servingEndpoints)
		}
		v.serving[service] = s
	}
	if candidate {
		return s.candidates
	}
	return s.stable
}

// splitUsable splits the usable endpoints of a service by its roll-out. Versions that no roll-out has completed serve
// only as its target.
func (v *View) splitUsable(service string) (s servingEndpoints) {
	established := v.updateEstablished(service)
	r := v.Rollout(service)
	if r == nil || r.Established {
		return servingEndpoints{stable: established.only(v.Usable(service))}
	}
	s.stable, s.candidates = r.Split(v.Usable(service))
	s.stable = established.only(s.stable)
	return s
}
