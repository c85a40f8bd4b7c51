package freshness

import (
	"testing"
	"time"
)

func TestNeverConfirmedIsNeverFresh(t *testing.T) {
	var c Tracker
	if c.Within(0, time.Hour) {
		t.Error("fresh without a read")
	}
}

// A read is sent, its answer takes four seconds. What it confirms is what held
// when it was sent: a key that was taken away in between would be served for
// four seconds too long if the time of the answer counted.
func TestAgeCountsFromTheSending(t *testing.T) {
	var c Tracker
	c.RecordAnswer(10*time.Second, 14*time.Second)
	if !c.Within(14*time.Second, 5*time.Second) || c.Within(15*time.Second, 5*time.Second) {
		t.Error("wrong bound")
	}
}

// Two reads overlap and the older one is answered last. It must not make what
// is known look older.
func TestLateAnswerOfAnOlderReadChangesNothing(t *testing.T) {
	var c Tracker
	c.RecordAnswer(10*time.Second, 11*time.Second)
	c.RecordAnswer(7*time.Second, 12*time.Second)
	if age, _ := c.Age(12 * time.Second); age != 2*time.Second {
		t.Errorf("age %v", age)
	}
}

// A read waits for news for as long as it may. Meanwhile the age of what is
// known grows, but the store is there.
func TestSilenceEndsWithEachAnswer(t *testing.T) {
	var c Tracker
	if _, ok := c.SinceAnswer(time.Second); ok {
		t.Error("heard of a store that never answered")
	}
	c.RecordAnswer(10*time.Second, 12*time.Second)
	if got, _ := c.SinceAnswer(12*time.Second + time.Millisecond); got != time.Millisecond {
		t.Errorf("silence %v", got)
	}
}
