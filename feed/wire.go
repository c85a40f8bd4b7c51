package feed

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/klauspost/compress/s2"
)

// The form of an answer: a byte with the version of the form, a byte with flags, and
// the fields, compressed where that pays.
const (
	formVersion = 1

	flagAll        = 1 << 0
	flagMore       = 1 << 1
	flagCompressed = 1 << 2
	flagDetached   = 1 << 3

	// compressFrom is the size from which an answer is compressed, in bytes.
	compressFrom = 512
	// answerBytes bounds an answer, compressed or not. An operator's record may have
	// some megabytes by itself.
	answerBytes = 16 << 20
	// leastRecord is the size of the smallest record, in bytes.
	leastRecord = 3
)

// ErrForm says that bytes are no answer.
var ErrForm = errors.New("feed: answer is malformed")

// AnswerBytes bounds the bytes of one answer on the wire.
const AnswerBytes = answerBytes

// Append adds the answer's bytes.
func (a *Answer) Append(to []byte) []byte {
	size := 64
	for i := range a.Records {
		size += a.Records[i].size() + 16
	}
	body := make([]byte, 0, size)
	body = binary.AppendVarint(body, a.Next)
	body = binary.AppendVarint(body, int64(a.Age))
	body = binary.AppendVarint(body, int64(a.Held))
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
	if a.All {
		flags |= flagAll
	}
	if a.More {
		flags |= flagMore
	}
	if a.Detached {
		flags |= flagDetached
	}
	if len(body) >= compressFrom {
		flags |= flagCompressed
		body = s2.Encode(nil, body)
	}
	return append(append(to, formVersion, flags), body...)
}

// Decode reads an answer. The error is ErrForm. The records' values are parts of one
// piece of memory.
func Decode(data []byte) (Answer, error) {
	if len(data) < 2 || data[0] != formVersion {
		return Answer{}, ErrForm
	}
	flags, body := data[1], data[2:]
	if flags&flagCompressed != 0 {
		n, err := s2.DecodedLen(body)
		if err != nil || n > answerBytes {
			return Answer{}, ErrForm
		}
		if body, err = s2.Decode(nil, body); err != nil {
			return Answer{}, fmt.Errorf("%w: %w", ErrForm, err)
		}
	}
	r := reader{rest: body}
	out := Answer{All: flags&flagAll != 0, More: flags&flagMore != 0, Detached: flags&flagDetached != 0}
	out.Next = r.varint()
	out.Age, out.Held = time.Duration(r.varint()), time.Duration(r.varint())
	out.Stamp = r.varint()
	n := r.uvarint()
	if n > uint64(len(r.rest)/leastRecord) {
		return Answer{}, ErrForm
	}
	out.Records = make([]Record, 0, n)
	offset := int64(0)
	for range n {
		offset += r.varint()
		key, value := r.bytes(), r.bytes()
		out.Records = append(out.Records, Record{Key: string(key), Value: value, Offset: offset})
	}
	if r.failed || len(r.rest) > 0 {
		return Answer{}, ErrForm
	}
	return out, nil
}

// reader reads the fields of an answer. After a field that is malformed all others are
// zero.
type reader struct {
	rest   []byte
	failed bool
}

func (r *reader) varint() int64 {
	v, n := binary.Varint(r.rest)
	return int64(r.took(uint64(v), n))
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.rest)
	return r.took(v, n)
}

func (r *reader) took(v uint64, n int) uint64 {
	if n <= 0 || r.failed {
		r.failed = true
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *reader) bytes() []byte {
	n := r.uvarint()
	if r.failed || n > uint64(len(r.rest)) {
		r.failed = true
		return nil
	}
	out := r.rest[:n:n]
	r.rest = r.rest[n:]
	return out
}
