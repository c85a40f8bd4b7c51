package peer

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/neighbour"
	"github.com/merlindock/merlindock/peer/peerpb"
	"github.com/merlindock/merlindock/ports"
)

// buildDigest builds this daemon's next digest. It contains ages instead of times, since
// the daemons' clocks differ.
func (s *Service) buildDigest(now time.Time) *peerpb.Digest {
	local := s.o.LocalDigest(now)
	d := &peerpb.Digest{
		Daemon:   s.o.Self.ID,
		Life:     s.o.Incarnation,
		Sequence: s.sequence.Add(1),
		Accepted: revisionToWire(local.Accepted),
	}
	if len(local.Usage) <= neighbour.MaxUsage {
		d.Usage = local.Usage
	}
	for _, e := range local.Endpoints[:min(len(local.Endpoints), neighbour.MaxEndpoints)] {
		age := min(max(now.Sub(e.At), 0), neighbour.MaxEvidenceAge)
		d.Endpoints = append(d.Endpoints, &peerpb.Evidence{
			Endpoint:    string(e.Endpoint),
			Incarnation: uint64(e.Incarnation),
			Draining:    e.Draining,
			AgeMs:       uint32(age.Milliseconds()),
		})
	}
	s.digestBytes.Store(int64(proto.Size(d)))
	return d
}

// digestFromWire converts a digest. Ages are converted to times relative to now.
func digestFromWire(now time.Time, w *peerpb.Digest) neighbour.Digest {
	d := neighbour.Digest{
		Daemon:      w.GetDaemon(),
		Incarnation: w.GetLife(),
		Sequence:    w.GetSequence(),
		Accepted:    revisionFromWire(w.GetAccepted()),
		Usage:       w.GetUsage(),
	}
	for _, e := range w.GetEndpoints() {
		d.Endpoints = append(d.Endpoints, fleet.Evidence{
			Endpoint:    fleet.EndpointID(e.GetEndpoint()),
			Incarnation: fleet.Incarnation(e.GetIncarnation()),
			Draining:    e.GetDraining(),
			At:          now.Add(-time.Duration(e.GetAgeMs()) * time.Millisecond),
		})
	}
	return d
}

func revisionToWire(r neighbour.Revision) *peerpb.Revision {
	if r.Offset == 0 {
		return nil
	}
	return &peerpb.Revision{Offset: int64(r.Offset), Digest: r.Digest[:]}
}

// revisionFromWire converts a revision. A digest of the wrong length yields offset -1,
// which neighbour.Table rejects as invalid.
func revisionFromWire(w *peerpb.Revision) neighbour.Revision {
	if w == nil {
		return neighbour.Revision{}
	}
	r := neighbour.Revision{Offset: ports.Offset(w.GetOffset())}
	if len(w.GetDigest()) != len(r.Digest) {
		return neighbour.Revision{Offset: -1}
	}
	copy(r.Digest[:], w.GetDigest())
	return r
}
