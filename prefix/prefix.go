// Package prefix names the leading parts of a prompt, so that two daemons that
// see prompts with a common beginning give that beginning the same keys.
//
// A prompt is cut into pieces: at every message boundary and, inside a long
// message, after every PieceTokens estimated tokens. The key of a piece is the
// chained hash of everything before and in it, seeded by the organisation, the
// model, the adapter and the weight versions. Equal keys therefore mean equal
// prompts up to that point, under the same customer and the same weights.
//
// The package does no I/O, reads no clock and, once a Cutter is warm, allocates
// nothing.
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
	// MaxLevels bounds the pieces of one prompt. What follows the last one is
	// not named: it is placed with its beginning and costs no state.
	MaxLevels = 96
	// DefaultPieceTokens is the usual size of a piece of KV cache.
	DefaultPieceTokens = 2000
	// DefaultBytesPerToken estimates tokens from the bytes of a prompt.
	DefaultBytesPerToken = 4.0
)

// ErrInvalidKey reports text that is not a key.
var ErrInvalidKey = errors.New("prefix: a key is 32 hexadecimal digits")

// Key identifies a prompt up to the end of one piece.
//
// It is SHA-256 cut to 128 bits and not a fast hash. With a fast hash a caller
// could craft a prompt whose key equals that of another one, and would be
// served from KV cache that was computed for a different text. The seed puts
// every organisation in a key space of its own.
type Key [KeySize]byte

// String returns the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Uint64 returns 64 bits of the key, for tables and rendezvous hashing. The
// key is uniform already, so no further mixing is needed.
func (k Key) Uint64() uint64 { return binary.LittleEndian.Uint64(k[:8]) }

// MarshalText writes the key in hexadecimal.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText reads a key in hexadecimal. It returns ErrKey for other text.
func (k *Key) UnmarshalText(text []byte) error {
	if len(text) != 2*KeySize {
		return ErrInvalidKey
	}
	if _, err := hex.Decode(k[:], text); err != nil {
		return ErrInvalidKey
	}
	return nil
}

// Seed holds what separates caches that may never be mixed.
type Seed struct {
	Organisation   contract.OrganisationID
	Model          string
	Version        string // weight version of the model
	Adapter        string // empty: none
	AdapterVersion string
}

// Level is the end of one piece.
type Level struct {
	Key     Key
	Tokens  int  // estimated tokens from the beginning of the prompt
	Message bool // the piece ends with a message
}

// Options says how prompts are cut. Zero fields take the defaults.
type Options struct {
	PieceTokens   int     // tokens of a piece
	BytesPerToken float64 // estimate
}

// Splitter cuts one prompt after the other. It is not safe for concurrent use;
// pool Cutters instead.
type Splitter struct {
	pieceBytes    int
	bytesPerToken float64

	sum    hash.Hash
	out    [sha256.Size]byte
	last   Key
	open   int // bytes since the last cut
	bytes  int // bytes since the beginning
	levels []Level
}

// NewSplitter returns a Cutter. Call Reset before each prompt.
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

// Reset begins a prompt under the seed. Levels returned before are overwritten.
func (c *Splitter) Reset(s Seed) {
	c.sum.Reset()
	c.field(string(s.Organisation))
	c.field(s.Model)
	c.field(s.Version)
	c.field(s.Adapter)
	c.field(s.AdapterVersion)
	c.last = c.finish()
	c.open, c.bytes = 0, 0
	c.levels = c.levels[:0]
	c.begin()
}

// Write adds bytes of the current message.
func (c *Splitter) Write(p []byte) {
	for len(p) > 0 {
		n := min(len(p), c.pieceBytes-c.open)
		c.sum.Write(p[:n])
		c.open += n
		c.bytes += n
		p = p[n:]
		if c.open == c.pieceBytes {
			c.cut(false)
		}
	}
}

// EndMessage ends the current message. The role or name of a message belongs
// to its bytes: write it first.
func (c *Splitter) EndMessage() {
	if c.open > 0 {
		c.cut(true)
		return
	}
	if n := len(c.levels); n > 0 {
		c.levels[n-1].Message = true
	}
}

// Levels returns the ends of the pieces, outermost first, valid until the next
// Reset. Bytes after the last cut are in Tokens but in no level.
func (c *Splitter) Levels() []Level { return c.levels }

// Tokens returns the estimated tokens of everything written since Reset.
func (c *Splitter) Tokens() int { return c.estimate(c.bytes) }

func (c *Splitter) estimate(bytes int) int {
	return int(float64(bytes)/c.bytesPerToken + 0.5)
}

func (c *Splitter) cut(message bool) {
	c.last = c.finish()
	if len(c.levels) < MaxLevels {
		c.levels = append(c.levels, Level{Key: c.last, Tokens: c.estimate(c.bytes), Message: message})
	}
	c.open = 0
	c.begin()
}

func (c *Splitter) begin() {
	c.sum.Reset()
	c.sum.Write(c.last[:])
}

func (c *Splitter) finish() (k Key) {
	copy(k[:], c.sum.Sum(c.out[:0]))
	return k
}

// field writes a string with its length, so that no two seeds run together
// into the same bytes.
func (c *Splitter) field(s string) {
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
