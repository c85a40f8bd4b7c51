package loadtable

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"github.com/merlindock/merlindock/internal/wire"
)

// ErrMalformed reports a message that is not in the format of this release.
var ErrMalformed = errors.New("loadtable: message is malformed")

// Kind is the type of a message. A change of a layout takes a new number.
type Kind byte

// Message types.
const (
	KindObserved Kind = 0x73 // reports that the sender received from endpoints
	KindMerged   Kind = 0x74 // the owner's table
)

// Bounds of messages. A message with MaxMerged entries of usual figures has 1,354 bytes.
const (
	MaxObserved = 48 // entries of a KindObserved message
	MaxMerged   = 96 // entries of a KindMerged message
	maxMessage  = 1400
	version     = 1
)

// IsMessage reports whether a message of another daemon is one of this package.
func IsMessage(data []byte) bool {
	return len(data) > 0 && (Kind(data[0]) == KindObserved || Kind(data[0]) == KindMerged)
}

// Message is a message between daemons about the endpoints of one service.
type Message struct {
	Kind    Kind
	Service uint64 // shares.Service
	Reports []Report
	// Implausible is the number of further reports that were dropped by Decode.
	Implausible int
}

// maxReports returns the bound on the entries of a message.
func (k Kind) maxReports() int {
	if k == KindObserved {
		return MaxObserved
	}
	return MaxMerged
}

// Encode returns the message. Reports beyond the bound of its type, or beyond the size of a
// datagram, are left out.
func (m *Message) Encode() []byte {
	b := binary.LittleEndian.AppendUint64([]byte{byte(m.Kind), version}, m.Service)
	for _, r := range m.Reports[:min(len(m.Reports), m.Kind.maxReports())] {
		next := binary.LittleEndian.AppendUint64(b, uint64(r.Key))
		for _, n := range [...]int{r.Running, r.Waiting, r.Slots, r.DelayPercent} {
			next = binary.AppendUvarint(next, uint64(max(n, 0)))
		}
		// Rounded up, as a report that is taken for newer than it is would cover
		// reservations that it does not count.
		age := (max(r.Age, 0) + time.Millisecond - 1) / time.Millisecond
		next = binary.AppendUvarint(next, uint64(age))
		if len(next) > maxMessage {
			break
		}
		b = next
	}
	return b
}

// Decode decodes a message. Reports that are implausible or too old are left out and
// counted. It returns ErrMalformed for a message that is not in the format of this release.
func Decode(data []byte) (Message, error) {
	r := wire.Reader{Remaining: data}
	m := Message{Kind: Kind(r.Byte())}
	v := r.Byte()
	m.Service = r.Uint64()
	if r.Malformed || v != version || !IsMessage(data) {
		return Message{}, ErrMalformed
	}
	for n := 0; r.More(); n++ {
		if n == m.Kind.maxReports() {
			return Message{}, ErrMalformed
		}
		key := Key(r.Uint64())
		var figures [5]uint64
		for i := range figures {
			figures[i] = r.Uvarint(math.MaxUint64)
		}
		next, ok := reportOf(key, figures)
		if !ok {
			m.Implausible++
			continue
		}
		m.Reports = append(m.Reports, next)
	}
	if r.Malformed {
		return Message{}, ErrMalformed
	}
	return m, nil
}

// reportOf returns the report with the figures of an entry, and false if it is implausible.
func reportOf(key Key, figures [5]uint64) (Report, bool) {
	for _, n := range figures[:4] {
		if n > MaxRequests {
			return Report{}, false
		}
	}
	age := figures[4]
	if age >= uint64(MaxAge/time.Millisecond) {
		return Report{}, false
	}
	return Report{
		Key:  key,
		Load: Load{Running: int(figures[0]), Waiting: int(figures[1]), Slots: int(figures[2]), DelayPercent: int(figures[3])},
		Age:  time.Duration(age) * time.Millisecond,
	}, true
}
