package logging

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
)

func TestMessageStartsWithComponentPrefix(t *testing.T) {
	var buf bytes.Buffer
	f, err := NewFactory(&buf, "info")
	if err != nil {
		t.Fatal(err)
	}
	f.For(ComponentPeers).Info("Neighbour is back.", "daemon", "d2", "after_ms", 12)
	f.For(ComponentPeers).Debug("Not written.")
	var line map[string]any
	if err := json.Unmarshal(buf.Bytes(), &line); err != nil {
		t.Fatalf("%q: %v", buf.String(), err)
	}
	if msg, _ := line["message"].(string); !strings.HasPrefix(msg, "peers: Neighbour") {
		t.Errorf("message %q", msg)
	}
	if line["daemon"] != "d2" || line["after_ms"] != 12.0 {
		t.Errorf("fields %v", line)
	}
}

func TestRejectsUnknownLevel(t *testing.T) {
	if _, err := NewFactory(&bytes.Buffer{}, "loud"); err == nil {
		t.Error("accepted")
	}
}
