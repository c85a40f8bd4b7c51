package prefix

// AffinityLevel returns the index of the level that a prompt is placed by, or -1
// for a prompt with no level.
//
// It follows from the prompt alone, so that daemons agree on it without having
// seen the same requests. The last message is the question, which nobody
// shares. Of the others the deepest that is at least half as long as the
// longest counts as the document: a preamble is shorter than the document
// after it, and so are the turns of a conversation, which must stay where its
// first turn went. A prompt whose last message is longer than all others
// carries document and question in one message; there the first whole piece
// stands for the document, and the second where nothing goes before it.
func AffinityLevel(levels []Level) int {
	last := len(levels) - 1
	if last <= 0 {
		return last
	}
	longest, begin := longestMessage(levels)
	if levels[last].Tokens-tokensBefore(levels, begin) > longest && begin < last {
		if begin == 0 {
			return min(1, last-1)
		}
		return begin
	}
	for i := begin - 1; i > 0; i-- {
		if levels[i].Message && 2*messageTokens(levels, i) >= longest {
			return i
		}
	}
	return max(begin-1, 0)
}

// longestMessage returns the tokens of the longest message before the last
// one, and the index of the last one's first level.
func longestMessage(levels []Level) (longest, begin int) {
	for i := range len(levels) - 1 {
		if levels[i].Message {
			longest = max(longest, messageTokens(levels, i))
			begin = i + 1
		}
	}
	return longest, begin
}

// messageTokens is the length of the message that ends at level i.
func messageTokens(levels []Level, i int) int {
	start := i
	for start > 0 && !levels[start-1].Message {
		start--
	}
	return levels[i].Tokens - tokensBefore(levels, start)
}

func tokensBefore(levels []Level, i int) int {
	if i == 0 {
		return 0
	}
	return levels[i-1].Tokens
}
