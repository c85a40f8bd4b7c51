package prefix

import (
	"encoding/hex"
	"errors"
	"strconv"
	"strings"
)

// Bounds of the text that lists a prompt's levels for an engine. Engines reject requests
// whose headers exceed 8 to 16 KiB; this uses half of that. All levels that the daemon
// records must be listed: an answer would show an unlisted level as cached, and no event
// could ever report its removal.
const (
	MaxFormattedLevels = MaxLevels // all that the daemon records, see above
	MaxFormattedBytes  = MaxFormattedLevels * (2*KeySize + 1 + maxTokenDigits + 1)

	maxTokenDigits     = 9
	maxFormattedTokens = 999_999_999
)

// ErrInvalidLevels reports text that is not a list of levels.
var ErrInvalidLevels = errors.New("prefix: levels are written as key:tokens,key:tokens with rising tokens")

// Format formats at most MaxFormattedLevels levels as "key:tokens,key:tokens", outermost
// first. It allocates nothing but the result.
func Format(levels []Level) string {
	if len(levels) == 0 {
		return ""
	}
	levels = levels[:min(len(levels), MaxFormattedLevels)]
	var b strings.Builder
	var digits [2 * KeySize]byte
	b.Grow(len(levels) * (len(digits) + 1 + len("123456,")))
	for i := range levels {
		if levels[i].Tokens > maxFormattedTokens {
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

// Parse parses the output of Format. It returns ErrInvalidLevels or ErrInvalidKey for other
// text.
func Parse(text string) ([]Level, error) {
	if text == "" {
		return nil, nil
	}
	if len(text) > MaxFormattedBytes {
		return nil, ErrInvalidLevels
	}
	var levels []Level
	for item := range strings.SplitSeq(text, ",") {
		key, count, _ := strings.Cut(item, ":")
		var l Level
		if err := l.Key.UnmarshalText([]byte(key)); err != nil {
			return nil, err
		}
		n, err := strconv.Atoi(count)
		if err != nil || n < 0 || n > maxFormattedTokens || len(levels) == MaxFormattedLevels {
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

// ReusableLevels returns the leading levels worth recording. The last level is the
// question, which no other request shares.
func ReusableLevels(levels []Level) []Level {
	return levels[:max(len(levels)-1, min(len(levels), 1))]
}
