package httplog

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
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
