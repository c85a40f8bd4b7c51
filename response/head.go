package response

// statusLine is the beginning of a response. '#' stands for a digit.
const statusLine = "HTTP/1.# ###"

// headState is what the next byte of a head belongs to.
type headState uint8

const (
	inStatusLine headState = iota // the part given by statusLine
	inStatusText
	atLineStart
	inName
	inValue
	atLineEnd // after CR
	atHeadEnd // after CR on an empty line
	headComplete
)

// headScanner checks the bytes of heads as they arrive. It rejects the first byte that can't
// belong to a response, so that bytes that are no response are told from a head whose rest is
// still to come. It keeps nothing of them.
type headScanner struct {
	state    headState
	matched  int // bytes of statusLine
	maxBytes int64
	bytes    int64  // of all heads since reset
	fields   int    // of all heads since reset
	folds    bool   // a field was begun, so a line may continue it
	rejected *Error // of a byte before; it stands until reset, as net/http may read on after it
}

// reset begins the heads of the responses to another request.
func (s *headScanner) reset() { *s = headScanner{maxBytes: s.maxBytes} }

// next begins another head.
func (s *headScanner) next() { s.state, s.matched, s.folds = inStatusLine, 0, false }

// scan checks bytes, up to the end of the head.
func (s *headScanner) scan(b []byte) *Error {
	for _, c := range b {
		if s.rejected != nil || s.state == headComplete {
			break
		}
		s.bytes++
		ok := s.step(c)
		switch {
		case s.bytes > s.maxBytes:
			s.rejected = &Error{Bound: BoundHead, Limit: s.maxBytes, Read: s.bytes}
		case !ok:
			s.rejected = &Error{Bound: BoundSyntax, Read: s.bytes}
		case s.fields > maxFields:
			s.rejected = &Error{Bound: BoundFields, Limit: maxFields, Read: s.bytes}
		}
	}
	return s.rejected
}

// step returns false if the byte can't follow those before.
func (s *headScanner) step(c byte) bool {
	switch s.state {
	case inStatusLine:
		return s.stepStatusLine(c)
	case atLineStart:
		return s.stepLineStart(c)
	case inName:
		if c == ':' {
			s.state = inValue
			return true
		}
		return isNameByte(c) || c == ' ' // net/http accepts blanks before the colon
	case inStatusText, inValue:
		switch c {
		case '\r':
			s.state = atLineEnd
		case '\n':
			s.state = atLineStart
		default:
			return isTextByte(c)
		}
		return true
	case atLineEnd:
		s.state = atLineStart
		return c == '\n'
	case atHeadEnd:
		s.state = headComplete
		return c == '\n'
	}
	return false
}

func (s *headScanner) stepStatusLine(c byte) bool {
	want := statusLine[s.matched]
	isDigit := c >= '0' && c <= '9'
	if c == ' ' && s.matched > 0 && statusLine[s.matched-1] == ' ' {
		return true // net/http accepts several blanks
	}
	if c != want && (want != '#' || !isDigit) {
		return false
	}
	s.matched++
	if s.matched == len(statusLine) {
		s.state = inStatusText
	}
	return true
}

func (s *headScanner) stepLineStart(c byte) bool {
	switch c {
	case '\r':
		s.state = atHeadEnd
	case '\n':
		s.state = headComplete
	case ' ', '\t':
		s.state = inValue
		return s.folds
	default:
		s.state, s.folds = inName, true
		s.fields++
		return isNameByte(c)
	}
	return true
}

// isNameByte reports whether the byte may be part of a field's name (RFC 9110, token).
func isNameByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	}
	switch c {
	case '!', '#', '$', '%', '&', '\'', '*', '+', '-', '.', '^', '_', '`', '|', '~':
		return true
	}
	return false
}

// isTextByte reports whether the byte may be part of a value or of a status text.
func isTextByte(c byte) bool { return c >= ' ' && c != 0x7f || c == '\t' }
