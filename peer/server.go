package peer

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/merlindock/merlindock/neighbour"
	"github.com/merlindock/merlindock/peer/peerpb"
)

// flowControlWindow is the size of gRPC's flow-control windows, in bytes. A fixed size also
// disables the pings by which gRPC estimates the bandwidth-delay product; they would take
// as many bytes as the digests.
const flowControlWindow = 64 << 10

// Timeouts of the server.
const (
	idleTimeout         = time.Minute
	setupTimeout        = 3 * time.Second
	gracefulStopTimeout = 2 * time.Second
)

// Serve serves other daemons on l until ctx ends, then closes l.
func (s *Service) Serve(ctx context.Context, l net.Listener) error {
	creds, err := serverCredentials(s.o.TLS)
	if err != nil {
		return err
	}
	server := grpc.NewServer(
		grpc.Creds(creds),
		grpc.MaxRecvMsgSize(maxExchangeBytes),
		grpc.MaxSendMsgSize(maxFetchBytes),
		grpc.MaxConcurrentStreams(maxStreamsPerConnection),
		grpc.ConnectionTimeout(setupTimeout),
		grpc.InitialWindowSize(flowControlWindow),
		grpc.InitialConnWindowSize(flowControlWindow),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: idleTimeout}),
	)
	peerpb.RegisterPeerServer(server, &handler{service: s})
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		stopServer(server)
	})
	err = server.Serve(&limitListener{Listener: l, maxOpen: maxConnections})
	if !stop() {
		<-stopped
		return nil
	}
	server.Stop()
	return eris.Wrap(err, "peer: serve")
}

// stopServer stops the server gracefully, or forcibly after gracefulStopTimeout.
func stopServer(server *grpc.Server) {
	timer := time.AfterFunc(gracefulStopTimeout, server.Stop)
	defer timer.Stop()
	server.GracefulStop()
}

func serverCredentials(files *TLSFiles) (credentials.TransportCredentials, error) {
	if files == nil {
		return insecure.NewCredentials(), nil
	}
	config, err := files.config()
	if err != nil {
		return nil, err
	}
	return credentials.NewTLS(config), nil
}

// handler implements the gRPC server of a Service.
type handler struct {
	peerpb.UnimplementedPeerServer
	service *Service
}

// Exchange handles a neighbour's digest and returns the own one.
func (h *handler) Exchange(_ context.Context, w *peerpb.Digest) (*peerpb.Digest, error) {
	s := h.service
	if !s.exchanges.TryAcquire(1) {
		return nil, status.Error(codes.ResourceExhausted, "too many exchanges at once")
	}
	defer s.exchanges.Release(1)
	now := time.Now()
	s.handleDigest(now, digestFromWire(now, w))
	return s.buildDigest(now), nil
}

// Fetch returns an accepted manifest.
func (h *handler) Fetch(ctx context.Context, r *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	s := h.service
	if !s.fetches.TryAcquire(1) {
		return nil, status.Error(codes.ResourceExhausted, "too many fetches at once")
	}
	defer s.fetches.Release(1)
	a, err := s.o.FetchManifest(ctx, revisionFromWire(r.GetRevision()))
	if err != nil {
		return nil, status.Error(codes.NotFound, err.Error())
	}
	if len(a.Manifest) > neighbour.MaxManifestBytes || len(a.Proof) > neighbour.MaxProofBytes {
		return nil, status.Error(codes.OutOfRange, "manifest or proof is too large")
	}
	return &peerpb.FetchReply{
		Revision: revisionToWire(a.Revision),
		Manifest: a.Manifest,
		Proof:    a.Proof,
	}, nil
}

// handleDigest evaluates a digest and acts on the verdict.
func (s *Service) handleDigest(now time.Time, d neighbour.Digest) {
	own := s.o.LocalDigest(now).Accepted
	s.mu.Lock()
	v := s.table.Receive(now, own, d)
	s.mu.Unlock()
	if v.Reason != "" {
		s.o.Observe(Event{EventDropped, d.Daemon, errors.New(string(v.Reason))})
		return
	}
	if v.Conflict {
		s.o.Observe(Event{EventConflict, d.Daemon, nil})
	}
	if v.Fetch {
		s.fetchInBackground(d.Daemon, d.Accepted)
	}
	s.o.OnDigest(now, d)
}
