package forward

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
)

// identityWire is a codec whose endpoints state their start at /identity.
type identityWire struct{ plainWire }

func (identityWire) IdentityPath() string { return "/identity" }

func (identityWire) DecodeIdentity(body []byte) int64 {
	born, _ := strconv.ParseInt(string(body), 10, 64)
	return born
}

// Guards against a request that another incarnation of its endpoint runs, and against one
// that is asked for its identity before each request.
func TestRequestReachesTheSameIncarnationOnly(t *testing.T) {
	for name, c := range map[string]struct {
		identity string
		status   int
		same     bool // the request depends on the incarnation
		born     int64
		sent     bool
		asked    int32
	}{
		"same":                {"7", http.StatusOK, true, 7, true, 1},
		"other":               {"8", http.StatusOK, true, 7, false, 2},
		"not stated":          {"", http.StatusOK, true, 7, true, 1},
		"no such path":        {"8", http.StatusNotFound, true, 7, true, 1},
		"ID of one process":   {"8", http.StatusOK, true, 0, true, 0},
		"any incarnation":     {"8", http.StatusOK, false, 7, true, 0},
		"suspected, no stake": {"8", http.StatusOK, false, 7, true, 0},
	} {
		var asked, ran atomic.Int32
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/identity" {
				asked.Add(1)
				w.WriteHeader(c.status)
				fmt.Fprint(w, c.identity)
				return
			}
			ran.Add(1)
			w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
			fmt.Fprint(w, "whole")
		}))
		client := NewClient(identityWire{}, nil)
		target := Target{Key: "e@7", ID: "e", Address: s.Listener.Addr().String(), Born: c.born}
		client.Suspect(target)
		for i := range 2 {
			out := outgoing(fmt.Sprint("a", i))
			out.SameIncarnation = c.same
			out.Header = http.Header{"Attempt-Id": {out.AttemptID}}
			a, err := client.Send(t.Context(), target, out)
			if sent := err == nil; sent != c.sent {
				t.Fatalf("%s: sent %v, %v", name, sent, err)
			}
			if err != nil {
				if !errors.Is(err, ErrNotSent) || !errors.Is(err, ErrOtherIncarnation) {
					t.Errorf("%s: %v", name, err)
				}
				continue
			}
			body := make([]byte, 5)
			_, err = a.Body.Read(body)
			_, end := a.Body.Read(make([]byte, 1))
			a.Close(end != nil)
			if string(body) != "whole" {
				t.Errorf("%s: %q, %v", name, body, err)
			}
		}
		if asked.Load() != c.asked || !c.sent && ran.Load() > 0 {
			t.Errorf("%s: asked %d times, %d requests ran", name, asked.Load(), ran.Load())
		}
		if suspected := client.MayHaveRestarted(target); suspected != (c.born != 0 && (!c.same || !c.sent)) {
			t.Errorf("%s: suspected %v afterwards", name, suspected)
		}
		s.Close()
	}
}
