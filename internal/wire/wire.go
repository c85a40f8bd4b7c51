// Package wire decodes the fields of messages between daemons.
package wire

import (
	"encoding/binary"
	"time"
)

// Reader decodes the fields of a message in order. A field that is missing or
// out of range sets Malformed and discards the rest of the message; further
// reads return zero values.
type Reader struct {
	Remaining []byte
	Malformed bool
}

func (r *Reader) fail() { r.Malformed, r.Remaining = true, nil }

// More reports whether the message has further fields.
func (r *Reader) More() bool { return !r.Malformed && len(r.Remaining) > 0 }

// Bytes reads n bytes. The result shares the memory of the message.
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

// Uint64 reads eight bytes in little-endian order.
func (r *Reader) Uint64() uint64 { return binary.LittleEndian.Uint64(r.Bytes(8)) }

// Uvarint reads an unsigned varint that must not exceed most.
func (r *Reader) Uvarint(most uint64) uint64 {
	v, n := binary.Uvarint(r.Remaining)
	if n <= 0 || v > most {
		r.fail()
		return 0
	}
	r.Remaining = r.Remaining[n:]
	return v
}

// Varint reads a signed varint.
func (r *Reader) Varint() int64 {
	v, n := binary.Varint(r.Remaining)
	if n <= 0 {
		r.fail()
		return 0
	}
	r.Remaining = r.Remaining[n:]
	return v
}

// Text reads a string with a length prefix of one byte. Its length must not
// exceed most.
func (r *Reader) Text(most int) string {
	n := int(r.Byte())
	if n > most {
		r.fail()
		return ""
	}
	return string(r.Bytes(n))
}

// Millis reads a duration as an unsigned varint of milliseconds. It must not
// exceed most.
func (r *Reader) Millis(most time.Duration) time.Duration {
	return time.Duration(r.Uvarint(uint64(most/time.Millisecond))) * time.Millisecond
}
