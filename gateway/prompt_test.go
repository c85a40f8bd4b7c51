package gateway

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
)

func TestDecodeFieldsAndLevels(t *testing.T) {
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
		for _, end := range m.levelEnds {
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

// A body must not be accepted if JSON decoders can read it differently, for example
// with a duplicate field or one in another case. Otherwise the gateway would check
// the permission for one model while the engine serves another.
func TestDecodeRefusesAmbiguousBody(t *testing.T) {
	for _, body := range []string{
		`{"model":"codes:tags","model":"codes"}`,
		`{"model":"codes","\u006dodel":"codes:tags"}`,
		`{"model":"codes:tags","MODEL":"codes"}`,
		`{"messages":[{}],"Messages":[{}]}`,
		`{"model":"codes"}{"model":"codes:tags"}`,
		`{"model":"codes"`, `[]`, ``, `null`, `{"model":7}`,
		`{"messages":[1]}`, `{"messages":{}}`, `{"messages":[{}`,
		manyFields(maxBodyFields + 1),
		"{\"model\":\"\xff\"}",
	} {
		if err := new(modelRequest).decode([]byte(body)); err == nil {
			t.Errorf("%s was accepted", body)
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

func TestAddSeedInPlace(t *testing.T) {
	for _, body := range []string{`{"model":"c"}`, "  \n{ \"model\":\"c\"}"} {
		for _, seed := range []uint32{0, 7, 4294967295} {
			buffer := append(make([]byte, maxSeedFieldBytes), body...)
			c := call{bodyBuffer: buffer, body: buffer[maxSeedFieldBytes:]}
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
