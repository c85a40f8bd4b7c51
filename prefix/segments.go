package prefix

import (
	"crypto/sha256"
)

// Segment is a part of a prompt with an ID and a token count, both given by the sender.
type Segment struct {
	ID     string // equal IDs mean equal text
	Tokens int
}

// SegmentLevels returns the levels of a prompt that is given as segments. As with a
// Splitter, equal keys mean equal beginnings under the same seed. Each segment counts as
// one message; segments beyond MaxLevels get no level.
func SegmentLevels(seed Seed, segments []Segment) []Level {
	if len(segments) == 0 {
		return nil
	}
	sum := sha256.New()
	for _, field := range []string{string(seed.Organisation), seed.Model, seed.Version, seed.Adapter, seed.AdapterVersion} {
		sum.Write([]byte(field))
		sum.Write([]byte{0})
	}
	levels := make([]Level, 0, min(len(segments), MaxLevels))
	tokens := 0
	var out [sha256.Size]byte
	for _, p := range segments[:min(len(segments), MaxLevels)] {
		sum.Write([]byte(p.ID))
		sum.Write([]byte{0})
		tokens += p.Tokens
		levels = append(levels, Level{Key: Key(sum.Sum(out[:0])[:KeySize]), Tokens: tokens, Message: true})
	}
	return levels
}
