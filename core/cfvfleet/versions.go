package cfvfleet

import "time"

// unknownVersionHold is how long endpoints of versions that no roll-out has completed get no requests after the last
// endpoint of the others is gone. These may only be missing in what this process has read.
const unknownVersionHold = 5 * time.Second

// establishedVersions are the software versions of a service that serve requests without a roll-out.
type establishedVersions struct {
	names  map[string]bool
	goneAt time.Duration // since when no endpoint runs one of them; 0: some do
}

// updateEstablished determines which versions of a service serve requests without a roll-out: the target of a completed
// one, or else those that were there first. A version whose roll-out is running, was withdrawn, superseded or rolled back
// is none of them.
func (v *View) updateEstablished(service string) establishedVersions {
	have := v.established[service]
	s := v.rollouts[service]
	switch {
	case s.progress != nil && s.progress.Phase == RolloutCompleted:
		have = establishedVersions{names: map[string]bool{s.progress.Target: true}}
	case s.progress != nil && s.progress.Established:
		have = establishedVersions{names: map[string]bool{s.progress.Target: true}}
	case s.order.Target != "" && have.names[s.order.Target] && len(have.names) > 1:
		delete(have.names, s.order.Target)
	}
	present := false
	for _, e := range v.endpoints {
		present = present || e.endpoint.Service == service && have.names[e.endpoint.SoftwareVersion]
	}
	switch {
	case present:
		have.goneAt = 0
	case have.goneAt == 0:
		have.goneAt = max(v.now, 1)
	}
	if len(have.names) == 0 || !present && v.now-have.goneAt >= unknownVersionHold {
		if first := v.versionsBesides(service, s); len(first) > 0 {
			have = establishedVersions{names: first}
		}
	}
	v.established[service] = have
	return have
}

// versionsBesides returns the versions of a service's endpoints, except the one that is or was rolled out.
func (v *View) versionsBesides(service string, s rolloutState) map[string]bool {
	names := make(map[string]bool)
	for _, e := range v.endpoints {
		version := e.endpoint.SoftwareVersion
		if e.endpoint.Service != service || version == s.order.Target || s.progress != nil && version == s.progress.Target {
			continue
		}
		names[version] = true
	}
	return names
}

// only returns the endpoints that run an established version, or don't name theirs; all if none is known.
func (x establishedVersions) only(endpoints []*Endpoint) (out []*Endpoint) {
	if len(x.names) == 0 {
		return endpoints
	}
	for _, e := range endpoints {
		if x.names[e.SoftwareVersion] || e.SoftwareVersion == "" {
			out = append(out, e)
		}
	}
	return out
}
