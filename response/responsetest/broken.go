package responsetest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Answer is an answer to a request, and the rule that its head breaks; empty: none.
type Answer struct{ Name, Rule, Text string }

// body is that of the sound answers, and of the broken ones as far as they have one.
const body = "ok"

// BrokenAnswers returns answers whose heads break a rule each. All have the given header lines.
func BrokenAnswers(lines string) []Answer {
	sound := "HTTP/1.1 200 OK\r\n" + lines + "Content-Length: 2\r\n\r\n" + body
	ok := "HTTP/1.1 200 OK\r\n" + lines
	chunks := "\r\n\r\n2\r\nok\r\n0\r\n\r\n"
	all := []Answer{
		{"no version", "version", "HTTP 200 OK\r\n"},
		{"status 000", "status", "HTTP/1.1 000 None\r\n"},
		{"status 099", "status", "HTTP/1.1 099 None\r\n"},
		{"status 600", "status", "HTTP/1.1 600 None\r\n"},
		{"status of four digits", "status", "HTTP/1.1 2000 OK\r\n"},
		{"status of two digits", "status", "HTTP/1.1 20 OK\r\n"},
		{"no blank behind the status", "status", "HTTP/1.1 200OK\r\n"},
		{"switch of protocols", "upgrade", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n"},
	}
	for i := range all {
		all[i].Text += sound[len("HTTP/1.1 200 OK\r\n"):]
	}
	all = append(all, []Answer{
		{"status 000, no content", "status", "HTTP/1.1 000 None\r\n" + lines + "Content-Length: 0\r\n\r\n"},
		{"status 099, no length", "status", "HTTP/1.1 099 None\r\n" + lines + "\r\n"},
		{"status 000 after an interim answer", "status", "HTTP/1.1 100 Continue\r\n\r\n" + strings.Replace(sound, "200", "000", 1)},
		{"interim answer with a blank in a name", "name", "HTTP/1.1 103 Early Hints\r\na b: c\r\n\r\n" + sound},
		{"interim answer with chunks", "coding", "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n" + sound},
		{"answer without content, with chunks", "coding", "HTTP/1.1 204 No Content\r\n" + lines + "Transfer-Encoding: chunked" + chunks},
		{"answer without content, with a length", "length", "HTTP/1.1 204 No Content\r\n" + lines + "Content-Length: 2\r\n\r\n" + body},
		{"chunks of an older version", "coding", "HTTP/1.0 200 OK\r\n" + lines + "Transfer-Encoding: chunked" + chunks},
	}...)
	for _, c := range []struct{ name, rule, line string }{
		{"blank before the colon", "name", "a : b"},
		{"tab before the colon", "name", "a\t: b"},
		{"blank in a name", "name", "a b: c"},
		{"control byte in a name", "name", "a\x01: b"},
		{"byte beyond ASCII in a name", "name", "a\xe9: b"},
		{"separator in a name", "name", "a(b): c"},
		{"empty name", "name", ": b"},
		{"no colon", "name", "ab"},
		{"control byte in a value", "value", "a: b\x00"},
		{"carriage return in a value", "line_end", "a: b\rc: d"},
		{"hidden length", "name", "Content-Length : 2\r\nContent-Length: 1"},
		{"two lengths", "length", "Content-Length: 2\r\nContent-Length: 3"},
		{"list of lengths", "length", "Content-Length: 2, 2"},
		{"signed length", "length", "Content-Length: +2"},
		{"empty length", "length", "Content-Length:"},
		{"length beyond 63 bits", "length", "Content-Length: 9223372036854775808"},
		{"length on two lines", "continued", "Content-Length: 2\r\n 2"},
		{"coding on a second line", "coding", "Transfer-Encoding:\r\n chunked"},
		{"unknown coding", "coding", "Transfer-Encoding: gzip"},
		{"two codings", "coding", "Transfer-Encoding: gzip, chunked"},
		{"coding named twice", "coding", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked"},
		{"length and chunks", "framing", "Content-Length: 2\r\nTransfer-Encoding: chunked"},
		{"chunks and length", "framing", "Transfer-Encoding: chunked\r\nContent-Length: 2"},
	} {
		all = append(all, Answer{c.name, c.rule, ok + c.line + "\r\n\r\n" + body})
	}
	for _, name := range []string{"Transfer-Encoding ", "Transfer-Encoding\x01", "Transfer Encoding"} {
		all = append(all, Answer{"chunks under the name " + strings.ToValidUTF8(name, "?"), "name", ok + name + ": chunked" + chunks})
	}
	return all
}

// SoundAnswers returns answers with the body "ok" that break no rule, though some are unusual.
// All have the given header lines.
func SoundAnswers(lines string) []Answer {
	all := []Answer{
		{"length", "", "HTTP/1.1 200 OK\r\n" + lines + "Content-Length: 2\r\n\r\nok"},
		{"highest status", "", "HTTP/1.1 599 X\r\n" + lines + "Content-Length: 2\r\n\r\nok"},
		{"no status text", "", "HTTP/1.1 200\r\n" + lines + "Content-Length: 2\r\n\r\nok"},
		{"same length twice", "", "HTTP/1.1 200 OK\r\n" + lines + "Content-Length: 2\r\ncontent-length:2\t\r\n\r\nok"},
		{"chunks", "", "HTTP/1.1 200 OK\r\n" + lines + "transfer-encoding:  Chunked \r\n\r\n2\r\nok\r\n0\r\nSum: 1\r\n\r\n"},
		{"continued field", "", "HTTP/1.1 200 OK\r\n" + lines + "a: b\r\n c\r\nContent-Length: 2\r\n\r\nok"},
		{"lines without carriage return", "", "HTTP/1.1 200 OK\n" + lines + "Content-Length: 2\n\nok"},
		{"bytes beyond ASCII in a value", "", "HTTP/1.1 200 OK\r\n" + lines + "a: \xe9\r\nContent-Length: 2\r\n\r\nok"},
		{"names like those of framing", "", "HTTP/1.1 200 OK\r\n" + lines + "Content-Lengths: x\r\nX-Transfer-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok"},
	}
	return append(all, Answer{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\na: b\r\n\r\n" + all[0].Text})
}

// Early is a server that answers before it has read the request, and resets the connection.
type Early struct{ Address string }

// Ways in which an Early ends its connections.
const (
	EndsByReset    = "reset"           // while the request is read
	EndsByResetFIN = "end, then reset" // the answer ends, the request is still coming, then a reset
)

const (
	// earlyAnswerPause lets a client read a part of the answer before it ends.
	earlyAnswerPause = 5 * time.Millisecond
	// readBehindBytes is read of the rest of a request while it is answered.
	readBehindBytes = 512 << 10
)

// NewEarly starts a server that sends the answer as soon as it has read the head of a request,
// reads on for a part of the request's body, and ends the connection in the given way.
func NewEarly(t testing.TB, answer, how string) *Early {
	t.Helper()
	return &Early{Serve(t, func(c net.Conn) {
		tcp, ok := c.(*net.TCPConn)
		if !ok {
			return
		}
		_ = tcp.SetReadBuffer(bufferBytes)
		r := bufio.NewReader(c)
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		_, _ = io.CopyN(io.Discard, r, readBehindBytes)
		time.Sleep(earlyAnswerPause) // real sockets: the reset must not overtake the answer
		if how == EndsByResetFIN {
			_ = tcp.CloseWrite()
			time.Sleep(earlyAnswerPause)
		}
		_ = tcp.SetLinger(0)
	})}
}

// AnswerEarly answers after the first byte of a request, reads the request to its end and then
// closes the connection.
func AnswerEarly(c net.Conn, answer string) {
	r := bufio.NewReader(c)
	if _, err := r.Peek(1); err != nil {
		return
	}
	if _, err := io.WriteString(c, answer); err != nil {
		return
	}
	if req, err := http.ReadRequest(r); err == nil {
		_, _ = io.Copy(io.Discard, req.Body)
	}
}
