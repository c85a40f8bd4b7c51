package limits

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/internal/wire"
)

// ErrMalformed reports a message that is not in the format of this release.
var ErrMalformed = errors.New("limits: message is malformed")

// kindUpdates is the message type. A change of the layout takes a new number.
const kindUpdates = 0x41

// IsMessage reports whether data is a message of this package.
func IsMessage(data []byte) bool { return len(data) > 0 && data[0] == kindUpdates }

// Limits of messages. The longest one fits into a datagram at common MTUs.
const (
	maxUpdates     = 16
	maxSyncUpdates = 8 // updates per periodic message
	maxAge         = 10 * time.Minute
)

// update is the limit of an endpoint as exchanged between daemons.
type update struct {
	endpoint fleet.EndpointID
	limit    float64 // requests/s; negative: none
	age      time.Duration
}

func encode(all []update) []byte {
	b := []byte{kindUpdates}
	for _, t := range all[:min(len(all), maxUpdates)] {
		b = append(b, byte(len(t.endpoint)))
		b = append(b, t.endpoint...)
		b = binary.LittleEndian.AppendUint64(b, math.Float64bits(t.limit))
		b = binary.AppendUvarint(b, uint64(t.age/time.Millisecond))
	}
	return b
}

func decode(b []byte) ([]update, error) {
	r := &wire.Reader{Remaining: b}
	if r.Byte() != kindUpdates {
		return nil, ErrMalformed
	}
	var out []update
	for r.More() {
		u := update{endpoint: fleet.EndpointID(r.Text(maxEndpointBytes)), limit: math.Float64frombits(r.Uint64()), age: r.Millis(maxAge)}
		if math.IsNaN(u.limit) || math.IsInf(u.limit, 0) {
			return nil, ErrMalformed
		}
		out = append(out, u)
	}
	if r.Malformed || len(out) > maxUpdates {
		return nil, ErrMalformed
	}
	return out, nil
}
