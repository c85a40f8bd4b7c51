package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"slices"
	"testing"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/manifest"
)

func newTestIndex(t *testing.T) *Index {
	t.Helper()
	hash := func(key string) []string {
		sum := sha256.Sum256([]byte(key))
		return []string{hex.EncodeToString(sum[:])}
	}
	x, err := New(&manifest.Manifest{
		Organisations: []manifest.Organisation{
			{ID: "registre", KeyHashes: hash("r"), Priorities: []string{"standard", "batch"}},
			{ID: "garage", KeyHashes: hash("g"), Priorities: []string{"interactive"}, Models: []string{"small"}},
		},
		Models: []manifest.Model{
			{ID: "codes", Version: "v1", Adapters: []manifest.Adapter{{ID: "tags", Version: "t3", Organisations: []contract.OrganisationID{"registre"}}}},
			{ID: "small", Version: "v9"},
		},
		Classes: []manifest.Class{{ID: "runner", Kind: fleet.KindModel, Models: []string{"codes"}}, {ID: "counter", Kind: fleet.KindService}},
		Services: []manifest.Service{
			{ID: "receipts", PathPrefix: "/receipts/", Class: "counter", Calls: []manifest.Call{
				{Method: "GET", Path: "/issue", Idempotent: false},
				{Method: "GET", Path: "/*", Idempotent: true},
			}},
			{ID: "archive", PathPrefix: "/receipts/archive", Class: "counter"},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return x
}

func TestResolve(t *testing.T) {
	x := newTestIndex(t)
	tests := []struct {
		key, model, adapter string
		want                Target
		err                 error
	}{
		{"r", "codes", "", Target{Model: "codes", Version: "v1"}, nil},
		{"r", "codes:tags", "", Target{"codes", "v1", "tags", "t3"}, nil},
		{"r", "codes", "tags", Target{"codes", "v1", "tags", "t3"}, nil},
		{"r", "codes:tags", "tags", Target{"codes", "v1", "tags", "t3"}, nil},
		{"r", "codes:tags", "other", Target{}, ErrAdapterUnknown},
		{"r", "codes:none", "", Target{}, ErrAdapterUnknown},
		{"r", "none", "", Target{}, ErrModelUnknown},
		{"g", "small", "", Target{Model: "small", Version: "v9"}, nil},
		{"g", "codes", "", Target{}, ErrModelForbidden},
		{"g", "codes:tags", "", Target{}, ErrModelForbidden},
	}
	for _, tt := range tests {
		org, err := x.Authenticate(tt.key)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := x.Resolve(org, tt.model, tt.adapter); got != tt.want || !errors.Is(err, tt.err) {
			t.Errorf("%s %s %s gives %+v, %v; want %+v, %v", tt.key, tt.model, tt.adapter, got, err, tt.want, tt.err)
		}
	}
	if _, err := x.Authenticate("x"); !errors.Is(err, ErrKeyUnknown) {
		t.Errorf("an unknown key gives %v", err)
	}
	registre, _ := x.Organisation("registre")
	if got := x.Models(registre); !slices.Equal(got, []string{"codes", "codes:tags", "small"}) {
		t.Errorf("models are %v", got)
	}
}

func TestPriority(t *testing.T) {
	x := newTestIndex(t)
	tests := []struct {
		org  contract.OrganisationID
		name string
		want contract.Priority
		err  error
	}{
		{"registre", "", contract.PriorityStandard, nil},
		{"registre", "batch", contract.PriorityBatch, nil},
		{"registre", "interactive", 0, ErrPriorityForbidden},
		{"garage", "", contract.PriorityInteractive, nil},
	}
	for _, tt := range tests {
		org, _ := x.Organisation(tt.org)
		if got, err := org.Priority(tt.name); got != tt.want || !errors.Is(err, tt.err) {
			t.Errorf("%s %q gives %v, %v", tt.org, tt.name, got, err)
		}
	}
}

func TestServiceByPath(t *testing.T) {
	x := newTestIndex(t)
	tests := []struct {
		method, path, service string
		idempotent            bool
	}{
		{"GET", "/receipts", "receipts", false},
		{"GET", "/receipts/7", "receipts", true},
		{"GET", "/receipts/issue", "receipts", false},
		{"POST", "/receipts/7", "receipts", false},
		{"GET", "/receipts/archive/7", "archive", false},
		{"GET", "/receiptsx", "", false},
		{"GET", "/", "", false},
	}
	for _, tt := range tests {
		s, rest, ok := x.Service(tt.path)
		if ok != (tt.service != "") || ok && (s.ID != tt.service || s.Idempotent(tt.method, rest) != tt.idempotent) {
			t.Errorf("%s %s gives %+v %q", tt.method, tt.path, s, rest)
		}
	}
}

func TestNewRefusesInvalidOrganisation(t *testing.T) {
	for _, o := range []manifest.Organisation{{ID: "a", KeyHashes: []string{"12"}}, {ID: "a", Priorities: []string{"first"}}} {
		if _, err := New(&manifest.Manifest{Organisations: []manifest.Organisation{o}}); err == nil {
			t.Errorf("%+v is taken", o)
		}
	}
}
