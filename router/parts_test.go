package router

import (
	"testing"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/prefix"
)

func anyEngine(fleet.EndpointID) bool { return true }

// A prompt's shared part is being read by one engine. Whoever comes next must go there,
// and may fetch it from there only once it is read: a fetch before finds nothing, and the
// part is read twice.
func TestPartIsFetchedOnceItIsRead(t *testing.T) {
	x, now := newSegmentIndex(), time.Unix(1_800_000_000, 0)
	x.recordPlacement(now, prefix.Key{1}, 13_000, 17_000, 200_000, "a", now.Add(200*time.Millisecond))
	if h, from := x.locate(now, prefix.Key{1}, 200_000, anyEngine); h.Tokens["a"] != 13_000 || h.MaxTokens != 0 || from != "" {
		t.Errorf("%+v from %q while it is read", h, from)
	}
	if h, from := x.locate(now.Add(time.Second), prefix.Key{1}, 200_000, anyEngine); h.MaxTokens != 13_000 || from != "a" {
		t.Errorf("%+v from %q after it was read", h, from)
	}
	if h, from := x.locate(now.Add(time.Second), prefix.Key{1}, 200_000, func(fleet.EndpointID) bool { return false }); len(h.Tokens) > 0 || from != "" {
		t.Errorf("%+v from %q, which may not be used", h, from)
	}
}

// An engine is sent more than its memory keeps, and evicts the part. To count on it would
// send prompts to an engine that reads it again, past others that wait less.
func TestPartIsGoneAfterWhatTheMemoryKeeps(t *testing.T) {
	x, now := newSegmentIndex(), time.Unix(1_800_000_000, 0)
	x.recordPlacement(now, prefix.Key{1}, 13_000, 17_000, 200_000, "a", now)
	for i := range 9 {
		x.recordPlacement(now, prefix.Key{2, byte(i)}, 13_000, 17_000, 200_000, "a", now)
	}
	later := now.Add(time.Second)
	if h, from := x.locate(later, prefix.Key{1}, 200_000, anyEngine); len(h.Tokens) > 0 || from != "" {
		t.Errorf("%+v from %q", h, from)
	}
	if _, from := x.locate(later, prefix.Key{2, 8}, 200_000, anyEngine); from != "a" {
		t.Error("the newest part is gone as well")
	}
}

// Parts come and go for ever. What is remembered of them must not grow.
func TestUnusedPartsAreForgotten(t *testing.T) {
	x, now := newSegmentIndex(), time.Unix(1_800_000_000, 0)
	for i := range 200 {
		x.recordPlacement(now, prefix.Key{byte(i)}, 1, 2, 100, fleet.EndpointID(rune('a'+i%6)), now)
		x.recordPlacement(now, prefix.Key{0}, 1, 2, 100, fleet.EndpointID(rune('a'+i%6)), now.Add(time.Duration(i)))
	}
	if n := len(x.segments[prefix.Key{0}].holders); n > maxSegmentHolders {
		t.Errorf("%d holders of one part", n)
	}
	x.expire(now.Add(segmentLifetime + time.Second))
	if len(x.segments) > 0 {
		t.Errorf("%d parts left", len(x.segments))
	}
}

// Guards against copies that nobody fetches: nine thousand engines keep what they read
// for minutes, and half of all reads were sent to a store besides.
func TestEnginesWithMemoryToSpareKeepTheirParts(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	read := func(prompts int) *segmentIndex {
		x := newSegmentIndex()
		for i := range prompts * 20 {
			x.recordPlacement(now.Add(time.Duration(i)*time.Second/time.Duration(prompts)), prefix.Key{byte(i), byte(i >> 8)}, 13_000, 17_000, 186_200, "a", now)
		}
		return x
	}
	later := now.Add(20 * time.Second)
	if !read(7).retains(later, 256, 186_200) {
		t.Error("256 engines that are sent seven prompts a second evict them")
	}
	if read(150).retains(later, 72, 186_200) {
		t.Error("72 engines that are sent 150 prompts a second keep them")
	}
	if x := read(150); !x.retains(later.Add(time.Minute), 72, 186_200) {
		t.Error("the rate of a minute ago counts")
	}
}
