package prefix

import (
	"crypto/sha256"
)

// Segment is a piece of a prompt that its sender has named and counted.
type Segment struct {
	ID     string // equal ids stand for equal text
	Tokens int
}

// SegmentLevels names the beginnings of a prompt that is given as named parts. As with
// a Cutter, equal keys mean equal beginnings under the same seed. Each part
// counts as one message, and parts past MaxLevels are not named.
func SegmentLevels(seed Seed, parts []Segment) []Level {
	if len(parts) == 0 {
		return nil
	}
	sum := sha256.New()
	for _, field := range []string{string(seed.Organisation), seed.Model, seed.Version, seed.Adapter, seed.AdapterVersion} {
		sum.Write([]byte(field))
		sum.Write([]byte{0})
	}
	levels := make([]Level, 0, min(len(parts), MaxLevels))
	tokens := 0
	var out [sha256.Size]byte
	for _, p := range parts[:min(len(parts), MaxLevels)] {
		sum.Write([]byte(p.ID))
		sum.Write([]byte{0})
		tokens += p.Tokens
		levels = append(levels, Level{Key: Key(sum.Sum(out[:0])[:KeySize]), Tokens: tokens, Message: true})
	}
	return levels
}
