package response

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"testing/iotest"
)

// boundOf returns the limit that an error names; empty: the error is none of this package.
func boundOf(err error) Bound {
	var e *Error
	if errors.As(err, &e) {
		return e.Bound
	}
	return ""
}

// readHead reads the head of a response without a body.
func readHead(r *Reader) error {
	resp, err := r.Next(http.MethodGet)
	if err == nil {
		err = resp.Body.Close()
	}
	return err
}

// repeated yields the prefix and then the filler without end.
func repeated(prefix, filler string) io.Reader {
	return io.MultiReader(strings.NewReader(prefix), &cycle{text: filler})
}

type cycle struct {
	text string
	at   int
}

func (c *cycle) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = c.text[c.at]
		c.at = (c.at + 1) % len(c.text)
	}
	return len(b), nil
}

// Guards against a head without end, in whatever part the end is missing.
func TestHeadWithoutEnd(t *testing.T) {
	for name, c := range map[string]struct {
		prefix, filler string
		want           Bound
	}{
		"zeros":           {"", "\x00", BoundSyntax},
		"version":         {"", "HTTP/1.", BoundSyntax},
		"status":          {"HTTP/1.1 ", "2", BoundSyntax},
		"blanks":          {"HTTP/1.1", " ", BoundHead},
		"status text":     {"HTTP/1.1 200 ", "x", BoundHead},
		"field name":      {"HTTP/1.1 200 OK\r\n", "x", BoundHead},
		"field value":     {"HTTP/1.1 200 OK\r\na:", "x", BoundHead},
		"fields":          {"HTTP/1.1 200 OK\r\n", "a:b\r\n", BoundFields},
		"continued field": {"HTTP/1.1 200 OK\r\na:b\r\n", " c\n", BoundHead},
		"first continued": {"HTTP/1.1 200 OK\r\n", " c\r\n", BoundSyntax},
		"carriage return": {"HTTP/1.1 200 OK", "\r", BoundSyntax},
		"zeros in name":   {"HTTP/1.1 200 OK\r\na", "\x00", BoundSyntax},
	} {
		for pieces, reader := range map[string]io.Reader{"whole": repeated(c.prefix, c.filler), "bytes": iotest.OneByteReader(repeated(c.prefix, c.filler))} {
			r := NewReader(reader)
			r.Begin(nil)
			if err := readHead(r); boundOf(err) != c.want {
				t.Errorf("%s, %s: %v, want bound %s", name, pieces, err, c.want)
			}
			if n := r.Received(); n > MaxHeadBytes+readBufferBytes {
				t.Errorf("%s, %s: %d bytes were read", name, pieces, n)
			}
		}
	}
}

// Guards against interim responses without end, each of which is short.
func TestHeadsOfOneRequestAreLimitedTogether(t *testing.T) {
	r := NewReader(repeated("", "HTTP/1.1 103 Early\r\na: b\r\n\r\n"))
	r.Begin(nil)
	n := 0
	var err error
	for ; err == nil; n++ {
		err = readHead(r)
	}
	if boundOf(err) != BoundFields || n > maxFields+1 {
		t.Errorf("%v after %d responses", err, n)
	}
	r.Begin(nil)
	if n := r.Received(); n != 0 {
		t.Errorf("%d bytes count for the next request", n)
	}
	if err := readHead(r); err != nil {
		t.Errorf("%v for the next request", err)
	}
}

// Guards against a head that is read beyond its end, or a body that is taken for a head.
func TestResponsesFollowEachOther(t *testing.T) {
	text := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n\x00\r\n\x00HTTP/1.1 204 None\r\n\r\nHTTP/1.1  200  Fine\nA: b\r\n  c\r\nContent-Length: 2\n\nok"
	for pieces, reader := range map[string]io.Reader{"whole": strings.NewReader(text), "bytes": iotest.OneByteReader(strings.NewReader(text))} {
		r := NewReader(reader)
		r.Begin(nil)
		for i, want := range []string{"\x00\r\n\x00", "", "ok"} {
			resp, err := r.Next(http.MethodGet) //nolint:bodyclose // nothing stays open
			if err != nil {
				t.Fatalf("%s, response %d: %v", pieces, i, err)
			}
			if body, err := io.ReadAll(resp.Body); err != nil || string(body) != want {
				t.Errorf("%s, response %d: %q, %v", pieces, i, body, err)
			}
		}
		if err := readHead(r); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%s: %v at the end", pieces, err)
		}
	}
}

