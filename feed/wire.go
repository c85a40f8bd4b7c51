package feed

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/klauspost/compress/s2"

	"github.com/merlindock/merlindock/internal/wire"
)

// Encoding of an answer: a byte with the format version, a byte with flags, and the
// fields, which are compressed from minCompressedBytes on.
const (
	formatVersion = 1

	flagAll        = 1 << 0
	flagMore       = 1 << 1
	flagCompressed = 1 << 2
	flagDetached   = 1 << 3

	// minCompressedBytes is the encoded size from which an answer is compressed.
	minCompressedBytes = 512
	// maxAnswerBytes limits an answer, before and after compression. A single record
	// written by an operator may have several megabytes.
	maxAnswerBytes = 16 << 20
	// minRecordBytes is the size of an encoded record with empty key and value.
	minRecordBytes = 3
)

// ErrMalformed is returned for data that is not an encoded answer.
var ErrMalformed = errors.New("feed: answer is malformed")

// MaxAnswerBytes is the largest size of an encoded answer.
const MaxAnswerBytes = maxAnswerBytes

// Append encodes the answer, appends it to the slice and returns that.
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

// Decode decodes an answer. The error wraps ErrMalformed. The values of the records
// share one backing array.
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
	r := wire.Reader{Remaining: body}
	out := Answer{Snapshot: flags&flagAll != 0, More: flags&flagMore != 0, Detached: flags&flagDetached != 0}
	out.Next = r.Varint()
	out.Age, out.Waited = time.Duration(r.Varint()), time.Duration(r.Varint())
	out.Stamp = r.Varint()
	n := r.Uvarint(uint64(len(r.Remaining) / minRecordBytes))
	out.Records = make([]Record, 0, n)
	offset := int64(0)
	for range n {
		offset += r.Varint()
		key := string(lengthPrefixed(&r))
		out.Records = append(out.Records, Record{Key: key, Value: lengthPrefixed(&r), Offset: offset})
	}
	if r.Malformed || len(r.Remaining) > 0 {
		return Answer{}, ErrMalformed
	}
	return out, nil
}

// lengthPrefixed reads a length and as many bytes.
func lengthPrefixed(r *wire.Reader) []byte { return r.Bytes(int(r.Uvarint(uint64(len(r.Remaining))))) }
