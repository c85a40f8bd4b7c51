package limits

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/internal/wire"
)

// ErrMalformed reports a message that no daemon of this release sends.
var ErrMalformed = errors.New("limits: message is malformed")

// kindUpdates is the kind of message, with the version of its layout.
const kindUpdates = 0x41

// IsMessage tells whether a message is one of this package.
func IsMessage(data []byte) bool { return len(data) > 0 && data[0] == kindUpdates }

// Bounds of messages. One fits into a datagram on links of any usual size.
const (
	maxUpdates  = 16
	syncUpdates = 8 // in one message with what is known
	maxAge      = 10 * time.Minute
)

// update is what an endpoint said, as daemons tell each other.
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
	r := &wire.Reader{Rest: b}
	if r.Byte() != kindUpdates {
		return nil, ErrMalformed
	}
	var out []update
	for r.More() {
		u := update{endpoint: fleet.EndpointID(r.Text(endpointBytes)), limit: math.Float64frombits(r.Uint64()), age: r.Millis(maxAge)}
		if math.IsNaN(u.limit) || math.IsInf(u.limit, 0) {
			return nil, ErrMalformed
		}
		out = append(out, u)
	}
	if r.Bad || len(out) > maxUpdates {
		return nil, ErrMalformed
	}
	return out, nil
}
