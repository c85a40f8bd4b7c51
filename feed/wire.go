package feed

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/klauspost/compress/s2"

	"github.com/merlindock/merlindock/internal/wire"
)

// The form of an answer: a byte with the version of the form, a byte with flags, and
// the fields, compressed where that pays.
const (
	formatVersion = 1

	flagAll        = 1 << 0
	flagMore       = 1 << 1
	flagCompressed = 1 << 2
	flagDetached   = 1 << 3

	// minCompressedBytes is the size from which an answer is compressed, in bytes.
	minCompressedBytes = 512
	// maxAnswerBytes bounds an answer, compressed or not. An operator's record may have
	// some megabytes by itself.
	maxAnswerBytes = 16 << 20
	// minRecordBytes is the size of the smallest record, in bytes.
	minRecordBytes = 3
)

// ErrMalformed says that bytes are no answer.
var ErrMalformed = errors.New("feed: answer is malformed")

// MaxAnswerBytes bounds the bytes of one answer on the wire.
const MaxAnswerBytes = maxAnswerBytes

// Append adds the answer's bytes.
func (a *Answer) Append(to []byte) []byte {
	size := 64
	for i := range a.Records {
		size += a.Records[i].size() + 16
	}
	body := make([]byte, 0, size)
	body = binary.AppendVarint(body, a.Next)
	body = binary.AppendVarint(body, int64(a.Age))
	body = binary.AppendVarint(body, int64(a.Waited))
	body = binary.AppendVarint(body, a.Stamp)
	body = binary.AppendUvarint(body, uint64(len(a.Records)))
	offset := int64(0)
	for i := range a.Records {
		r := &a.Records[i]
		body = binary.AppendVarint(body, r.Offset-offset)
		offset = r.Offset
		body = append(binary.AppendUvarint(body, uint64(len(r.Key))), r.Key...)
		body = append(binary.AppendUvarint(body, uint64(len(r.Value))), r.Value...)
	}
	flags := byte(0)
	if a.Snapshot {
		flags |= flagAll
	}
	if a.More {
		flags |= flagMore
	}
	if a.Detached {
		flags |= flagDetached
	}
	if len(body) >= minCompressedBytes {
		flags |= flagCompressed
		body = s2.Encode(nil, body)
	}
	return append(append(to, formatVersion, flags), body...)
}

// Decode reads an answer. The error is ErrForm. The records' values are parts of one
// piece of memory.
func Decode(data []byte) (Answer, error) {
	if len(data) < 2 || data[0] != formatVersion {
		return Answer{}, ErrMalformed
	}
	flags, body := data[1], data[2:]
	if flags&flagCompressed != 0 {
		n, err := s2.DecodedLen(body)
		if err != nil || n > maxAnswerBytes {
			return Answer{}, ErrMalformed
		}
		if body, err = s2.Decode(nil, body); err != nil {
			return Answer{}, fmt.Errorf("%w: %w", ErrMalformed, err)
		}
	}
	r := wire.Reader{Rest: body}
	out := Answer{Snapshot: flags&flagAll != 0, More: flags&flagMore != 0, Detached: flags&flagDetached != 0}
	out.Next = r.Varint()
	out.Age, out.Waited = time.Duration(r.Varint()), time.Duration(r.Varint())
	out.Stamp = r.Varint()
	n := r.Uvarint(uint64(len(r.Rest) / minRecordBytes))
	out.Records = make([]Record, 0, n)
	offset := int64(0)
	for range n {
		offset += r.Varint()
		key := string(lengthPrefixed(&r))
		out.Records = append(out.Records, Record{Key: key, Value: lengthPrefixed(&r), Offset: offset})
	}
	if r.Bad || len(r.Rest) > 0 {
		return Answer{}, ErrMalformed
	}
	return out, nil
}

// lengthPrefixed reads bytes behind their number.
func lengthPrefixed(r *wire.Reader) []byte { return r.Bytes(int(r.Uvarint(uint64(len(r.Rest))))) }
