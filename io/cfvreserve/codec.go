package cfvreserve

import (
	"time"

	"coltsfootvalve/core/cfvcall"
	"coltsfootvalve/core/cfvparts"
	"coltsfootvalve/io/cfvwire/cfvwireentry"
)

func requestToWire(req Request) *cfvwireentry.ReserveRequest {
	out := &cfvwireentry.ReserveRequest{
		Request: req.RequestID, Service: req.Service, Model: req.Model, Affinity: req.Affinity, Tokens: uint32(req.Tokens), Shared: uint32(req.SharedTokens),
		Group: uint32(req.Group), Groups: uint32(req.GroupCount), Exclude: req.Exclude, Domain: req.Domain, Isolated: req.Isolated,
		Entry: req.Entry, ObjectiveMillis: toMillis(req.Objective), ElapsedMillis: toMillis(req.Elapsed), PatienceMillis: toMillis(req.Patience),
		Candidate: req.Candidate,
	}
	for _, p := range req.Parts {
		out.Parts = append(out.Parts, &cfvwireentry.Part{Id: p.ID, Tokens: uint32(p.Tokens)})
	}
	return out
}

func requestFromWire(w *cfvwireentry.ReserveRequest) Request {
	req := Request{
		RequestID: w.GetRequest(), Service: w.GetService(), Model: w.GetModel(), Affinity: w.GetAffinity(), Tokens: int(w.GetTokens()),
		SharedTokens: int(w.GetShared()), Group: int(w.GetGroup()), GroupCount: int(w.GetGroups()), Exclude: w.GetExclude(), Domain: w.GetDomain(),
		Isolated: w.GetIsolated(), Entry: w.GetEntry(), Objective: millis(w.GetObjectiveMillis()), Elapsed: millis(w.GetElapsedMillis()), Patience: millis(w.GetPatienceMillis()),
		Candidate: w.GetCandidate(),
	}
	for _, p := range w.GetParts() {
		req.Parts = append(req.Parts, cfvcall.Part{ID: p.GetId(), Tokens: int(p.GetTokens())})
	}
	return req
}

func placementToWire(p Placement) *cfvwireentry.ReserveResponse {
	return &cfvwireentry.ReserveResponse{
		Endpoint: p.Endpoint, Salt: p.Salt, Fetch: p.Transfers.Fetch, Save: p.Transfers.Save, FetchUntilMillis: p.Transfers.FetchDeadlineMillis,
		HoldMillis: toMillis(p.Hold), RetryAfterMillis: toMillis(p.RetryAfter),
	}
}

func placementFromWire(w *cfvwireentry.ReserveResponse) Placement {
	return Placement{
		Endpoint: w.GetEndpoint(), Salt: w.GetSalt(), Hold: millis(w.GetHoldMillis()), RetryAfter: millis(w.GetRetryAfterMillis()),
		Transfers: cfvparts.Transfers{Fetch: w.GetFetch(), Save: w.GetSave(), FetchDeadlineMillis: w.GetFetchUntilMillis()},
	}
}

func millis(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

func toMillis(d time.Duration) uint32 { return uint32(max(d, 0).Milliseconds()) }
