package quarantine

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/internal/wire"
)

// ErrMalformed reports a message that no daemon of this release sends.
var ErrMalformed = errors.New("quarantine: message is malformed")

// Kinds of message, with the version of their layout.
const (
	kindReport = 0x31 // ends that requests were present at
	kindHolds  = 0x32 // holds and clearances
)

// IsMessage tells whether a message is one of this package.
func IsMessage(data []byte) bool {
	return len(data) > 0 && (data[0] == kindReport || data[0] == kindHolds)
}

// Bounds of messages. One fits into a datagram on links of any usual size.
const (
	maxReports = 16
	maxUpdates = 32
	syncHolds  = 8 // in one message with what is held
	maxRound   = 1 << 20
)

// report is an end that a request was present at.
type report struct {
	fingerprint Fingerprint
	endpoint    fleet.EndpointID
	age         time.Duration
}

// update is a hold as daemons tell each other of it. Of two about one request the later
// round counts, and within a round that it is cleared.
type update struct {
	fingerprint Fingerprint
	round       uint64
	cleared     bool
	since       time.Duration // the first of the ends, as an age
	left        time.Duration // until it is forgotten
}

func encodeReports(all []report) []byte {
	b := []byte{kindReport}
	for _, r := range all[:min(len(all), maxReports)] {
		b = append(b, r.fingerprint[:]...)
		b = append(b, byte(len(r.endpoint)))
		b = append(b, r.endpoint...)
		b = binary.AppendUvarint(b, uint64(r.age/time.Millisecond))
	}
	return b
}

func encodeHolds(all []update) []byte {
	b := []byte{kindHolds}
	for _, t := range all[:min(len(all), maxUpdates)] {
		b = append(b, t.fingerprint[:]...)
		state := t.round << 1
		if t.cleared {
			state |= 1
		}
		b = binary.AppendUvarint(b, state)
		b = binary.AppendUvarint(b, uint64(t.since/time.Millisecond))
		b = binary.AppendUvarint(b, uint64(t.left/time.Millisecond))
	}
	return b
}

// decodeAll reads entries of a message until its end.
func decodeAll[T any](b []byte, kind byte, most int, entry func(*wire.Reader) T) ([]T, error) {
	r := &wire.Reader{Rest: b}
	if r.Byte() != kind {
		return nil, ErrMalformed
	}
	var out []T
	for r.More() {
		out = append(out, entry(r))
	}
	if r.Bad || len(out) > most {
		return nil, ErrMalformed
	}
	return out, nil
}

func decodeReports(b []byte) ([]report, error) {
	return decodeAll(b, kindReport, maxReports, func(r *wire.Reader) report {
		return report{
			fingerprint: Fingerprint(r.Bytes(fingerprintBytes)), endpoint: fleet.EndpointID(r.Text(endpointBytes)), age: r.Millis(evidenceTime),
		}
	})
}

func decodeHolds(b []byte) ([]update, error) {
	return decodeAll(b, kindHolds, maxUpdates, func(r *wire.Reader) update {
		u := update{fingerprint: Fingerprint(r.Bytes(fingerprintBytes))}
		state := r.Uvarint(maxRound<<1 | 1)
		u.round, u.cleared = state>>1, state&1 == 1
		u.since, u.left = r.Millis(HoldDuration+evidenceTime), r.Millis(HoldDuration)
		return u
	})
}
