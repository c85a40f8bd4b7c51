package streamorigin

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/merlindock/merlindock/internal/wire"
)

// ErrMalformed reports a message that is not in the format of this release.
var ErrMalformed = errors.New("streamorigin: message is malformed")

// Message types. A change of the layout takes a new number.
const (
	kindTell  = 0x51 // records
	kindAsk   = 0x52
	kindReply = 0x53
)

// Limits of messages. A message fits into a datagram at common MTUs.
const (
	maxMessage  = 1400 // bytes
	maxText     = 255  // bytes of a service or a software version
	maxLifetime = time.Hour
)

// IsMessage reports whether a message of another daemon is one of this package.
func IsMessage(data []byte) bool {
	return len(data) > 0 && data[0] >= kindTell && data[0] <= kindReply
}

// toldRecord is a record on its way to an owner.
type toldRecord struct {
	id       ID
	origin   Origin
	lifetime time.Duration
}

// appendText appends a text, cut to maxText: an origin that does not fit matches no endpoint.
func appendText(b []byte, text string) []byte {
	text = text[:min(len(text), maxText)]
	return append(append(b, byte(len(text))), text...)
}

func appendRecord(b []byte, r *toldRecord) []byte {
	b = append(b, r.id[:]...)
	b = appendText(appendText(b, r.origin.Service), r.origin.Build)
	return binary.AppendUvarint(b, uint64(min(r.lifetime, maxLifetime)/time.Millisecond))
}

func decodeRecords(data []byte) ([]toldRecord, error) {
	var out []toldRecord
	r := wire.Reader{Remaining: data}
	for r.More() {
		next := toldRecord{id: ID(r.Bytes(idBytes))}
		next.origin.Service, next.origin.Build = r.Text(maxText), r.Text(maxText)
		next.lifetime = r.Millis(maxLifetime)
		out = append(out, next)
	}
	if r.Malformed {
		return nil, ErrMalformed
	}
	return out, nil
}

// ask asks an owner for the origin of a stream.
type ask struct {
	nonce   uint64
	id      ID
	service string // that the stream belongs to if there is no record
}

func (a *ask) encode() []byte {
	b := binary.LittleEndian.AppendUint64([]byte{kindAsk}, a.nonce)
	return appendText(append(b, a.id[:]...), a.service)
}

func decodeAsk(data []byte) (ask, error) {
	r := wire.Reader{Remaining: data}
	out := ask{nonce: r.Uint64(), id: ID(r.Bytes(idBytes)), service: r.Text(maxText)}
	if r.Malformed {
		return ask{}, ErrMalformed
	}
	return out, nil
}

// evidence is how an origin is known.
type evidence uint8

const (
	unknown   evidence = iota
	recorded           // the stream has a record
	ambiguous          // two streams have the ID
	single             // the service has had one software version throughout Window
	evidences
)

// reply answers an ask.
type reply struct {
	nonce    uint64
	evidence evidence
	origin   Origin // the zero value if unknown or ambiguous
	age      time.Duration
}

func (r *reply) encode() []byte {
	b := binary.LittleEndian.AppendUint64([]byte{kindReply}, r.nonce)
	b = append(b, byte(r.evidence))
	b = appendText(appendText(b, r.origin.Service), r.origin.Build)
	return binary.AppendUvarint(b, uint64(min(max(r.age, 0), maxLifetime)/time.Millisecond))
}

func decodeReply(data []byte) (reply, error) {
	r := wire.Reader{Remaining: data}
	out := reply{nonce: r.Uint64(), evidence: evidence(r.Byte())}
	out.origin.Service, out.origin.Build = r.Text(maxText), r.Text(maxText)
	out.age = r.Millis(maxLifetime)
	if r.Malformed || out.evidence >= evidences {
		return reply{}, ErrMalformed
	}
	return out, nil
}
