package manifest

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
)

func sample(organisations int) Manifest {
	m := Manifest{
		Rules: RulesVersion,
		Name:  "quebec-est",
		Fleet: Fleet{PieceTokens: 2000, BytesPerToken: 4, LoadsAtOnce: 3, FirstTokenLimit: Duration(time.Second)},
		Models: []Model{{
			ID: "plan-reader", Version: "v7",
			Adapters: []Adapter{{ID: "title-blocks", Version: "a1", Organisations: []contract.OrganisationID{"org-0"}}},
		}},
		Classes: []Class{
			{ID: "runner", Kind: fleet.KindModel, Models: []string{"plan-reader"}, ChecksFence: true},
			{ID: "counter", Kind: fleet.KindService},
		},
		Services: []Service{{
			ID: "counter", PathPrefix: "/counter/", Class: "counter",
			Calls: []Call{{Method: "GET", Path: "extracts/*", Idempotent: true}},
		}},
		Retention: Retention{ClaimWindow: Duration(time.Hour), LogRecords: Duration(6 * time.Hour)},
	}
	for i := range organisations {
		m.Organisations = append(m.Organisations, Organisation{
			ID:         contract.OrganisationID(fmt.Sprintf("org-%d", i)),
			KeyHashes:  []string{fmt.Sprintf("%064x", i)},
			Share:      1,
			Priorities: []string{"interactive", "batch"},
		})
	}
	return m
}

func text(t testing.TB, m Manifest) string {
	t.Helper()
	b, err := Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func TestDecodeRoundTrip(t *testing.T) {
	want := sample(8)
	got, err := Decode([]byte(text(t, want)))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(canonical(want), canonical(got)); diff != "" {
		t.Fatal(diff)
	}
}

func TestDecodeReportsFaults(t *testing.T) {
	good := text(t, sample(2))
	tests := []struct{ name, old, new, want string }{
		{"unknown field", `"share":1`, `"shaer":1`, "organisations[0].shaer is not a field"},
		{"field twice", `"name":"quebec-est"`, `"name":"a","name":"b"`, "name is given twice"},
		{"wrong type", `"share":1`, `"share":"1"`, "organisations[0].share is a string, expected a number"},
		{"null", `"models":[`, `"services":null,"models":[`, "services is null, expected an array"},
		{"fraction", `"piece_tokens":2000`, `"piece_tokens":2000.5`, "fleet.piece_tokens is 2000.5, expected a whole number"},
		{"duration", `"claim_window":"1h0m0s"`, `"claim_window":"soon"`, "retention.claim_window is not readable"},
		{"after the end", `"log_records":"6h0m0s"}}`, `"log_records":"6h0m0s"}} 1`, "is not JSON: line 1"},
		{"newer rules", `"rules":1`, `"rules":2`, "rules is 2, expected 1"},
		{"no share", `"share":1`, `"share":0`, "organisations[0].share is 0"},
		{"organisation twice", `"id":"org-1"`, `"id":"org-0"`, `organisations[1].id "org-0" is declared twice`},
		{"priority", `"batch"`, `"urgent"`, `organisations[0].priorities[1] is "urgent"`},
		{"unknown model", `"models":["plan-reader"]`, `"models":["other"]`, `classes[0].models[0] "other" is not a model`},
		{"kind", `"kind":"service"`, `"kind":"thing"`, `classes[1].kind is "thing"`},
		{"prefix taken", `"/counter/"`, `"/v1/counter/"`, "services[0].path_prefix"},
		{"star", `"extracts/*"`, `"ex*/a"`, "services[0].calls[0].path"},
		{"records expire too soon", `"6h0m0s"`, `"1h30m0s"`, "retention.log_records is 1h30m0s"},
		{"header in an id", `"version":"v7"`, `"version":"v7\r\nX: y"`, "models[0].version"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			bad := strings.Replace(good, tt.old, tt.new, 1)
			if bad == good {
				t.Fatalf("%s is not in the sample", tt.old)
			}
			_, err := Decode([]byte(bad))
			var e *Error
			if !errors.As(err, &e) || !strings.Contains(err.Error(), tt.want) {
				t.Fatalf("got %v, expected %q", err, tt.want)
			}
		})
	}
}

func TestDigestIgnoresFormatting(t *testing.T) {
	var loose map[string]any
	if err := json.Unmarshal([]byte(text(t, sample(3))), &loose); err != nil {
		t.Fatal(err)
	}
	delete(loose["models"].([]any)[0].(map[string]any), "adapters")
	indented, err := json.MarshalIndent(loose, "", "    ")
	if err != nil {
		t.Fatal(err)
	}
	m, err := Decode(indented)
	if err != nil {
		t.Fatal(err)
	}
	plain := sample(3)
	plain.Models[0].Adapters = nil
	a, _ := DigestOf(m)
	b, _ := DigestOf(plain)
	if a != b {
		t.Fatalf("digests %s and %s", a, b)
	}
	plain.Organisations[1].Share = 2
	if c, _ := DigestOf(plain); c == a {
		t.Fatal("different content has the same digest")
	}
}

func TestLimits(t *testing.T) {
	if _, err := Decode([]byte(strings.Repeat(" ", MaxBytes+1))); err == nil {
		t.Fatal("a text over MaxBytes was decoded")
	}
	deep := strings.Replace(text(t, sample(1)), `"name":"quebec-est"`, `"name":`+strings.Repeat("[", 5000)+strings.Repeat("]", 5000), 1)
	if _, err := Decode([]byte(deep)); err == nil {
		t.Fatal("a text nested deeper than MaxDepth was decoded")
	}
	var e *Error
	_, err := Decode([]byte(`{` + strings.Repeat(`"x":1,`, 500) + `"x":1}`))
	if !errors.As(err, &e) || len(e.Faults) != MaxFaults || e.Omitted == 0 {
		t.Fatalf("got %d faults and %d more", len(e.Faults), e.Omitted)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(text(f, sample(1))))
	f.Add([]byte(`{"rules":1,"organisations":[{"share":"x"}]}`))
	f.Add([]byte(`[[[[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Decode([]byte(text(t, m)))
		if err != nil {
			t.Fatalf("the canonical text of a valid manifest is refused: %v", err)
		}
		a, _ := DigestOf(m)
		if b, _ := DigestOf(again); a != b {
			t.Fatalf("digest changed from %s to %s", a, b)
		}
	})
}

func TestDiff(t *testing.T) {
	a, b := sample(3), sample(4)
	b.Organisations = b.Organisations[1:]
	b.Organisations[0].Share = 5
	b.Fleet.LoadsAtOnce = 2
	want := []string{"fleet changed", "organisation org-0 removed", "organisation org-1 changed", "organisation org-3 added"}
	var got []string
	for _, c := range Diff(a, b) {
		got = append(got, c.String())
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
}
