package cfvreserve

import (
	"context"

	"coltsfootvalve/io/cfvwire/cfvwireentry"

	"connectrpc.com/connect"
)

// server answers other entries.
type server struct{ r *Reserver }

// Reserve places a prompt.
func (s server) Reserve(_ context.Context, req *connect.Request[cfvwireentry.ReserveRequest]) (*connect.Response[cfvwireentry.ReserveResponse], error) {
	return connect.NewResponse(&cfvwireentry.ReserveResponse{Endpoint: s.r.handleReserve(req.Msg)}), nil
}

// Settle notes which prompts have been read and which requests are over.
func (s server) Settle(_ context.Context, req *connect.Request[cfvwireentry.SettleRequest]) (*connect.Response[cfvwireentry.SettleResponse], error) {
	for _, e := range req.Msg.GetSettled() {
		s.r.cfg.Settle(e.GetEndpoint(), e.GetRequest(), e.GetOver())
	}
	return connect.NewResponse(&cfvwireentry.SettleResponse{}), nil
}
