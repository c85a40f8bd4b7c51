package prefix

// AffinityLevel returns the index of the level that determines the placement of a prompt,
// or -1 for a prompt without levels.
//
// It depends on the prompt alone, so that daemons agree on it without having seen the same
// requests. The last message is the question, which no other request shares. Of the others,
// the document is the deepest message that is at least half as long as the longest one: a
// preamble is shorter than the document after it, and so are the turns of a conversation,
// which must stay with its first turn. A prompt whose last message is longer than all
// others contains document and question in one message; its first complete piece then
// stands for the document, or the second if no message precedes it.
func AffinityLevel(levels []Level) int {
	last := len(levels) - 1
	if last <= 0 {
		return last
	}
	longest, begin := longestMessage(levels)
	if levels[last].Tokens-tokensBeforeLevel(levels, begin) > longest && begin < last {
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

// longestMessage returns the length in tokens of the longest message before the last one,
// and the index of the last message's first level.
func longestMessage(levels []Level) (longest, begin int) {
	for i := range len(levels) - 1 {
		if levels[i].Message {
			longest = max(longest, messageTokens(levels, i))
			begin = i + 1
		}
	}
	return longest, begin
}

// messageTokens returns the length in tokens of the message that ends at level i.
func messageTokens(levels []Level, i int) int {
	start := i
	for start > 0 && !levels[start-1].Message {
		start--
	}
	return levels[i].Tokens - tokensBeforeLevel(levels, start)
}

func tokensBeforeLevel(levels []Level, i int) int {
	if i == 0 {
		return 0
	}
	return levels[i-1].Tokens
}
