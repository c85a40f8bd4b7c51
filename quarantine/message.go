package quarantine

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/merlindock/merlindock/fleet"
)

// ErrMessage reports a message that no daemon of this release sends.
var ErrMessage = errors.New("quarantine: message is malformed")

// Kinds of message, with the version of their layout.
const (
	kindReport = 0x31 // ends that requests were present at
	kindHolds  = 0x32 // holds and clearances
)

// Owns tells whether a message is one of this package.
func Owns(data []byte) bool {
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

// fields reads the fields of a message and notes if one is missing.
type fields struct {
	b   []byte
	bad bool
}

func (r *fields) take(n int) []byte {
	if len(r.b) < n {
		r.bad, r.b = true, nil
		return make([]byte, n)
	}
	v := r.b[:n]
	r.b = r.b[n:]
	return v
}

func (r *fields) number(most uint64) uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 || v > most {
		r.bad, r.b = true, nil
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *fields) duration(most time.Duration) time.Duration {
	return time.Duration(r.number(uint64(most/time.Millisecond))) * time.Millisecond
}

// decodeAll reads entries of a message until its end.
func decodeAll[T any](b []byte, kind byte, most int, entry func(*fields) T) ([]T, error) {
	if len(b) == 0 || b[0] != kind {
		return nil, ErrMessage
	}
	var out []T
	for r := (&fields{b: b[1:]}); len(r.b) > 0; {
		next := entry(r)
		if r.bad || len(out) == most {
			return nil, ErrMessage
		}
		out = append(out, next)
	}
	return out, nil
}

func decodeReports(b []byte) ([]report, error) {
	return decodeAll(b, kindReport, maxReports, func(r *fields) report {
		fingerprint := Fingerprint(r.take(fingerprintBytes))
		length := int(r.take(1)[0])
		if length > endpointBytes {
			r.bad = true
			return report{}
		}
		return report{fingerprint: fingerprint, endpoint: fleet.EndpointID(r.take(length)), age: r.duration(evidenceTime)}
	})
}

func decodeHolds(b []byte) ([]update, error) {
	return decodeAll(b, kindHolds, maxUpdates, func(r *fields) update {
		t := update{fingerprint: Fingerprint(r.take(fingerprintBytes))}
		state := r.number(maxRound<<1 | 1)
		t.round, t.cleared = state>>1, state&1 == 1
		t.since = r.duration(HoldTime + evidenceTime)
		t.left = r.duration(HoldTime)
		return t
	})
}
