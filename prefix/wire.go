package prefix

import (
	"encoding/hex"
	"errors"
	"strconv"
	"strings"
)

// Bounds of the text that names a prompt's levels to an engine. Engines refuse
// requests whose header is over some 8 to 16 KiB; this leaves half of it. A
// level that is remembered and not named would be believed in for ever: an
// answer tells that it is cached, and no event could tell that it is not.
const (
	MaxFormattedLevels = MaxLevels // all that the daemon remembers, see below
	MaxFormattedBytes  = MaxFormattedLevels * (2*KeySize + 1 + maxTokenDigits + 1)

	maxTokenDigits = 9
	maxNamedTokens = 999_999_999
)

// ErrInvalidLevels reports text that does not name levels.
var ErrInvalidLevels = errors.New("prefix: levels are written as key:tokens,key:tokens with rising tokens")

// Format names levels as "key:tokens,key:tokens", outermost first, at most
// MaxFormattedLevels of them. It allocates the text and nothing else.
func Format(levels []Level) string {
	if len(levels) == 0 {
		return ""
	}
	levels = levels[:min(len(levels), MaxFormattedLevels)]
	var b strings.Builder
	var digits [2 * KeySize]byte
	b.Grow(len(levels) * (len(digits) + 1 + len("123456,")))
	for i := range levels {
		if levels[i].Tokens > maxNamedTokens {
			break
		}
		if i > 0 {
			b.WriteByte(',')
		}
		hex.Encode(digits[:], levels[i].Key[:])
		b.Write(digits[:])
		b.WriteByte(':')
		b.Write(strconv.AppendInt(digits[:0], int64(levels[i].Tokens), 10))
	}
	return b.String()
}

// Parse reads what Format wrote. It returns ErrLevels or ErrKey for other text.
func Parse(text string) ([]Level, error) {
	if text == "" {
		return nil, nil
	}
	if len(text) > MaxFormattedBytes {
		return nil, ErrInvalidLevels
	}
	var levels []Level
	for part := range strings.SplitSeq(text, ",") {
		key, count, _ := strings.Cut(part, ":")
		var l Level
		if err := l.Key.UnmarshalText([]byte(key)); err != nil {
			return nil, err
		}
		n, err := strconv.Atoi(count)
		if err != nil || n < 0 || n > maxNamedTokens || len(levels) == MaxFormattedLevels {
			return nil, ErrInvalidLevels
		}
		if len(levels) > 0 && n < levels[len(levels)-1].Tokens {
			return nil, ErrInvalidLevels
		}
		l.Tokens = n
		levels = append(levels, l)
	}
	return levels, nil
}

// ReusableLevels returns the leading levels worth remembering. The last one is the
// question, which only this request has.
func ReusableLevels(levels []Level) []Level {
	return levels[:max(len(levels)-1, min(len(levels), 1))]
}
