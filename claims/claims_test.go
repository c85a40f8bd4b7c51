package claims

import (
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/merlindock/merlindock/ledger"
	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/ports"
)

func TestParseKeyAcceptsOnlyUUIDv7(t *testing.T) {
	v7, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name, key string
		good      bool
	}{
		{"version 7", v7.String(), true},
		{"version 7 in capitals", strings.ToUpper(v7.String()), true},
		{"version 4", uuid.NewString(), false},
		{"version 7 in braces", "{" + v7.String() + "}", false},
		{"version 7 without dashes", strings.ReplaceAll(v7.String(), "-", ""), false},
		{"a word", "receipt-2026-03-01", false},
		{"nothing", "", false},
		{"much too long", strings.Repeat("0", 1<<20), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			key, at, err := parseKey(tt.key)
			if (err == nil) != tt.good {
				t.Fatalf("got %v", err)
			}
			if tt.good && (key != v7.String() || time.Since(at).Abs() > time.Minute) {
				t.Fatalf("read as %s of %v", key, at)
			}
		})
	}
}

func TestTruncatesLongOwner(t *testing.T) {
	layout := ledger.Layout{Partitions: 1, Window: manifest.Duration(time.Hour)}
	s, err := New(Options{Owner: strings.Repeat("entry-", 100), Layout: layout})
	if err != nil {
		t.Fatal(err)
	}
	data, err := s.partitions[0].encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	state := ledger.NewClaims(ledger.Layout{Partitions: 2, Window: layout.Window})
	state.Apply(ports.Record{Offset: 1, Time: time.Now(), Data: data})
	if !state.LayoutConflict() {
		t.Fatal("a marker with a long writer name was not applied")
	}
}
