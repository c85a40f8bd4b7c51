package router

import (
	"strings"
	"testing"

	"github.com/merlindock/merlindock/prefix"
)

// Guards against log lines whose length a caller decides.
func TestLoggedSegmentsAreBounded(t *testing.T) {
	all := []prefix.Segment{{ID: "5c1e07a2"}, {ID: strings.Repeat("f", 9000)}}
	if got, want := segmentsText(all), "5c1e07a2,ffffffffffffffff~"; got != want {
		t.Errorf("%q, expected %q", got, want)
	}
	if got := segmentsText(make([]prefix.Segment, 200)); got != ",,,,,,,,..." {
		t.Errorf("%q", got)
	}
}
