// Package wire reads the fields of messages between daemons.
package wire

import (
	"encoding/binary"
	"time"
)

// Reader reads the fields of a message one after another. A field that is missing or out
// of its bounds ends the message and sets Bad; the reads return zero values from then on.
type Reader struct {
	Remaining []byte
	Malformed bool
}

func (r *Reader) fail() { r.Malformed, r.Remaining = true, nil }

// More tells whether there is a further field.
func (r *Reader) More() bool { return !r.Malformed && len(r.Remaining) > 0 }

// Bytes reads n bytes. They stay those of the message.
func (r *Reader) Bytes(n int) []byte {
	if n > len(r.Remaining) {
		r.fail()
		return make([]byte, n)
	}
	v := r.Remaining[:n]
	r.Remaining = r.Remaining[n:]
	return v
}

// Byte reads one byte.
func (r *Reader) Byte() byte { return r.Bytes(1)[0] }

// Uint64 reads eight bytes, little-endian.
func (r *Reader) Uint64() uint64 { return binary.LittleEndian.Uint64(r.Bytes(8)) }

// Uvarint reads a number of variable length, at most the given one.
func (r *Reader) Uvarint(most uint64) uint64 {
	v, n := binary.Uvarint(r.Remaining)
	if n <= 0 || v > most {
		r.fail()
		return 0
	}
	r.Remaining = r.Remaining[n:]
	return v
}

// Varint reads a signed number of variable length.
func (r *Reader) Varint() int64 {
	v, n := binary.Varint(r.Remaining)
	if n <= 0 {
		r.fail()
		return 0
	}
	r.Remaining = r.Remaining[n:]
	return v
}

// Text reads a text behind its length in one byte, at most the given one.
func (r *Reader) Text(most int) string {
	n := int(r.Byte())
	if n > most {
		r.fail()
		return ""
	}
	return string(r.Bytes(n))
}

// Millis reads a duration in milliseconds, at most the given one.
func (r *Reader) Millis(most time.Duration) time.Duration {
	return time.Duration(r.Uvarint(uint64(most/time.Millisecond))) * time.Millisecond
}
