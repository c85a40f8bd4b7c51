package httplog

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/merlindock/merlindock/ports"
	"github.com/merlindock/merlindock/response"
	"github.com/merlindock/merlindock/response/responsetest"
)

// Guards against a cached list that hides a change: a leaving endpoint would
// continue to receive requests.
func TestCachedListIsReplacedWhenETagChanges(t *testing.T) {
	tag, body := `"1"`, `[{"id":"a"}]`
	transfers := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", tag)
		if tag != "" && r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		transfers++
		_, _ = io.WriteString(w, body)
	}))
	defer srv.Close()
	c, err := New(Options{BaseURL: srv.URL})
	if err != nil {
		t.Fatal(err)
	}
	read := func(want string) {
		t.Helper()
		list, err := c.Endpoints(context.Background())
		if err != nil || len(list) != 1 || string(list[0].ID) != want {
			t.Fatalf("%v, %v", list, err)
		}
	}
	read("a")
	read("a")
	tag, body = `"2"`, `[{"id":"b"}]`
	read("b")
	read("b")
	if transfers != 2 {
		t.Errorf("list was transferred in full %d times", transfers)
	}
	tag = ""
	body = `[{"id":"c"}]`
	read("c")
	body = `[{"id":"d"}]`
	read("d")
}

// Guards against an answer of the platform that is used although its head is broken.
func TestBrokenHeadsAreRejected(t *testing.T) {
	for _, a := range responsetest.BrokenAnswers("") {
		c, err := New(Options{BaseURL: "http://" + responsetest.Answering(t, a.Text)})
		if err != nil {
			t.Fatal(err)
		}
		var broken *response.Error
		if _, err := c.Endpoints(t.Context()); !errors.As(err, &broken) || string(broken.Rule) != a.Rule {
			t.Errorf("%s: list %v, want rule %s", a.Name, err, a.Rule)
		}
		if _, err := c.Append(t.Context(), "s", []byte("x")); !errors.As(err, &broken) || errors.Is(err, ports.ErrNotAppended) {
			t.Errorf("%s: append %v", a.Name, err)
		}
	}
}

// Guards against a call that waits for its time limit although the bytes received can't become
// an answer of the platform.
func TestBytesThatAreNoResponseEndTheCallAtOnce(t *testing.T) {
	for name, prefix := range map[string]string{"a zero": "\x00", "half a head": "HTTP/1.1 200 OK\r\na\x00"} {
		c, err := New(Options{BaseURL: "http://" + responsetest.NewEndless(t, prefix, "").Address})
		if err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		var malformed *response.Error
		if _, err := c.Endpoints(t.Context()); !errors.As(err, &malformed) || time.Since(began) > time.Second {
			t.Errorf("%s: list %v after %v", name, err, time.Since(began))
		}
		if _, err := c.Append(t.Context(), "s", []byte("x")); !errors.As(err, &malformed) || errors.Is(err, ports.ErrNotAppended) || time.Since(began) > time.Second {
			t.Errorf("%s: append %v after %v", name, err, time.Since(began))
		}
	}
}
