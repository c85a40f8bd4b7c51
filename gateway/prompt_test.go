package gateway

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
)

func TestDecodeReadsTheFieldsAndLevels(t *testing.T) {
	tests := []struct {
		body   string
		want   modelRequest
		levels []string
	}{
		{
			` {"model":"codes","stream":true,"max_tokens":3,"messages":[{"role":"system","content":"a"}, {"role":"user"}],"x":[1]}`,
			modelRequest{Model: "codes", Stream: true, MaxTokens: 3},
			[]string{`{"role":"system","content":"a"}`, `, {"role":"user"}`},
		},
		{`{"prompt":["a","b"],"model":"\u0063","priority":"batch","deadline_ms":9}`, modelRequest{Model: "c", Priority: "batch", DeadlineMs: 9}, []string{`["a","b"]`}},
		{`{"model":"c","stream":null,"messages":[]}`, modelRequest{Model: "c"}, nil},
	}
	for _, tt := range tests {
		var m modelRequest
		if err := m.decode([]byte(tt.body)); err != nil {
			t.Errorf("%s: %v", tt.body, err)
			continue
		}
		var levels []string
		begin := 0
		for _, end := range m.ends {
			levels = append(levels, string(m.prompt[begin:end]))
			begin = end
		}
		if !slices.Equal(levels, tt.levels) {
			t.Errorf("%s has levels %q", tt.body, levels)
		}
		if m.Model != tt.want.Model || m.Stream != tt.want.Stream || m.MaxTokens != tt.want.MaxTokens ||
			m.Priority != tt.want.Priority || m.DeadlineMs != tt.want.DeadlineMs {
			t.Errorf("%s gives %+v", tt.body, m)
		}
	}
}

// A body names two models, by one name twice or by two cases of it, and the
// gateway checks the right to one while the engine serves the other. No body
// may be read in two ways.
func TestDecodeRefusesWhatCanBeReadInTwoWays(t *testing.T) {
	for _, body := range []string{
		`{"model":"codes:tags","model":"codes"}`,
		`{"model":"codes","\u006dodel":"codes:tags"}`,
		`{"model":"codes:tags","MODEL":"codes"}`,
		`{"messages":[{}],"Messages":[{}]}`,
		`{"model":"codes"}{"model":"codes:tags"}`,
		`{"model":"codes"`, `[]`, ``, `null`, `{"model":7}`,
		`{"messages":[1]}`, `{"messages":{}}`, `{"messages":[{}`,
		manyFields(maxFields + 1),
		"{\"model\":\"\xff\"}",
	} {
		if err := new(modelRequest).decode([]byte(body)); err == nil {
			t.Errorf("%s is taken", body)
		}
	}
}

func manyFields(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, `,"x%d":1`, i)
	}
	return "{" + b.String()[1:] + "}"
}

func TestSeedIsAddedInPlace(t *testing.T) {
	for _, body := range []string{`{"model":"c"}`, "  \n{ \"model\":\"c\"}"} {
		for _, seed := range []uint32{0, 7, 4294967295} {
			buffer := append(make([]byte, seedBytes), body...)
			c := call{buffer: buffer, body: buffer[seedBytes:]}
			var m modelRequest
			if err := m.decode(c.body); err != nil {
				t.Fatal(err)
			}
			c.addSeed(&m, seed)
			var got struct {
				Model string
				Seed  uint32
			}
			if err := json.Unmarshal(c.body, &got); err != nil || got.Model != "c" || got.Seed != seed {
				t.Errorf("%q becomes %q: %v", body, c.body, err)
			}
		}
	}
}
