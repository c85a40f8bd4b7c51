package response

import (
	"bytes"
	"net/http"
	"strconv"
)

// Names and values of the fields that tell where a body ends, in lower case.
const (
	lengthName = "content-length"
	codingName = "transfer-encoding"
	chunked    = "chunked"
	// maxFramingValue is more bytes than a sound value has without blanks around it.
	maxFramingValue = 24
)

// framingField is a field that tells where a body ends.
type framingField uint8

const (
	otherField framingField = iota
	lengthField
	codingField
)

// framing checks the fields of a head that tell where its body ends (RFC 9112, 6). net/http
// drops a length beside a coding, and a coding in a response of version 1.0.
type framing struct {
	name      [len(codingName)]byte // of the field that is read, in lower case, as far as it fits
	nameLen   int                   // bytes of the whole name
	value     [maxFramingValue]byte // of a framing field
	valueLen  int                   // bytes of the whole value, without the blanks before it
	field     framingField          // whose value is read
	last      framingField          // of the line before
	hasLength bool
	hasCoding bool
	length    int64 // bytes
}

func (f *framing) beginName(c byte) {
	f.nameLen = 0
	f.addToName(c)
}

func (f *framing) addToName(c byte) {
	if f.nameLen < len(f.name) {
		if c >= 'A' && c <= 'Z' {
			c += 'a' - 'A'
		}
		f.name[f.nameLen] = c
	}
	f.nameLen++
}

func (f *framing) endName() {
	f.field, f.valueLen = otherField, 0
	if f.nameLen <= len(f.name) {
		switch string(f.name[:f.nameLen]) {
		case lengthName:
			f.field = lengthField
		case codingName:
			f.field = codingField
		}
	}
}

func (f *framing) addToValue(c byte) {
	if f.valueLen == 0 && (c == ' ' || c == '\t') {
		return
	}
	if f.valueLen < len(f.value) {
		f.value[f.valueLen] = c
	} else if c == ' ' || c == '\t' {
		return // behind the value, or it is rejected in any case
	}
	f.valueLen++
}

// endValue ends a line of a response of version 1.minor.
func (f *framing) endValue(minor byte) Rule {
	field := f.field
	f.field, f.last = otherField, field
	if field == otherField {
		return ""
	}
	value := bytes.TrimRight(f.value[:min(f.valueLen, len(f.value))], " \t")
	fits := f.valueLen <= len(f.value)
	if field == codingField {
		if !fits || f.hasCoding || minor == '0' || !bytes.EqualFold(value, []byte(chunked)) {
			return RuleCoding
		}
		f.hasCoding = true
		return ""
	}
	length, err := strconv.ParseUint(string(value), 10, 63)
	if !fits || err != nil || f.hasLength && f.length != int64(length) {
		return RuleLength
	}
	f.hasLength, f.length = true, int64(length)
	return ""
}

// endHead ends the head of a response.
func (f *framing) endHead(status int) Rule {
	bodiless := status < http.StatusOK || status == http.StatusNoContent
	switch {
	case f.hasCoding && f.hasLength:
		return RuleFraming
	case f.hasCoding && bodiless:
		return RuleCoding
	case f.length > 0 && bodiless:
		return RuleLength
	}
	return ""
}
