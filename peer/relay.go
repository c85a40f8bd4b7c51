package peer

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/merlindock/merlindock/neighbour"
	"github.com/merlindock/merlindock/peer/peerpb"
)

// maxMessageBytes bounds one message of Relay.
const maxMessageBytes = 1400

// SendMessage sends a message to the daemon at the address and does not wait for it. It may
// be lost: its senders repeat what matters.
func (s *Service) SendMessage(address string, data []byte) {
	if len(data) > maxMessageBytes || !s.exchanges.TryAcquire(1) {
		return
	}
	s.tasks.Go(func() {
		defer s.exchanges.Release(1)
		l, err := s.connectionTo(address)
		if err == nil {
			ctx, cancel := context.WithTimeout(s.ctx, s.o.CallTimeout)
			defer cancel()
			_, err = l.client.Relay(ctx, &peerpb.Message{Daemon: s.o.Self.ID, Data: data})
		}
		if err != nil {
			s.o.Observe(Event{EventUnreachable, address, err})
		}
	})
}

// Relay takes another daemon's message.
func (h *handler) Relay(_ context.Context, w *peerpb.Message) (*peerpb.RelayReply, error) {
	if len(w.GetData()) > maxMessageBytes || len(w.GetDaemon()) > neighbour.MaxDaemonID {
		return nil, status.Error(codes.InvalidArgument, "too long a message or name")
	}
	if onMessage := h.service.o.OnMessage; onMessage != nil {
		onMessage(w.GetDaemon(), w.GetData())
	}
	return &peerpb.RelayReply{}, nil
}
