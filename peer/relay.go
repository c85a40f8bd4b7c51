package peer

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/merlindock/merlindock/neighbour"
	"github.com/merlindock/merlindock/peer/peerpb"
)

// maxMessageBytes limits a message of SendMessage.
const maxMessageBytes = 1400

// SendMessage sends a message to the daemon at the address in the background. The message
// may be lost; callers repeat what matters.
func (s *Service) SendMessage(address string, data []byte) {
	if len(data) > maxMessageBytes || !s.exchanges.TryAcquire(1) {
		return
	}
	s.tasks.Go(func() {
		defer s.exchanges.Release(1)
		c, err := s.connectionTo(address)
		if err == nil {
			ctx, cancel := context.WithTimeout(s.ctx, s.o.CallTimeout)
			defer cancel()
			_, err = c.client.Relay(ctx, &peerpb.Message{Daemon: s.o.Self.ID, Data: data})
		}
		if err != nil {
			s.o.Observe(Event{EventUnreachable, address, err})
		}
	})
}

// Relay handles a message of another daemon.
func (h *handler) Relay(_ context.Context, m *peerpb.Message) (*peerpb.RelayReply, error) {
	if len(m.GetData()) > maxMessageBytes || len(m.GetDaemon()) > neighbour.MaxDaemonID {
		return nil, status.Error(codes.InvalidArgument, "message or daemon ID too long")
	}
	if onMessage := h.service.o.OnMessage; onMessage != nil {
		onMessage(m.GetDaemon(), m.GetData())
	}
	return &peerpb.RelayReply{}, nil
}
