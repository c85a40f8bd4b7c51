package trace

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/merlindock/merlindock/prefix"
)

func TestWriteAndRead(t *testing.T) {
	want := Tsukushi(GeneratorOptions{Seed: 3, Duration: 5 * time.Second, Rate: 10})
	var file bytes.Buffer
	if err := Write(&file, want); err != nil {
		t.Fatal(err)
	}
	got, err := Read(&file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("the trace differs after writing and reading:\n%s", diff)
	}
}

func TestGenerateIsDeterministic(t *testing.T) {
	g := GeneratorOptions{Seed: 1, Duration: 10 * time.Second, Rate: 20}
	if !cmp.Equal(Registre(g), Registre(g)) {
		t.Error("equal seeds gave different traces")
	}
	other := g
	other.Seed = 2
	if cmp.Equal(Registre(g), Registre(other)) {
		t.Error("different seeds gave equal traces")
	}
}

func TestReadErrors(t *testing.T) {
	const header = `{"format":"merlindock-trace","version":1,"fleet":{"runners":1,"zones":1,"daemons":1,"prefill_rate":1,"token_ms":1,"slots":1,"cache_tokens":1}}`
	const good = `{"ms":5,"org":"o","model":"m","pri":"batch","parts":[{"id":"a","t":1}],"out":1}`
	tests := map[string]string{
		"no header":       "",
		"format":          `{"format":"other"}`,
		"version 2":       strings.Replace(header, `"version":1`, `"version":2`, 1),
		"at least 1":      strings.Replace(header, `"runners":1`, `"runners":0`, 1),
		"prefill_rate":    strings.Replace(header, `"prefill_rate":1`, `"prefill_rate":0`, 1),
		"line 3":          header + "\n" + good + "\n{",
		"0 parts":         header + "\n" + `{"pri":"batch"}`,
		"0 tokens":        header + "\n" + strings.Replace(good, `"t":1`, `"t":0`, 1),
		"priority":        header + "\n" + strings.Replace(good, "batch", "soon", 1),
		"before the line": header + "\n" + good + "\n" + strings.Replace(good, `"ms":5`, `"ms":4`, 1),
	}
	for want, text := range tests {
		_, err := Read(strings.NewReader(text))
		if !errors.Is(err, ErrFormat) || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", want, err)
		}
	}
}

func TestLevelsOfSharedParts(t *testing.T) {
	one := Request{Organisation: "o", Model: "m", Parts: []Part{{"pre", 900}, {"doc", 4500}, {"q1", 80}}}
	two := Request{Organisation: "o", Model: "m", Parts: []Part{{"pre", 900}, {"doc", 4500}, {"q2", 80}}}
	c := prefix.NewSplitter(prefix.Options{BytesPerToken: 1})
	a, b := one.Levels(c), two.Levels(c)
	last := len(a) - 1
	if len(a) != 5 || a[last].Tokens != one.Tokens() {
		t.Fatalf("levels %+v", a)
	}
	if !cmp.Equal(a[:last], b[:last]) || a[last].Key == b[last].Key {
		t.Error("the prompts' common levels are not those of their common parts")
	}
}
