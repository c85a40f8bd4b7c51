package response_test

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/merlindock/merlindock/response"
	"github.com/merlindock/merlindock/response/responsetest"
)

// Guards against a sound response that is rejected since a part of its request is sent while
// the response is read, or since another request on the connection comes before it.
func TestTransportAcceptsResponsesDuringRequests(t *testing.T) {
	const part = "a part of a body, which is not a head\r\n\r\n"
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := http.NewResponseController(w)
		_ = c.EnableFullDuplex()
		w.WriteHeader(http.StatusProcessing)
		// A piece of the response follows each piece of the request.
		buf := make([]byte, len(part))
		for {
			if _, err := io.ReadFull(r.Body, buf); err != nil {
				return
			}
			_, _ = w.Write(buf)
			_ = c.Flush()
		}
	}))
	defer s.Close()
	transport := response.NewTransport(&http.Transport{}, response.MaxControlHeadBytes)
	defer transport.CloseIdleConnections()
	for range 3 {
		in, out := io.Pipe()
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL, in)
		if err != nil {
			t.Fatal(err)
		}
		go func() { _, _ = io.WriteString(out, part) }()
		resp, err := transport.RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		buf := make([]byte, len(part))
		for range 20 {
			if _, err := io.ReadFull(resp.Body, buf); err != nil || string(buf) != part {
				t.Fatalf("%q, %v", buf, err)
			}
			_, _ = io.WriteString(out, part)
		}
		_ = out.Close()
		rest, err := io.ReadAll(resp.Body)
		if err != nil || string(rest) != part {
			t.Fatalf("%q, %v at the end", rest, err)
		}
		_ = resp.Body.Close()
	}
}

// Guards against a call that waits for its time limit although the bytes received can't become
// a response, on a new connection and on one that was used before.
func TestTransportEndsCallsAtBytesThatAreNoResponse(t *testing.T) {
	sound := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for name, c := range map[string]struct {
		first, second string
		bound         response.Bound
	}{
		"a zero":           {"\x00", "", response.BoundSyntax},
		"reused, a zero":   {sound, "HTTP/1.1 200 OK\r\n\x00", response.BoundSyntax},
		"reused, a head":   {sound, "HTTP/1.1 200 OK\r\na: " + strings.Repeat("b", response.MaxControlHeadBytes), response.BoundHead},
		"reused, a sequel": {sound, "ok", response.BoundSyntax},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			answers := []string{c.first}
			if c.second != "" {
				answers = append(answers, c.second)
			}
			address := responsetest.Answering(t, answers...)
			transport := response.NewTransport(&http.Transport{}, response.MaxControlHeadBytes)
			defer transport.CloseIdleConnections()
			began := time.Now()
			var err error
			for range answers {
				var body string
				if body, err = post(t, transport, address); err == nil && body != "ok" {
					t.Errorf("body %q", body)
				}
			}
			var exceeded *response.Error
			if !errors.As(err, &exceeded) || exceeded.Bound != c.bound || time.Since(began) > time.Second {
				t.Errorf("%v after %v, want bound %s", err, time.Since(began), c.bound)
			}
		})
	}
}

// Guards against an error that names a sound line, which the limit cut off, instead of the limit.
func TestTransportNamesTheLimitAtAnyByte(t *testing.T) {
	for padding := range len("a: b\r\n") {
		e := responsetest.NewEndless(t, "HTTP/1.1 200 OK\r\npadding: "+strings.Repeat("x", padding)+"\r\n", "a: b\r\n")
		transport := response.NewTransport(&http.Transport{ReadBufferSize: 1 << 10}, response.MaxControlHeadBytes)
		_, err := post(t, transport, e.Address)
		var exceeded *response.Error
		if !errors.As(err, &exceeded) || exceeded.Bound != response.BoundFields || !e.AwaitClose(time.Second) {
			t.Errorf("padding of %d: %v", padding, err)
		}
	}
}

// Guards against encrypted bytes that are taken for a malformed head, against a head without a
// limit where the scanner can't read it, and against connections of another dialer.
func TestTransportWithTLS(t *testing.T) {
	s := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		bytes, _ := strconv.Atoi(r.Header.Get("Bytes"))
		w.Header().Set("a", strings.Repeat("b", bytes))
	}))
	defer s.Close()
	base, ok := s.Client().Transport.(*http.Transport)
	if !ok {
		t.Fatalf("transport %T", s.Client().Transport)
	}
	var calls int
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		calls++
		return new(net.Dialer).DialContext(ctx, network, address)
	}
	transport := response.NewTransport(base, response.MaxControlHeadBytes)
	defer transport.CloseIdleConnections()
	for bytes, accepted := range map[int]bool{0: true, 10 << 10: true, 2 * response.MaxControlHeadBytes: false} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, s.URL, http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Bytes", strconv.Itoa(bytes))
		resp, err := transport.RoundTrip(req)
		if err == nil {
			_ = resp.Body.Close()
		}
		if (err == nil) != accepted {
			t.Errorf("a head of %d bytes: %v", bytes, err)
		}
	}
	if calls == 0 {
		t.Error("the dialer was not used")
	}
}

// post sends a request that net/http does not repeat on another connection.
func post(t *testing.T, transport http.RoundTripper, address string) (string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// Guards against rules that hold for plain connections only, and against encrypted ones that net/http
// no longer takes for HTTP/2.
func TestRulesHoldWithTLS(t *testing.T) {
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.Proto) }))
	s.EnableHTTP2 = true
	s.StartTLS()
	defer s.Close()
	clientOf := func(http2 bool) *response.Transport {
		base := s.Client().Transport.(*http.Transport).Clone()
		base.ForceAttemptHTTP2 = http2
		base.TLSClientConfig.NextProtos = nil
		return response.NewTransport(base, response.MaxControlHeadBytes)
	}
	read := func(transport *response.Transport, url string) (string, error) {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader("u"))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := transport.RoundTrip(req)
		if err != nil {
			return "", err
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		return string(body), err
	}
	for http2, want := range map[bool]string{false: "HTTP/1.1", true: "HTTP/2.0"} {
		transport := clientOf(http2)
		if body, err := read(transport, s.URL); err != nil || body != want {
			t.Errorf("%q, %v, want %s", body, err, want)
		}
		transport.CloseIdleConnections()
	}
	encrypted := &tls.Config{Certificates: s.TLS.Certificates}
	answering := func(text string) string {
		return responsetest.Serve(t, func(raw net.Conn) {
			c := tls.Server(raw, encrypted)
			if _, err := c.Read(make([]byte, 64<<10)); err != nil {
				return
			}
			_, _ = io.WriteString(c, text)
			_ = c.CloseWrite()
			_, _ = c.Read(make([]byte, 1))
		})
	}
	transport := clientOf(false)
	defer transport.CloseIdleConnections()
	for _, a := range responsetest.BrokenAnswers("") {
		if body, err := read(transport, "https://"+answering(a.Text)); ruleOf(err) != a.Rule {
			t.Errorf("%s: %q, %v, want rule %s", a.Name, body, err, a.Rule)
		}
	}
	for _, a := range append(responsetest.SoundAnswers(""), responsetest.Answer{Name: "until closed", Text: "HTTP/1.1 200 OK\r\n\r\nok"}) {
		if body, err := read(transport, "https://"+answering(a.Text)); body != "ok" || err != nil {
			t.Errorf("%s: %q, %v", a.Name, body, err)
		}
	}
}
