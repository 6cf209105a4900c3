package cfvreserve

import (
	"context"

	"coltsfootvalve/io/cfvwire/cfvwireentry"

	"connectrpc.com/connect"
)

// server implements the placement service for peers.
type server struct{ r *Reserver }

// Reserve places a long prompt.
func (s server) Reserve(_ context.Context, req *connect.Request[cfvwireentry.ReserveRequest]) (*connect.Response[cfvwireentry.ReserveResponse], error) {
	placement, ok := s.r.cfg.Place(requestFromWire(req.Msg))
	if !ok {
		return connect.NewResponse(&cfvwireentry.ReserveResponse{}), nil
	}
	return connect.NewResponse(placementToWire(placement)), nil
}

// Settle records for which prompts the prefill is done and which requests are over.
func (s server) Settle(_ context.Context, req *connect.Request[cfvwireentry.SettleRequest]) (*connect.Response[cfvwireentry.SettleResponse], error) {
	for _, e := range req.Msg.GetSettled() {
		s.r.cfg.Settle(e.GetEndpoint(), e.GetRequest(), e.GetOver())
	}
	return connect.NewResponse(&cfvwireentry.SettleResponse{}), nil
}
