package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/merlindock/merlindock/directory"
	"github.com/merlindock/merlindock/feed"
	"github.com/merlindock/merlindock/readtree"
)

// pageFollower returns a follower of the operator topic, and the keys that it has applied.
func pageFollower() (*follower, *[]string) {
	r := &Router{neighbours: neighboursOf(1, "a"), clock: fixedClock(0), log: discardLog()}
	r.feeds[TopicOperator] = feed.New(true)
	f := r.newFollower(TopicOperator)
	var applied []string
	f.apply = func(record Record) (Record, bool) {
		applied = append(applied, record.Key)
		return record, true
	}
	return f, &applied
}

func pageOf(generation, end int64, more bool, keys ...string) Page {
	p := Page{End: feed.OffsetIn(generation, end), More: more}
	for _, key := range keys {
		p.Records = append(p.Records, Record{Key: key, Value: []byte("v"), Offset: feed.OffsetIn(generation, 0)})
	}
	return p
}

// Guards against a snapshot of pages from before and after a restore: keys of the earlier
// ones would count as present, and an offset of the earlier generation as read.
func TestPagesOfTwoGenerationsAreNotMixed(t *testing.T) {
	f, _ := pageFollower()
	var present map[string]bool
	f.onSnapshot = func(p map[string]bool) { present = p }
	if _, err := f.applyPage("", 0, pageOf(1, 9, true, "a", "b")); err != nil {
		t.Fatal(err)
	}
	if got, err := f.applyPage("b", 0, pageOf(2, 4, false, "c")); err != nil || !got.more || present != nil {
		t.Errorf("%+v, %v, snapshot %v", got, err, present)
	}
	if !f.needsFullRead() || f.pageAfter(false) != "" {
		t.Error("the full read does not begin again")
	}
	if _, err := f.applyPage("", 0, pageOf(2, 4, false, "c")); err != nil || len(present) != 1 || f.next != feed.OffsetIn(2, 4) {
		t.Errorf("%v, snapshot %v, next %d", err, present, f.next)
	}
}

// Guards against an answer from before a restore that arrives after it and is applied.
func TestPageOfOlderGenerationIsRefused(t *testing.T) {
	f, applied := pageFollower()
	if _, err := f.applyPage("", 0, pageOf(2, 4, false, "new")); err != nil {
		t.Fatal(err)
	}
	f.complete = false
	if _, err := f.applyPage("", 0, pageOf(1, 9, false, "old")); !errors.Is(err, ErrOlderGeneration) {
		t.Errorf("error %v", err)
	}
	if len(*applied) != 1 || f.next != feed.OffsetIn(2, 4) {
		t.Errorf("%v applied, next %d", *applied, f.next)
	}
}

// Guards against a daemon that knows of a restore and reads the state before it again from
// a neighbour that does not know yet.
func TestNeighbourOfOlderGenerationIsPassedOver(t *testing.T) {
	for generation, want := range map[int64]bool{1: false, 2: true, 3: true} {
		v := neighboursOf(10, "j")
		v.choice.Set(append([]readtree.Daemon{{Name: "n", Address: "n"}}, fillerDaemons(v, "n")...))
		v.request = func(context.Context, string, Topic, feed.Query) (feed.Answer, error) {
			return feed.Answer{Snapshot: true, Next: feed.OffsetIn(generation, 4)}, nil
		}
		s := &subscription{neighbours: v, topic: TopicOperator, generation: 2}
		if _, _, ok := s.read(t.Context(), -1, ""); ok != want {
			t.Errorf("an answer of generation %d is used: %v", generation, ok)
		}
	}
}

// Guards against an endpoint that is not used for seconds, because the copy of one restore
// lacks its entry and that of the next has it.
func TestEntryMissingFromOneCopyIsNotDoubted(t *testing.T) {
	s := newState(&Settings{Zone: "z", DrainWithin: 4 * time.Second}, rand.New(rand.NewPCG(1, 2)))
	now := time.Unix(1_800_000_000, 0)
	e := testEntry(1)
	s.roster.Put(e)
	s.refresh(now)
	s.roster.RetainRestored(now, map[string]bool{})
	s.refresh(now)
	s.roster.PutRestored(now.Add(time.Second), e)
	s.refresh(now.Add(time.Second))
	if !s.roster.MayTry(now.Add(time.Second), directory.Key(e.ID, e.Born), true) {
		t.Error("the endpoint gets no requests")
	}
}
