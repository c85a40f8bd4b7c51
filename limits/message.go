package limits

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"github.com/merlindock/merlindock/fleet"
)

// ErrMessage reports a message that no daemon of this release sends.
var ErrMessage = errors.New("limits: message is malformed")

// kindUpdates is the kind of message, with the version of its layout.
const kindUpdates = 0x41

// Owns tells whether a message is one of this package.
func Owns(data []byte) bool { return len(data) > 0 && data[0] == kindUpdates }

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
	if !Owns(b) {
		return nil, ErrMessage
	}
	var out []update
	for b = b[1:]; len(b) > 0; {
		length := int(b[0])
		if length > endpointBytes || len(b) < 1+length+8 || len(out) == maxUpdates {
			return nil, ErrMessage
		}
		t := update{endpoint: fleet.EndpointID(b[1 : 1+length])}
		b = b[1+length:]
		t.limit = math.Float64frombits(binary.LittleEndian.Uint64(b))
		age, n := binary.Uvarint(b[8:])
		if n <= 0 || age > uint64(maxAge/time.Millisecond) || math.IsNaN(t.limit) || math.IsInf(t.limit, 0) {
			return nil, ErrMessage
		}
		t.age = time.Duration(age) * time.Millisecond
		b = b[8+n:]
		out = append(out, t)
	}
	return out, nil
}