// Guards against heads that net/http reads and this package rejects without a rule, or accepts
// against one, and against a head that is not rejected although it exceeds the limits.
func FuzzHead(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nA: b\r\n\r\n", "HTTP/1.0 404\n\n", "HTTP/1.1 200 OK\r\nA : b\r\n\tc\r\n\r\nbody", "\x00", "HTTP/1.1 1x",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\n: x\r\n\r\n",
		"HTTP/1.1 000 OK\r\n\r\n", "HTTP/1.1 101 OK\r\n\r\n", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 204 OK\r\nContent-Length: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length:\r\n 1\r\n\r\nx",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		f.Add([]byte(seed), byte(1))
	}
	f.Fuzz(func(t *testing.T, text []byte, piece byte) {
		want, wantErr := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), &http.Request{Method: http.MethodGet}) //nolint:bodyclose // nothing stays open
		r := NewReader(&pieces{text: text, size: int(piece) + 1})
		r.Begin(nil)
		got, err := r.Next(http.MethodGet) //nolint:bodyclose // nothing stays open
		if n := r.Received(); err != nil && n > MaxHeadBytes+readBufferBytes {
			t.Fatalf("%d bytes read: %v", n, err)
		}
		switch {
		case err == nil && wantErr != nil:
			t.Fatalf("accepted what net/http rejects: %v", wantErr)
		case err == nil && breaksRule(text):
			t.Fatalf("accepted against a rule: %d %v", got.StatusCode, got.Header)
		case err == nil:
			if got.StatusCode != want.StatusCode || len(got.Header) != len(want.Header) {
				t.Fatalf("%d %v, want %d %v", got.StatusCode, got.Header, want.StatusCode, want.Header)
			}
			a, errA := io.ReadAll(io.LimitReader(got.Body, 1<<20))
			b, errB := io.ReadAll(io.LimitReader(want.Body, 1<<20))
			if !bytes.Equal(a, b) || (errA == nil) != (errB == nil) && boundOf(errA) != BoundSyntax {
				t.Fatalf("body %q, %v, want %q, %v", a, errA, b, errB)
			}
		case wantErr == nil && !stricter(text, err):
			t.Fatalf("rejected what net/http accepts: %v", err)
		}
	})
}

// stricter reports whether the head is one that only this package rejects: longer than the
// limits, with control bytes in its status line, or against a rule.
func stricter(text []byte, err error) bool {
	if bound := boundOf(err); bound == BoundHead || bound == BoundFields {
		return true
	}
	line, _, _ := bytes.Cut(text, []byte("\n"))
	line = bytes.TrimSuffix(line, []byte("\r"))
	control := bytes.ContainsFunc(line, func(c rune) bool { return c < ' ' || c == 0x7f })
	return control || breaksRule(text)
}

var (
	soundStatus = regexp.MustCompile(`^HTTP/1\.[0-9] +[1-5][0-9]{2}( |$)`)
	soundField  = regexp.MustCompile("^[!#$%&'*+\\-.^_`|~0-9A-Za-z]+:")
	frames      = regexp.MustCompile(`(?i)^(content-length|transfer-encoding):[ \t]*(.*?)[ \t]*$`)
	soundLength = regexp.MustCompile(`^[0-9]{1,24}$`)
)

// breaksRule reports whether the head breaks a rule that net/http does not know.
func breaksRule(text []byte) bool {
	lines := strings.Split(string(text), "\n")
	status := strings.TrimSuffix(lines[0], "\r")
	if !soundStatus.MatchString(status) || strings.HasPrefix(strings.TrimLeft(status[len("HTTP/1.1"):], " "), "101") {
		return true
	}
	code := strings.TrimLeft(status[len("HTTP/1.1"):], " ")[:3]
	bodiless := code[0] == '1' || code == "204"
	var lengths, codings int
	var last string
	for _, line := range lines[1:] {
		line = strings.TrimSuffix(line, "\r")
		if line == "" {
			break
		}
		if line[0] == ' ' || line[0] == '\t' {
			if frames.MatchString(last) {
				return true
			}
			continue
		}
		last = line
		field := frames.FindStringSubmatch(line)
		switch {
		case !soundField.MatchString(line):
			return true
		case field == nil:
		case strings.EqualFold(field[1], "Content-Length"):
			lengths++
			if !soundLength.MatchString(field[2]) || bodiless && strings.Trim(field[2], "0") != "" {
				return true
			}
		default:
			codings++
			if codings > 1 || !strings.EqualFold(field[2], "chunked") || bodiless || strings.HasPrefix(status, "HTTP/1.0") {
				return true
			}
		}
	}
	return lengths > 0 && codings > 0
}

// pieces yields a text in pieces of one size.
type pieces struct {
	text []byte
	size int
}

func (p *pieces) Read(b []byte) (int, error) {
	if len(p.text) == 0 {
		return 0, io.EOF
	}
	n := copy(b[:min(len(b), p.size)], p.text)
	p.text = p.text[n:]
	return n, nil
}
