package wire

import (
	"testing"
	"time"
)

// Guards against accepting a message that is truncated or contains a length
// beyond its end.
func TestReaderRejectsMissingOrOversizedFields(t *testing.T) {
	for name, read := range map[string]func(r *Reader){
		"byte":     func(r *Reader) { r.Byte() },
		"uint64":   func(r *Reader) { r.Uint64() },
		"uvarint":  func(r *Reader) { r.Uvarint(1) },
		"text":     func(r *Reader) { r.Text(4) },
		"duration": func(r *Reader) { r.Millis(time.Second) },
	} {
		r := &Reader{}
		if read(r); !r.Malformed || r.More() {
			t.Errorf("%s: an empty message was accepted", name)
		}
	}
	for name, b := range map[string][]byte{"length past the end": {3, 'a'}, "too long": {5, 'a', 'b', 'c', 'd', 'e'}} {
		r := &Reader{Remaining: b}
		if got := r.Text(4); !r.Malformed || got != "" && name == "too long" {
			t.Errorf("%s: %q", name, got)
		}
	}
	r := &Reader{Remaining: []byte{200, 1, 2}}
	if r.Uvarint(100); !r.Malformed {
		t.Error("a number above its maximum was accepted")
	}
	r = &Reader{Remaining: []byte{2, 'a', 'b', 7}}
	if text, b := r.Text(4), r.Byte(); text != "ab" || b != 7 || r.Malformed || r.More() {
		t.Errorf("%q, %d, %+v", text, b, r)
	}
}
