package peer

import (
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/merlindock/merlindock/neighbour"
	"github.com/merlindock/merlindock/peer/peerpb"
)

// connection is a connection to one address.
type connection struct {
	conn   *grpc.ClientConn
	client peerpb.PeerClient
}

func (c *connection) close() {
	// Close fails only for a connection that is closed already.
	_ = c.conn.Close()
}

// reconnectParams sets gRPC's reconnect backoff. With its default of up to two minutes, a
// restarted neighbour would receive a new manifest long after the few seconds within
// which it has to be in force.
var reconnectParams = grpc.ConnectParams{
	Backoff: backoff.Config{
		BaseDelay:  100 * time.Millisecond,
		Multiplier: 1.6,
		Jitter:     0.2,
		MaxDelay:   time.Second,
	},
	MinConnectTimeout: time.Second,
}

func dialOptions(o Options) ([]grpc.DialOption, error) {
	creds := insecure.NewCredentials()
	if o.TLS != nil {
		config, err := o.TLS.config()
		if err != nil {
			return nil, err
		}
		creds = credentials.NewTLS(config)
	}
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		grpc.WithConnectParams(reconnectParams),
		grpc.WithNoProxy(),
		grpc.WithDisableServiceConfig(),
		grpc.WithInitialWindowSize(flowControlWindow),
		grpc.WithInitialConnWindowSize(flowControlWindow),
		grpc.WithIdleTimeout(idleTimeout),
	}
	if o.Dial != nil {
		options = append(options, grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return o.Dial(ctx, address)
		}))
	}
	return options, nil
}

// connectionTo returns the connection to an address. gRPC opens it on first use.
func (s *Service) connectionTo(address string) (*connection, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, known := s.connections[address]; known {
		return c, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address, s.dialOptions...)
	if err != nil {
		return nil, eris.Wrapf(err, "peer: address %s", address)
	}
	c := &connection{conn, peerpb.NewPeerClient(conn)}
	s.connections[address] = c
	return c, nil
}

// exchange sends the own digest to a neighbour and handles the digest received in return.
func (s *Service) exchange(ctx context.Context, address string) error {
	c, err := s.connectionTo(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.o.CallTimeout)
	defer cancel()
	w, err := c.client.Exchange(ctx, s.buildDigest(time.Now()), grpc.MaxCallRecvMsgSize(maxExchangeBytes))
	if err != nil {
		return eris.Wrap(ErrUnreachable, err.Error())
	}
	now := time.Now()
	s.handleDigest(now, digestFromWire(now, w))
	return nil
}

// fetch fetches a manifest from an address and checks that it is the one requested or a
// later one.
func (s *Service) fetch(ctx context.Context, address string, r neighbour.Revision) (Accepted, error) {
	c, err := s.connectionTo(address)
	if err != nil {
		return Accepted{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.o.FetchTimeout)
	defer cancel()
	reply, err := c.client.Fetch(ctx, &peerpb.FetchRequest{Revision: revisionToWire(r)}, grpc.MaxCallRecvMsgSize(maxFetchBytes))
	if err != nil {
		return Accepted{}, eris.Wrap(ErrUnreachable, err.Error())
	}
	a := Accepted{
		Revision: revisionFromWire(reply.GetRevision()),
		Manifest: reply.GetManifest(),
		Proof:    reply.GetProof(),
	}
	return a, a.verify(r)
}
