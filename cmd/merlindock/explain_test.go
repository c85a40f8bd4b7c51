package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Two daemons logged the request. Guards against an explanation without the reason, which
// is in a line that does not carry the request's id.
func TestExplainPrintsRequestAndPrecedingLines(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	a := write("a.log", `{"time":"2026-02-03T10:58:01.000Z","endpoint":"i-1","message":"router: Endpoint's entry was removed."}
{"time":"2026-02-03T10:58:01.100Z","endpoint":"i-2","message":"router: Endpoint changed."}
{"time":"2026-02-03T10:58:02.000Z","id":"r1","status":200,"code":"stream_broken","attempt":"i-1@0 home v4","message":"router: Request ended."}
{"time":"2026-02-03T10:58:02.000Z","id":"r2","message":"router: Request ended."}
trunc`)
	b := write("b.log", `{"time":"2026-02-03T10:58:01.500Z","id":"r1","status":503,"code":"keys_not_confirmed","message":"router: Request ended."}
`)
	var out, errOut bytes.Buffer
	if code := run(t.Context(), []string{"explain", "r1", a, b}, streams{out: &out, err: &errOut}); code != exitOK {
		t.Fatalf("exit code %d: %s", code, errOut.String())
	}
	got := out.String()
	first, second := strings.Index(got, "keys_not_confirmed"), strings.Index(got, "stream_broken")
	if first < 0 || second < first || !strings.Contains(got, "entry was removed") || strings.Contains(got, "r2") || strings.Contains(got, "i-2") {
		t.Errorf("explained:\n%s", got)
	}
	if !strings.Contains(got, "1 lines are not") {
		t.Errorf("the truncated line is not counted:\n%s", got)
	}
	out.Reset()
	if code := run(t.Context(), []string{"explain", "r9", a}, streams{out: &out, err: &errOut}); code != exitFailed || !strings.Contains(out.String(), "no line has the id") {
		t.Errorf("unknown id: exit code %d, %s", code, out.String())
	}
}
