package daemon

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/gossip"
	"github.com/merlindock/merlindock/ledger"
	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/neighbour"
	"github.com/merlindock/merlindock/peer"
	"github.com/merlindock/merlindock/peer/peerpb"
	"github.com/merlindock/merlindock/ports"
)

// Delays between manifest requests to neighbours, and interval of the check for
// missing records.
const (
	minBootstrapDelay = 5 * time.Millisecond
	maxBootstrapDelay = 250 * time.Millisecond
	gapCheckInterval  = 10 * time.Second
)

// daemonList holds the last non-empty list of daemons from the platform.
type daemonList struct {
	list atomic.Pointer[[]ports.Daemon]
}

func (l *daemonList) get() []ports.Daemon {
	if p := l.list.Load(); p != nil {
		return *p
	}
	return nil
}

// readDaemons reads the platform's list of daemons and passes it to the
// components that use it. A failed read or an empty list changes nothing.
func (d *Daemon) readDaemons(ctx context.Context) {
	list, err := d.o.VMs.Daemons(ctx)
	if err != nil || len(list) == 0 {
		return
	}
	d.daemons.list.Store(&list)
	live := 0
	for i := range list {
		if list[i].State != "leaving" {
			live++
		}
	}
	d.fleet.placement.SetDaemons(max(live, 1))
	d.admission.setDaemons(live)
	peers := make([]gossip.Peer, 0, len(list))
	for i := range list {
		peers = append(peers, gossip.Peer{Name: list[i].ID, Address: list[i].PeerAddress})
	}
	d.guard.SetDaemons(peers)
	d.endpointLimits.SetDaemons(peers)
}

func (d *Daemon) peerOptions() peer.Options {
	s := d.o.Settings
	o := peer.Options{
		Self: ports.Daemon{
			ID:          s.Daemon.ID,
			Zone:        s.Daemon.Zone,
			PeerAddress: s.Listen.Peers,
		},
		Incarnation:              uint64(d.startedAt.UnixNano()),
		Daemons:                  d.daemons.get,
		LocalDigest:              d.localDigest,
		OnDigest:                 d.onDigest,
		OnPlacementAnnouncements: d.fleet.receiveAnnouncements,
		OnMessage:                d.receiveMessage,
		FetchManifest:            d.fetchManifest,
		AwaitRevision: func(ctx context.Context, r neighbour.Revision) bool {
			return d.manifests.Await(ctx, r.Offset)
		},
		Merge:       d.adoptManifest,
		Observe:     d.observePeers,
		Neighbours:  neighbour.Options{ZonePairs: s.Peers.ZonePairs},
		Interval:    s.Peers.Interval,
		CallTimeout: s.Peers.Timeout,
		Seed:        seedOf(s.Daemon.ID, d.startedAt),
	}
	if dial := d.o.Dial; dial != nil {
		o.Dial = func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, "tcp", address) }
	}
	if s.TLS.PeersCert != "" {
		o.TLS = &peer.TLSFiles{
			Certificate: s.TLS.PeersCert,
			Key:         s.TLS.PeersKey,
			Authority:   s.TLS.PeersCA,
			Name:        s.TLS.PeersName,
		}
	}
	return o
}

func (d *Daemon) observePeers(e peer.Event) {
	d.metrics.Scope.Tagged(map[string]string{"kind": string(e.Kind)}).Counter("peer_events").Inc(1)
	fields := []any{"kind", string(e.Kind), "daemon", e.Daemon}
	if e.Err != nil {
		fields = append(fields, "error", e.Err.Error())
	}
	log := d.o.Logs.For(logging.ComponentPeers)
	if e.Kind == peer.EventConflict || e.Kind == peer.EventRejected {
		log.Warn("Neighbour's manifest was rejected.", fields...)
		return
	}
	log.Debug("Exchange.", fields...)
}

// revisionOf converts a revision of the log to that of the neighbours'
// messages. The digest is zero if it is not a SHA-256 sum in hexadecimal.
func revisionOf(r ledger.Revision) neighbour.Revision {
	out := neighbour.Revision{Offset: r.Offset}
	sum, err := hex.DecodeString(string(r.Digest))
	if err == nil && len(sum) == sha256.Size {
		copy(out.Digest[:], sum)
	}
	return out
}

// localDigest returns the state that the next digest to the neighbours
// contains.
func (d *Daemon) localDigest(now time.Time) peer.LocalState {
	l := peer.LocalState{Endpoints: d.fleet.recentEvidence(now), Usage: d.admission.encodeUsage(now, !d.shutdown.ready())}
	if v := d.manifests.InForce(); v != nil {
		l.Accepted = revisionOf(v.Revision)
	}
	return l
}

