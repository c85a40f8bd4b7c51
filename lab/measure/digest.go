package measure

import (
	"google.golang.org/protobuf/proto"

	"github.com/merlindock/merlindock/peer/peerpb"
)

// DigestSize returns the encoded size in bytes of a digest with the given number
// of endpoints and organisations, without the overhead of gRPC and TCP.
func DigestSize(evidence, organisations int) int {
	d := &peerpb.Digest{
		Daemon:   "entry-0001",
		Life:     1_700_000_000_000_000_000,
		Sequence: 100_000,
		Accepted: &peerpb.Revision{Offset: 1_000_000, Digest: make([]byte, 32)},
		Usage:    EncodeUsage(organisations),
	}
	for _, e := range NewEvidence(evidence) {
		d.Endpoints = append(d.Endpoints, &peerpb.Evidence{
			Endpoint:    string(e.Endpoint),
			Incarnation: uint64(e.Incarnation),
			Draining:    e.Draining,
			AgeMs:       1000,
		})
	}
	return proto.Size(d)
}
