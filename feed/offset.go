package feed

// Offsets order the records of a topic over the store's whole life. A store that is
// restored from a copy gives the offsets after those of the copy out again, to other
// records; it then begins a new generation. The upper bits of an offset hold the
// generation, so that offsets, and numbers made from them, never repeat.
const (
	generationShift = 40
	// MaxGeneration is the highest generation that fits into an offset.
	MaxGeneration = 1<<(62-generationShift) - 1
)

// OffsetIn returns the offset of a position within a generation.
func OffsetIn(generation, position int64) int64 { return generation<<generationShift | position }

// Generation returns the generation of an offset.
func Generation(offset int64) int64 { return offset >> generationShift }

// Position returns the position of an offset within its generation.
func Position(offset int64) int64 { return offset & (1<<generationShift - 1) }
