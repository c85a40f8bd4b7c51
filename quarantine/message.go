package quarantine

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/internal/wire"
)

// ErrMalformed reports a message that is not in the format of this release.
var ErrMalformed = errors.New("quarantine: message is malformed")

// Message types. A change of the layout takes a new number.
const (
	kindReport = 0x33 // crashes with the requests and segments that were running
	kindHolds  = 0x34 // holds and clearances
)

// IsMessage reports whether data is a message of this package.
func IsMessage(data []byte) bool {
	return len(data) > 0 && (data[0] == kindReport || data[0] == kindHolds)
}

// Limits of messages. The longest one fits into a datagram at common MTUs.
const (
	maxReports   = 16
	maxUpdates   = 12
	maxSyncHolds = 8 // holds per periodic message
	maxRound     = 1 << 20
)

// report is a crash of an endpoint that was running a request or a prompt with a segment.
type report struct {
	fingerprint Fingerprint
	endpoint    fleet.EndpointID
	age         time.Duration
	version     int64 // of the weights
}

// update is a hold or a clearance as exchanged between daemons. Of two updates for the
// same request the one with the higher round applies, and within a round the clearance.
type update struct {
	fingerprint Fingerprint
	round       uint64
	cleared     bool
	crashAge    time.Duration // age of the first crash
	left        time.Duration // until the entry expires
	version     int64         // newest weights under which an endpoint crashed
	crashes     crashSet
}

func encodeReports(all []report) []byte {
	b := []byte{kindReport}
	for _, r := range all[:min(len(all), maxReports)] {
		b = append(b, r.fingerprint[:]...)
		b = append(b, byte(len(r.endpoint)))
		b = append(b, r.endpoint...)
		b = binary.AppendUvarint(b, uint64(r.age/time.Millisecond))
		b = binary.AppendUvarint(b, uint64(r.version))
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
		b = binary.AppendUvarint(b, uint64(t.crashAge/time.Millisecond))
		b = binary.AppendUvarint(b, uint64(t.left/time.Millisecond))
		b = binary.AppendUvarint(b, uint64(t.version))
		b = append(b, byte(len(t.crashes)))
		for _, e := range t.crashes {
			b = binary.LittleEndian.AppendUint32(b, e)
		}
	}
	return b
}

// decodeAll reads the entries of a message with the given type. More than most entries
// are an error.
func decodeAll[T any](b []byte, kind byte, most int, entry func(*wire.Reader) T) ([]T, error) {
	r := &wire.Reader{Remaining: b}
	if r.Byte() != kind {
		return nil, ErrMalformed
	}
	var out []T
	for r.More() {
		out = append(out, entry(r))
	}
	if r.Malformed || len(out) > most {
		return nil, ErrMalformed
	}
	return out, nil
}

func decodeReports(b []byte) ([]report, error) {
	return decodeAll(b, kindReport, maxReports, func(r *wire.Reader) report {
		return report{
			fingerprint: Fingerprint(r.Bytes(fingerprintBytes)), endpoint: fleet.EndpointID(r.Text(maxEndpointBytes)), age: r.Millis(crashTTL),
			version: int64(r.Uvarint(math.MaxInt64)),
		}
	})
}

func decodeHolds(b []byte) ([]update, error) {
	return decodeAll(b, kindHolds, maxUpdates, func(r *wire.Reader) update {
		u := update{fingerprint: Fingerprint(r.Bytes(fingerprintBytes))}
		state := r.Uvarint(maxRound<<1 | 1)
		u.round, u.cleared = state>>1, state&1 == 1
		u.crashAge, u.left = r.Millis(HoldDuration+crashTTL), r.Millis(HoldDuration)
		u.version = int64(r.Uvarint(math.MaxInt64))
		for range min(r.Byte(), maxCrashSet) {
			u.crashes.add(binary.LittleEndian.Uint32(r.Bytes(4)))
		}
		return u
	})
}
