package main

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func runCommand(args ...string) (code int, out, errText string) {
	var o, e bytes.Buffer
	code = run(context.Background(), args, streams{out: &o, err: &e})
	return code, o.String(), e.String()
}

func tempFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestRefusesWrongCommandLine(t *testing.T) {
	for _, args := range [][]string{
		{},
		{"check"},
		{"check", "no-such-file"},
		{"publish", "file"},
		{"status"},
		{"drain", "-no-such-flag"},
	} {
		if code, _, text := runCommand(args...); code == exitOK || text == "" {
			t.Errorf("%v: code %d, error output %q", args, code, text)
		}
	}
}

// The daemon crashes after it has appended the manifest and before it answers. If a
// pipeline took this for a refusal, it would publish another manifest; exit code 3 and
// the text ask it to publish the same one again.
func TestPublishWithoutAnswerReportsUnknown(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	defer srv.Close()
	code, out, text := runCommand("publish", "-admin", srv.URL, "-token-file", tempFile(t, "t"), "-base", "0", tempFile(t, "{}"))
	if code != exitUnknown || !strings.Contains(out, `"unknown"`) || !strings.Contains(text, "again") {
		t.Errorf("code %d\n%s\n%s", code, out, text)
	}
}

func TestPublishOutcomesAndExitCodes(t *testing.T) {
	tests := []struct {
		status int
		body   string
		want   int
	}{
		{200, `{"outcome":"accepted","revision":{"offset":3}}`, exitOK},
		{409, `{"outcome":"refused","refused_by":2}`, exitFailed},
		{504, `{"outcome":"unknown"}`, exitUnknown},
		{422, `{"error":"the manifest is not valid"}`, exitFailed},
	}
	for _, test := range tests {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(test.status)
			_, _ = w.Write([]byte(test.body))
		}))
		code, _, _ := runCommand("publish", "-admin", srv.URL, "-token-file", tempFile(t, "t"), "-base", "0", tempFile(t, "{}"))
		srv.Close()
		if code != test.want {
			t.Errorf("%s: code %d, want %d", test.body, code, test.want)
		}
	}
}
