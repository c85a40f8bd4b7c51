package cutoff

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against an answer to a caller of HTTP/1.0 that looks whole though its handler has given
// it up, over TLS too, whose own end mark the server would send.
func TestAnswersThatAreGivenUpLookCut(t *testing.T) {
	for _, secure := range []bool{false, true} {
		for _, version := range []string{"1.0", "1.1"} {
			for _, cut := range []bool{false, true} {
				t.Run(fmt.Sprintf("TLS %t/%s/cut %t", secure, version, cut), func(t *testing.T) {
					t.Parallel()
					body := strings.Repeat("x", 100<<10)
					s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
						_, _ = io.WriteString(w, body)
						if cut {
							panic(http.ErrAbortHandler)
						}
					}))
					Guard(s.Config)
					var c net.Conn
					var err error
					if secure {
						s.StartTLS()
						c, err = tls.Dial("tcp", s.Listener.Addr().String(), &tls.Config{InsecureSkipVerify: true}) // of the test's own server
					} else {
						s.Start()
						c, err = net.Dial("tcp", s.Listener.Addr().String())
					}
					t.Cleanup(s.Close)
					if err != nil {
						t.Fatal(err)
					}
					defer c.Close()
					_, _ = fmt.Fprintf(c, "GET / HTTP/%s\r\nHost: h\r\n\r\n", version)
					resp, err := http.ReadResponse(bufio.NewReader(c), nil)
					if err != nil {
						if !cut {
							t.Fatal(err)
						}
						return // the head was cut off too
					}
					defer resp.Body.Close()
					got, err := io.ReadAll(resp.Body)
					if (err != nil) != cut || !cut && string(got) != body {
						t.Errorf("%d bytes, %v", len(got), err)
					}
				})
			}
		}
	}
}

// Guards against an answer whose last bytes can't be written after its handler has returned.
func TestAnswerThatIsNotFlushedLooksCut(t *testing.T) {
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c := http.NewResponseController(w)
		_, _ = io.WriteString(w, "a part")
		_ = c.Flush()
		_ = c.SetWriteDeadline(time.Unix(1, 0))
		_, _ = io.WriteString(w, " and the rest")
	}))
	Guard(s.Config)
	s.Start()
	t.Cleanup(s.Close)
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = fmt.Fprint(c, "GET / HTTP/1.0\r\n\r\n")
	if got, err := io.ReadAll(c); err == nil {
		t.Errorf("%q looks whole", got)
	}
}
