// Package prefix derives keys for the leading parts of a prompt, such that different
// daemons derive equal keys for equal beginnings.
//
// A prompt is split into pieces: at every message boundary and, inside a long message,
// after every PieceTokens estimated tokens. The key of a piece is the chained hash of
// everything up to its end, seeded by the organisation, the model, the adapter and the
// weight versions. Equal keys therefore mean equal prompts up to that point, under the same
// organisation and the same weights.
//
// The package does no I/O, reads no clock and, once a Splitter has allocated its buffers,
// allocates nothing for a prompt.
package prefix

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"hash"

	"github.com/merlindock/merlindock/contract"
)

// Limits and defaults.
const (
	// KeySize is the length of a Key in bytes.
	KeySize = 16
	// MaxLevels bounds the levels of one prompt. Text after the last level has no key: it
	// is placed with the preceding text and needs no state.
	MaxLevels = 96
	// DefaultPieceTokens is the usual size of a piece of KV cache.
	DefaultPieceTokens = 2000
	// DefaultBytesPerToken is the assumed mean number of prompt bytes per token.
	DefaultBytesPerToken = 4.0
)

// ErrInvalidKey reports text that is not a key.
var ErrInvalidKey = errors.New("prefix: a key is 32 hexadecimal digits")

// Key identifies a prompt up to the end of one piece.
//
// It is SHA-256 truncated to 128 bits rather than a fast hash. With a fast hash a caller
// could craft a prompt whose key equals that of another prompt, and would get answers from
// KV cache computed for a different text. The seed gives every organisation a separate key
// space.
type Key [KeySize]byte

// String returns the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Uint64 returns 64 bits of the key, for tables and rendezvous hashing. Keys are uniformly
// distributed, so no further mixing is needed.
func (k Key) Uint64() uint64 { return binary.LittleEndian.Uint64(k[:8]) }

// MarshalText writes the key in hexadecimal.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText reads a key in hexadecimal. It returns ErrInvalidKey for other text.
func (k *Key) UnmarshalText(text []byte) error {
	if len(text) != 2*KeySize {
		return ErrInvalidKey
	}
	if _, err := hex.Decode(k[:], text); err != nil {
		return ErrInvalidKey
	}
	return nil
}

// Seed holds the properties that separate caches which must never be shared.
type Seed struct {
	Organisation   contract.OrganisationID
	Model          string
	Version        string // weight version of the model
	Adapter        string // empty: none
	AdapterVersion string
}

// Level is the end of one piece of a prompt.
type Level struct {
	Key     Key
	Tokens  int  // estimated tokens from the beginning of the prompt
	Message bool // the piece ends with a message
}

// Options configures the splitting of prompts. Zero fields take the defaults.
type Options struct {
	PieceTokens   int     // maximum length of a piece
	BytesPerToken float64 // for estimating tokens
}

// Splitter splits one prompt at a time into pieces. It is not safe for concurrent use; keep
// Splitters in a pool instead.
type Splitter struct {
	pieceBytes    int
	bytesPerToken float64

	sum          hash.Hash
	out          [sha256.Size]byte
	chain        Key
	pendingBytes int // bytes since the end of the last piece
	totalBytes   int // bytes since Reset
	levels       []Level
}

// NewSplitter returns a Splitter. Call Reset before each prompt.
func NewSplitter(o Options) *Splitter {
	if o.PieceTokens <= 0 {
		o.PieceTokens = DefaultPieceTokens
	}
	if o.BytesPerToken <= 0 {
		o.BytesPerToken = DefaultBytesPerToken
	}
	return &Splitter{
		pieceBytes:    max(1, int(float64(o.PieceTokens)*o.BytesPerToken)),
		bytesPerToken: o.BytesPerToken,
		sum:           sha256.New(),
		levels:        make([]Level, 0, MaxLevels),
	}
}

// Reset starts a new prompt under the seed. Levels returned before are overwritten.
func (c *Splitter) Reset(s Seed) {
	c.sum.Reset()
	c.writeField(string(s.Organisation))
	c.writeField(s.Model)
	c.writeField(s.Version)
	c.writeField(s.Adapter)
	c.writeField(s.AdapterVersion)
	c.chain = c.sumKey()
	c.pendingBytes, c.totalBytes = 0, 0
	c.levels = c.levels[:0]
	c.startPiece()
}

// Write adds bytes of the current message.
func (c *Splitter) Write(p []byte) {
	for len(p) > 0 {
		n := min(len(p), c.pieceBytes-c.pendingBytes)
		c.sum.Write(p[:n])
		c.pendingBytes += n
		c.totalBytes += n
		p = p[n:]
		if c.pendingBytes == c.pieceBytes {
			c.endPiece(false)
		}
	}
}

// EndMessage ends the current message. The role or name of a message is part of its bytes
// and must be written first.
func (c *Splitter) EndMessage() {
	if c.pendingBytes > 0 {
		c.endPiece(true)
		return
	}
	if n := len(c.levels); n > 0 {
		c.levels[n-1].Message = true
	}
}

// Levels returns the ends of the pieces, outermost first, valid until the next Reset. Bytes
// after the end of the last piece count in Tokens but are in no level.
func (c *Splitter) Levels() []Level { return c.levels }

// Tokens returns the estimated number of tokens written since Reset.
func (c *Splitter) Tokens() int { return c.estimate(c.totalBytes) }

func (c *Splitter) estimate(bytes int) int {
	return int(float64(bytes)/c.bytesPerToken + 0.5)
}

func (c *Splitter) endPiece(message bool) {
	c.chain = c.sumKey()
	if len(c.levels) < MaxLevels {
		c.levels = append(c.levels, Level{Key: c.chain, Tokens: c.estimate(c.totalBytes), Message: message})
	}
	c.pendingBytes = 0
	c.startPiece()
}

func (c *Splitter) startPiece() {
	c.sum.Reset()
	c.sum.Write(c.chain[:])
}

func (c *Splitter) sumKey() (k Key) {
	copy(k[:], c.sum.Sum(c.out[:0]))
	return k
}

// writeField writes a string preceded by its length, so that different seeds never hash the
// same bytes.
func (c *Splitter) writeField(s string) {
	var size [8]byte
	binary.LittleEndian.PutUint64(size[:], uint64(len(s)))
	copy(c.out[:], size[:])
	c.sum.Write(c.out[:len(size)])
	for len(s) > 0 {
		n := copy(c.out[:], s)
		c.sum.Write(c.out[:n])
		s = s[n:]
	}
}
