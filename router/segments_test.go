package router

import (
	"testing"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/prefix"
)

func anyEngine(fleet.EndpointID) bool { return true }

// While an engine reads a shared segment, the next prompt with it must be sent to the same
// engine. Others may fetch the segment only once it is read: an earlier fetch would find
// nothing, and the segment would be read twice.
func TestSegmentIsFetchableOnceRead(t *testing.T) {
	x, now := newSegmentIndex(), time.Unix(1_800_000_000, 0)
	x.recordPlacement(now, prefix.Key{1}, 13_000, 17_000, 200_000, "a", now.Add(200*time.Millisecond))
	if h, from := x.locate(now, prefix.Key{1}, 200_000, anyEngine); h.Tokens["a"] != 13_000 || h.MaxTokens != 0 || from != "" {
		t.Errorf("locations %+v, fetch from %q while the segment is read", h, from)
	}
	if h, from := x.locate(now.Add(time.Second), prefix.Key{1}, 200_000, anyEngine); h.MaxTokens != 13_000 || from != "a" {
		t.Errorf("locations %+v, fetch from %q after the segment was read", h, from)
	}
	if h, from := x.locate(now.Add(time.Second), prefix.Key{1}, 200_000, func(fleet.EndpointID) bool { return false }); len(h.Tokens) > 0 || from != "" {
		t.Errorf("locations %+v, fetch from %q though no engine is usable", h, from)
	}
}

// An engine that was sent more tokens than its memory keeps has evicted the segment. If
// the index still listed it, prompts would be sent there to read the segment again, though
// other engines have shorter waits.
func TestSegmentIsEvictedBeyondMemory(t *testing.T) {
	x, now := newSegmentIndex(), time.Unix(1_800_000_000, 0)
	x.recordPlacement(now, prefix.Key{1}, 13_000, 17_000, 200_000, "a", now)
	for i := range 9 {
		x.recordPlacement(now, prefix.Key{2, byte(i)}, 13_000, 17_000, 200_000, "a", now)
	}
	later := now.Add(time.Second)
	if h, from := x.locate(later, prefix.Key{1}, 200_000, anyEngine); len(h.Tokens) > 0 || from != "" {
		t.Errorf("locations %+v, fetch from %q after the segment was evicted", h, from)
	}
	if _, from := x.locate(later, prefix.Key{2, 8}, 200_000, anyEngine); from != "a" {
		t.Error("the newest segment was evicted as well")
	}
}

// Guards against an index that grows without bound as new segments keep arriving.
func TestUnusedSegmentsExpire(t *testing.T) {
	x, now := newSegmentIndex(), time.Unix(1_800_000_000, 0)
	for i := range 200 {
		x.recordPlacement(now, prefix.Key{byte(i)}, 1, 2, 100, fleet.EndpointID(rune('a'+i%6)), now)
		x.recordPlacement(now, prefix.Key{0}, 1, 2, 100, fleet.EndpointID(rune('a'+i%6)), now.Add(time.Duration(i)))
	}
	if n := len(x.segments[prefix.Key{0}].holders); n > maxSegmentHolders {
		t.Errorf("%d holders of one segment", n)
	}
	x.expire(now.Add(segmentLifetime + time.Second))
	if len(x.segments) > 0 {
		t.Errorf("%d segments left", len(x.segments))
	}
}

// Guards against saving half of all reads to a store in vain, when engines have enough
// memory to keep what they read for minutes: no other engine then fetches the copies.
func TestRetainsSegmentsAtLowReadRate(t *testing.T) {
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
		t.Error("256 engines that are sent seven prompts a second do not retain segments")
	}
	if read(150).retains(later, 72, 186_200) {
		t.Error("72 engines that are sent 150 prompts a second retain segments")
	}
	if x := read(150); !x.retains(later.Add(time.Minute), 72, 186_200) {
		t.Error("the read rate of a minute ago still counts")
	}
}