// onDigest applies the endpoint evidence and the usage of a neighbour's digest.
func (d *Daemon) onDigest(now time.Time, n neighbour.Digest) {
	d.fleet.applyNeighbourEvidence(now, n.Endpoints)
	d.admission.mergeUsage(now, contract.DaemonID(n.Daemon), n.Usage)
}

// fetchManifest returns the manifest in force and its checkpoint for a
// neighbour. It fails if no manifest has been accepted.
func (d *Daemon) fetchManifest(context.Context, neighbour.Revision) (peer.Accepted, error) {
	c, ok := d.manifests.Checkpoint()
	if !ok || c.Revision.Offset == 0 {
		return peer.Accepted{}, eris.New("daemon: no accepted manifest")
	}
	text := c.Manifest
	c.Manifest = nil
	encoded, err := json.Marshal(c)
	if err != nil {
		return peer.Accepted{}, eris.Wrap(err, "daemon: encode checkpoint")
	}
	return peer.Accepted{Revision: revisionOf(c.Revision), Manifest: text, Proof: encoded}, nil
}

// adoptManifest brings a neighbour's manifest into force if the log's state
// accepts its checkpoint.
func (d *Daemon) adoptManifest(_ context.Context, from string, a peer.Accepted) error {
	var c ledger.Checkpoint
	if err := json.Unmarshal(a.Proof, &c); err != nil {
		return eris.Wrapf(err, "daemon: decode checkpoint from %s", from)
	}
	c.Manifest = a.Manifest
	return eris.Wrapf(d.manifests.Adopt(c), "daemon: manifest from %s", from)
}

// bootstrap requests the manifest in force from neighbours until there is one,
// so that a daemon that starts while the log is down can serve at once. The
// first requests follow each other quickly, because the list of daemons is read
// at the same time.
func (d *Daemon) bootstrap(ctx context.Context) {
	for pause := minBootstrapDelay; d.manifests.InForce() == nil; pause = min(2*pause, maxBootstrapDelay) {
		if _, err := d.peers.Bootstrap(ctx); err == nil {
			return
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// requestCheckpoints requests a checkpoint from neighbours while records of
// the log are missing here. Neighbours announce only newer manifests; without
// the request, a daemon that was isolated for longer than the retention could
// not publish until the next checkpoint, hours later.
func (d *Daemon) requestCheckpoints(ctx context.Context) error {
	ticker := time.NewTicker(gapCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if d.manifests.NeedsCheckpoint() {
			// A failed request is repeated at the next tick.
			_, _ = d.peers.Bootstrap(ctx)
		}
	}
}

// encodeUsage encodes the organisations' usage for the neighbours, with as many
// pools as fit into one digest. With many models the pools take turns: a digest
// with all of them would use up the budget for control traffic and be sent
// rarely.
func (a *admission) encodeUsage(now time.Time, leaving bool) []byte {
	pools := a.listPools()
	names := slices.Sorted(maps.Keys(pools))
	a.digestMu.Lock()
	defer a.digestMu.Unlock()
	var u peerpb.Usage
	size := 0
	for i := range names {
		name := names[(a.nextPool+i)%len(names)]
		text, err := pools[name].digest(now, leaving)
		if err != nil {
			continue
		}
		size += len(name) + len(text) + poolUsageOverhead
		if len(u.Pools) > 0 && size > maxUsageBytes {
			break
		}
		u.Pools = append(u.Pools, &peerpb.PoolUse{Pool: name, Digest: text})
	}
	if len(names) > 0 {
		a.nextPool = (a.nextPool + len(u.Pools)) % len(names)
	}
	text, err := proto.Marshal(&u)
	if err != nil || len(text) > neighbour.MaxUsage {
		return nil
	}
	return text
}

func (p *admissionPool) digest(now time.Time, leaving bool) ([]byte, error) {
	p.mu.Lock()
	digest := p.core.Digest(now, leaving)
	p.mu.Unlock()
	return digest.AppendBinary(nil)
}

// maxUsageBytes limits the usage in one digest. The first pool is always
// included.
const maxUsageBytes = 1 << 10

// poolUsageOverhead is an upper bound of the encoding overhead of one pool.
const poolUsageOverhead = 16

// mergeUsage applies a neighbour's usage. Pools that cannot be decoded are
// skipped: each digest is complete, so the next one replaces it.
func (a *admission) mergeUsage(now time.Time, from contract.DaemonID, usage []byte) {
	var u peerpb.Usage
	if proto.Unmarshal(usage, &u) != nil {
		return
	}
	pools := a.listPools()
	for _, use := range u.Pools {
		p := pools[use.Pool]
		digest, err := contract.ParseDigest(use.Digest)
		if p == nil || err != nil {
			continue
		}
		p.mu.Lock()
		p.core.MergeDigest(now, from, digest)
		p.deliverDecisions()
		p.mu.Unlock()
	}
}
