package cfvpeer

import (
	"time"

	"coltsfootvalve/common/cfverror"
	"coltsfootvalve/core/cfvbooking"
	"coltsfootvalve/core/cfvlimit"
	"coltsfootvalve/core/cfvmember"
	"coltsfootvalve/core/cfvmove"
	"coltsfootvalve/core/cfvslot"
	"coltsfootvalve/io/cfvwire"
)

// convert applies f to each element of a slice.
func convert[A, B any](list []A, f func(A) B) []B {
	out := make([]B, 0, len(list))
	for _, a := range list {
		out = append(out, f(a))
	}
	return out
}

func millis(d time.Duration) int64    { return d.Milliseconds() }
func duration(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func memberToWire(m cfvmember.Member) *cfvwire.Member {
	return &cfvwire.Member{
		Name: m.Name, Address: m.Address, Region: m.Region, Domain: m.Domain,
		Started: m.StartMillis, Incarnation: m.Incarnation, Status: uint32(m.Status),
	}
}

func memberFromWire(m *cfvwire.Member) cfvmember.Member {
	return cfvmember.Member{
		Name: m.GetName(), Address: m.GetAddress(), Region: m.GetRegion(), Domain: m.GetDomain(),
		StartMillis: m.GetStarted(), Incarnation: m.GetIncarnation(),
		Status: cfvmember.Status(min(m.GetStatus(), uint32(cfvmember.StatusLeft))),
	}
}

func suspicionToWire(s cfvlimit.Suspicion) *cfvwire.Suspicion {
	return &cfvwire.Suspicion{Fingerprint: s.Fingerprint, Endpoints: s.Endpoints, UntilMillis: s.Until.UnixMilli()}
}

func suspicionFromWire(s *cfvwire.Suspicion) cfvlimit.Suspicion {
	return cfvlimit.Suspicion{Fingerprint: s.GetFingerprint(), Endpoints: s.GetEndpoints(), Until: time.UnixMilli(s.GetUntilMillis())}
}

func evidenceToWire(e cfvmove.Evidence) *cfvwire.Evidence {
	return &cfvwire.Evidence{
		Service: e.Service, Version: e.Version, Route: e.Route, Requests: e.Requests, Failures: e.Failures, Slow: e.Slow,
	}
}

func evidenceFromWire(e *cfvwire.Evidence) cfvmove.Evidence {
	return cfvmove.Evidence{
		Service: e.GetService(), Version: e.GetVersion(), Route: e.GetRoute(),
		Requests: e.GetRequests(), Failures: e.GetFailures(), Slow: e.GetSlow(),
	}
}

func moveToWire(m cfvmove.ID) *cfvwire.MoveID {
	return &cfvwire.MoveID{Service: m.Service, To: m.To, StartMillis: m.StartMillis}
}

func moveFromWire(m *cfvwire.MoveID) cfvmove.ID {
	return cfvmove.ID{Service: m.GetService(), To: m.GetTo(), StartMillis: m.GetStartMillis()}
}

func clearanceToWire(c cfvmove.Clearance) *cfvwire.Clearance {
	return &cfvwire.Clearance{Move: moveToWire(c.Move), Share: int32(c.Share), AtMillis: c.At.UnixMilli()}
}

func clearanceFromWire(c *cfvwire.Clearance) cfvmove.Clearance {
	return cfvmove.Clearance{Move: moveFromWire(c.GetMove()), Share: int(c.GetShare()), At: time.UnixMilli(c.GetAtMillis())}
}

func verdictToWire(v cfvmove.Verdict) *cfvwire.Verdict {
	return &cfvwire.Verdict{Move: moveToWire(v.Move), Cause: v.Cause}
}

func verdictFromWire(v *cfvwire.Verdict) cfvmove.Verdict {
	return cfvmove.Verdict{Move: moveFromWire(v.GetMove()), Cause: v.GetCause()}
}

func probeToWire(p Probe) *cfvwire.ProbeRequest {
	out := &cfvwire.ProbeRequest{
		From:             memberToWire(p.From),
		Updates:          convert(p.Gossip.Updates, memberToWire),
		SettingsRevision: p.Gossip.SettingsRevision,
		Suspicions:       convert(p.Gossip.Suspicions, suspicionToWire),
		Clearances:       convert(p.Gossip.Clearances, clearanceToWire),
		Verdicts:         convert(p.Gossip.Verdicts, verdictToWire),
	}
	if p.Target != nil {
		out.Target = memberToWire(*p.Target)
	}
	return out
}

func probeFromWire(p *cfvwire.ProbeRequest) Probe {
	out := Probe{From: memberFromWire(p.GetFrom()), Gossip: Gossip{
		Updates:          convert(p.GetUpdates(), memberFromWire),
		SettingsRevision: p.GetSettingsRevision(),
		Suspicions:       convert(p.GetSuspicions(), suspicionFromWire),
		Clearances:       convert(p.GetClearances(), clearanceFromWire),
		Verdicts:         convert(p.GetVerdicts(), verdictFromWire),
	}}
	if p.GetTarget() != nil {
		m := memberFromWire(p.GetTarget())
		out.Target = &m
	}
	return out
}

func probeReplyToWire(r ProbeReply) *cfvwire.ProbeResponse {
	return &cfvwire.ProbeResponse{
		Name: r.Name, Answered: r.Responded,
		Updates:          convert(r.Gossip.Updates, memberToWire),
		SettingsRevision: r.Gossip.SettingsRevision,
		Suspicions:       convert(r.Gossip.Suspicions, suspicionToWire),
		Clearances:       convert(r.Gossip.Clearances, clearanceToWire),
		Verdicts:         convert(r.Gossip.Verdicts, verdictToWire),
	}
}

func probeReplyFromWire(r *cfvwire.ProbeResponse) ProbeReply {
	return ProbeReply{Name: r.GetName(), Responded: r.GetAnswered(), Gossip: Gossip{
		Updates:          convert(r.GetUpdates(), memberFromWire),
		SettingsRevision: r.GetSettingsRevision(),
		Suspicions:       convert(r.GetSuspicions(), suspicionFromWire),
		Clearances:       convert(r.GetClearances(), clearanceFromWire),
		Verdicts:         convert(r.GetVerdicts(), verdictFromWire),
	}}
}

func requestToWire(r cfvslot.Request) *cfvwire.ReserveRequest {
	return &cfvwire.ReserveRequest{
		Slot: r.Slot, Group: r.Group, Entry: r.Entry, Started: r.EntryStarted, Workspace: r.Workspace,
		Priority: int32(r.Priority), PromptKey: r.PromptKey, Version: r.Version, Exclude: r.Exclude,
		QueueMillis: millis(r.MaxQueueTime), QueueLength: int32(r.MaxQueueLength), LimitMillis: millis(r.MaxDuration),
	}
}

func requestFromWire(r *cfvwire.ReserveRequest) cfvslot.Request {
	return cfvslot.Request{
		Slot: r.GetSlot(), Group: r.GetGroup(), Entry: r.GetEntry(), EntryStarted: r.GetStarted(), Workspace: r.GetWorkspace(),
		Priority: int(r.GetPriority()), PromptKey: r.GetPromptKey(), Version: r.GetVersion(), Exclude: r.GetExclude(),
		MaxQueueTime: duration(r.GetQueueMillis()), MaxQueueLength: int(r.GetQueueLength()), MaxDuration: duration(r.GetLimitMillis()),
	}
}

func levelToWire(l cfvslot.RampLevel) *cfvwire.Level {
	return &cfvwire.Level{Endpoint: l.Endpoint, BootId: l.BootID, Bound: int32(l.Slots)}
}

func levelFromWire(l *cfvwire.Level) cfvslot.RampLevel {
	return cfvslot.RampLevel{Endpoint: l.GetEndpoint(), BootID: l.GetBootId(), Slots: int(l.GetBound())}
}

func decisionToWire(d cfvslot.Decision) *cfvwire.ReserveResponse {
	if d.Grant == nil {
		return &cfvwire.ReserveResponse{Reason: string(d.Reason)}
	}
	return &cfvwire.ReserveResponse{
		Endpoint: d.Grant.Endpoint, Address: d.Grant.Address, Version: d.Grant.Version, Level: levelToWire(d.Grant.Level),
		WaitedMillis: millis(d.Grant.QueueTime), Epoch: d.Grant.Epoch,
	}
}

func decisionFromWire(slot string, r *cfvwire.ReserveResponse) cfvslot.Decision {
	if r.GetEndpoint() == "" {
		return cfvslot.Decision{Slot: slot, Reason: cfverror.Reason(r.GetReason())}
	}
	return cfvslot.Decision{Slot: slot, Grant: &cfvslot.Grant{
		Slot: slot, Endpoint: r.GetEndpoint(), Address: r.GetAddress(), Version: r.GetVersion(), Level: levelFromWire(r.GetLevel()),
		QueueTime: duration(r.GetWaitedMillis()), Epoch: r.GetEpoch(),
	}}
}

func releaseToWire(r cfvslot.Release) *cfvwire.Release {
	return &cfvwire.Release{Slot: r.Slot, Endpoint: r.Endpoint, Outcome: uint32(r.Outcome), BootId: r.BootID, Leaving: r.Leaving, LingerMillis: millis(r.Linger), Broken: r.ConnectionLost}
}

func releaseFromWire(r *cfvwire.Release) cfvslot.Release {
	return cfvslot.Release{
		Slot: r.GetSlot(), Endpoint: r.GetEndpoint(), Outcome: cfvslot.Outcome(r.GetOutcome()),
		BootID: r.GetBootId(), Leaving: r.GetLeaving(), Linger: duration(r.GetLingerMillis()), ConnectionLost: r.GetBroken(),
	}
}

func heldToWire(h cfvslot.HeldSlot) *cfvwire.Held {
	return &cfvwire.Held{Slot: h.Slot, Endpoint: h.Endpoint, Workspace: h.Workspace, BootId: h.BootID, LimitMillis: millis(h.MaxDuration)}
}

func heldFromWire(h *cfvwire.Held) cfvslot.HeldSlot {
	return cfvslot.HeldSlot{
		Slot: h.GetSlot(), Endpoint: h.GetEndpoint(), Workspace: h.GetWorkspace(),
		BootID: h.GetBootId(), MaxDuration: duration(h.GetLimitMillis()),
	}
}

func inventoryToWire(i cfvslot.Inventory) *cfvwire.RecogniseResponse {
	return &cfvwire.RecogniseResponse{
		Promised: i.Promised, Entry: i.Entry, Started: i.EntryStarted,
		Held: convert(i.Held, heldToWire), Levels: convert(i.Levels, levelToWire),
	}
}

func inventoryFromWire(group string, requestedAt time.Time, r *cfvwire.RecogniseResponse) cfvslot.Inventory {
	return cfvslot.Inventory{
		Entry: r.GetEntry(), EntryStarted: r.GetStarted(), Group: group, RequestedAt: requestedAt, Promised: r.GetPromised(),
		Held: convert(r.GetHeld(), heldFromWire), Levels: convert(r.GetLevels(), levelFromWire),
	}
}

func responseToWire(r cfvbooking.Response) *cfvwire.Answer {
	return &cfvwire.Answer{Status: int32(r.Status), ContentType: r.ContentType, Body: r.Body, Kept: r.Kept}
}

func responseFromWire(r *cfvwire.Answer) cfvbooking.Response {
	return cfvbooking.Response{Status: int(r.GetStatus()), ContentType: r.GetContentType(), Body: r.GetBody(), Kept: r.GetKept()}
}

func claimReplyToWire(r ClaimReply) *cfvwire.ClaimResponse {
	return &cfvwire.ClaimResponse{
		Won: r.Won, State: uint32(r.Record.State), Reason: r.Reason, Fingerprint: r.Record.Fingerprint,
		Attempt: r.Record.Attempt, Entry: r.Record.Entry, Started: r.Record.StartMillis, Answer: responseToWire(r.Record.Response),
	}
}

func claimReplyFromWire(key string, r *cfvwire.ClaimResponse) ClaimReply {
	return ClaimReply{Won: r.GetWon(), Reason: r.GetReason(), Record: cfvbooking.Record{
		Key: key, Fingerprint: r.GetFingerprint(), Attempt: r.GetAttempt(), Entry: r.GetEntry(), StartMillis: r.GetStarted(),
		State: cfvbooking.State(r.GetState()), Response: responseFromWire(r.GetAnswer()),
	}}
}
