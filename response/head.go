package response

// statusLine is the beginning of a response. '#' stands for a digit.
const (
	statusLine  = "HTTP/1.# ###"
	minorAt     = len("HTTP/1.")
	statusAt    = len("HTTP/1.# ")
	leastStatus = 100
	mostStatus  = 599
)

// headState is what the next byte of a head belongs to.
type headState uint8

const (
	inStatusLine headState = iota // the part given by statusLine
	afterStatus
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
// still to come. It keeps nothing of them but the fields that frame the body.
type headScanner struct {
	state      headState
	matched    int  // bytes of statusLine
	minor      byte // digit of the version
	status     int  // as far as its digits were read
	framing    framing
	maxBytes   int64
	bytes      int64  // of all heads since reset
	fields     int    // of all heads since reset
	folds      bool   // a field was begun, so a line may continue it
	rejected   *Error // of a byte before; it stands until reset, as net/http may read on after it
	upgrade    bool   // the request asked for another protocol
	continuous bool   // the head of another response follows that of an interim one
}

// reset begins the heads of the responses to another request.
func (s *headScanner) reset() {
	*s = headScanner{maxBytes: s.maxBytes, upgrade: s.upgrade, continuous: s.continuous}
}

// next begins another head.
func (s *headScanner) next() {
	s.state, s.matched, s.status, s.folds, s.framing = inStatusLine, 0, 0, false, framing{}
}

// scan checks bytes, up to the end of the head.
func (s *headScanner) scan(b []byte) *Error {
	for _, c := range b {
		if s.state == headComplete && s.continuous && s.interim() {
			s.next()
		}
		if s.rejected != nil || s.state == headComplete {
			break
		}
		s.bytes++
		broken := s.step(c)
		switch {
		case s.bytes > s.maxBytes:
			s.rejected = &Error{Bound: BoundHead, Limit: s.maxBytes, Read: s.bytes}
		case broken != "":
			s.rejected = &Error{Bound: BoundSyntax, Rule: broken, Read: s.bytes}
		case s.fields > maxFields:
			s.rejected = &Error{Bound: BoundFields, Limit: maxFields, Read: s.bytes}
		}
	}
	return s.rejected
}

// interim reports whether another response to the request follows the one whose head was read.
func (s *headScanner) interim() bool { return s.status/100 == 1 && s.status != 101 }

// endsWithConnection reports whether nothing but the end of the connection tells the end of the
// response whose head was read.
func (s *headScanner) endsWithConnection() bool {
	return s.state == headComplete && !s.framing.hasLength && !s.framing.hasCoding
}

// step returns the rule that the byte breaks behind those before; empty: none.
func (s *headScanner) step(c byte) Rule {
	switch s.state {
	case inStatusLine:
		return s.stepStatusLine(c)
	case afterStatus:
		s.state = inStatusText
		if c != ' ' && c != '\r' && c != '\n' {
			return RuleStatus
		}
		return s.stepText(c)
	case atLineStart:
		return s.stepLineStart(c)
	case inName:
		switch {
		case c == ':':
			s.state = inValue
			s.framing.endName()
		case isNameByte(c):
			s.framing.addToName(c)
		default:
			return RuleName
		}
		return ""
	case inStatusText, inValue:
		return s.stepText(c)
	case atLineEnd:
		if c != '\n' {
			return RuleLineEnd
		}
		return s.endLine()
	case atHeadEnd:
		if c != '\n' {
			return RuleLineEnd
		}
		return s.endHead()
	}
	return RuleOther
}

// stepText takes a byte of a value or of the status text.
func (s *headScanner) stepText(c byte) Rule {
	switch {
	case c == '\r':
		s.state = atLineEnd
	case c == '\n':
		return s.endLine()
	case !isTextByte(c):
		return RuleValue
	case s.framing.field != otherField:
		s.framing.addToValue(c)
	}
	return ""
}

func (s *headScanner) endLine() Rule {
	s.state = atLineStart
	return s.framing.endValue(s.minor)
}

func (s *headScanner) endHead() Rule {
	s.state = headComplete
	return s.framing.endHead(s.status)
}

func (s *headScanner) stepStatusLine(c byte) Rule {
	want := statusLine[s.matched]
	isDigit := c >= '0' && c <= '9'
	broken := RuleVersion
	if s.matched >= statusAt {
		broken = RuleStatus
	}
	if c == ' ' && s.matched > 0 && statusLine[s.matched-1] == ' ' {
		return "" // net/http accepts several blanks
	}
	if c != want && (want != '#' || !isDigit) {
		return broken
	}
	switch {
	case s.matched == minorAt:
		s.minor = c
	case s.matched >= statusAt:
		s.status = s.status*10 + int(c-'0')
	}
	s.matched++
	if s.matched < len(statusLine) {
		return ""
	}
	s.state = afterStatus
	switch {
	case s.status < leastStatus || s.status > mostStatus:
		return RuleStatus
	case s.status == 101 && !s.upgrade:
		return RuleUpgrade
	}
	return ""
}

func (s *headScanner) stepLineStart(c byte) Rule {
	switch c {
	case '\r':
		s.state = atHeadEnd
	case '\n':
		return s.endHead()
	case ' ', '\t':
		s.state = inValue
		if !s.folds || s.framing.last != otherField {
			return RuleContinued
		}
	default:
		s.state, s.folds = inName, true
		s.fields++
		if !isNameByte(c) {
			return RuleName
		}
		s.framing.beginName(c)
	}
	return ""
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
