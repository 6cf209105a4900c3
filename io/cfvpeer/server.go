package cfvpeer

import (
	"context"
	"net/http"

	"coltsfootvalve/core/cfvbooking"
	"coltsfootvalve/core/cfvlimit"
	"coltsfootvalve/core/cfvmove"
	"coltsfootvalve/io/cfvwire"
	"coltsfootvalve/io/cfvwire/cfvwireconnect"

	"connectrpc.com/connect"
)

// NewHandler returns the HTTP handler of the peer protocol.
func NewHandler(h Handlers) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(cfvwireconnect.NewPeerHandler(&server{h}, connect.WithReadMaxBytes(maxMessageBytes)))
	return mux
}

// server calls the handlers with the decoded messages.
type server struct {
	h Handlers
}

func (s *server) Probe(_ context.Context, r *connect.Request[cfvwire.ProbeRequest]) (*connect.Response[cfvwire.ProbeResponse], error) {
	return connect.NewResponse(probeReplyToWire(s.h.Probe(probeFromWire(r.Msg)))), nil
}

func (s *server) Reserve(ctx context.Context, r *connect.Request[cfvwire.ReserveRequest]) (*connect.Response[cfvwire.ReserveResponse], error) {
	return connect.NewResponse(decisionToWire(s.h.Reserve(ctx.Done(), requestFromWire(r.Msg)))), nil
}

func (s *server) Release(_ context.Context, r *connect.Request[cfvwire.ReleaseRequest]) (*connect.Response[cfvwire.ReleaseResponse], error) {
	s.h.Release(convert(r.Msg.GetReleases(), releaseFromWire))
	return connect.NewResponse(&cfvwire.ReleaseResponse{}), nil
}

func (s *server) Recognise(_ context.Context, r *connect.Request[cfvwire.RecogniseRequest]) (*connect.Response[cfvwire.RecogniseResponse], error) {
	inv := s.h.Recognise(Recognise{r.Msg.GetGroup(), r.Msg.GetOwner(), duration(r.Msg.GetLeaseMillis())})
	return connect.NewResponse(inventoryToWire(inv)), nil
}

func (s *server) FetchSettings(_ context.Context, r *connect.Request[cfvwire.FetchSettingsRequest]) (*connect.Response[cfvwire.FetchSettingsResponse], error) {
	got := s.h.FetchSettings(FetchSettings{r.Msg.GetRevision(), r.Msg.GetPieces()})
	return connect.NewResponse(&cfvwire.FetchSettingsResponse{Head: got.Head, Pieces: got.Pieces}), nil
}

func (s *server) Claim(ctx context.Context, r *connect.Request[cfvwire.ClaimRequest]) (*connect.Response[cfvwire.ClaimResponse], error) {
	m := r.Msg
	c := cfvbooking.Claim{
		Key: m.GetKey(), Fingerprint: m.GetFingerprint(), Attempt: m.GetAttempt(), Entry: m.GetEntry(), StartMillis: m.GetStarted(),
	}
	return connect.NewResponse(claimReplyToWire(s.h.Claim(ctx.Done(), c))), nil
}

func (s *server) Conclude(ctx context.Context, r *connect.Request[cfvwire.ConcludeRequest]) (*connect.Response[cfvwire.ConcludeResponse], error) {
	c := cfvbooking.Conclusion{
		Key: r.Msg.GetKey(), Attempt: r.Msg.GetAttempt(), State: cfvbooking.State(r.Msg.GetState()), Response: responseFromWire(r.Msg.GetAnswer()),
	}
	return connect.NewResponse(&cfvwire.ConcludeResponse{Written: s.h.Conclude(ctx.Done(), c)}), nil
}

func (s *server) Report(_ context.Context, r *connect.Request[cfvwire.ReportRequest]) (*connect.Response[cfvwire.ReportResponse], error) {
	m := r.Msg
	s.h.Report(Report{moveFromWire(m.GetMove()), cfvmove.Report{
		Entry: m.GetEntry(), StartMillis: m.GetStarted(), Evidence: convert(m.GetEvidence(), evidenceFromWire),
	}})
	return connect.NewResponse(&cfvwire.ReportResponse{}), nil
}

func (s *server) Admit(_ context.Context, r *connect.Request[cfvwire.AdmitRequest]) (*connect.Response[cfvwire.AdmitResponse], error) {
	m := r.Msg
	reason := s.h.Admit(cfvlimit.Admission{
		Workspace: m.GetWorkspace(), RequestID: m.GetRequestId(), Entry: m.GetEntry(), EntryStarted: m.GetStarted(),
		MaxConcurrent: int(m.GetConcurrent()), MaxPerSecond: int(m.GetPerSecond()), MaxDuration: duration(m.GetLimitMillis()),
	})
	return connect.NewResponse(&cfvwire.AdmitResponse{Reason: reason}), nil
}

func (s *server) Dismiss(_ context.Context, r *connect.Request[cfvwire.DismissRequest]) (*connect.Response[cfvwire.DismissResponse], error) {
	s.h.Dismiss(Dismiss{r.Msg.GetWorkspace(), r.Msg.GetRequestIds()})
	return connect.NewResponse(&cfvwire.DismissResponse{}), nil
}
