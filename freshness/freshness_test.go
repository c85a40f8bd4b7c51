package freshness

import (
	"testing"
	"time"
)

func TestNoAnswerIsNeverFresh(t *testing.T) {
	var c Tracker
	if c.Within(0, time.Hour) {
		t.Error("fresh without a read")
	}
}

// Guards against an age that counts from the answer: with an answer that takes four
// seconds, a key that was revoked in between would be accepted four seconds too long.
func TestAgeCountsFromSending(t *testing.T) {
	var c Tracker
	c.RecordAnswer(10*time.Second, 14*time.Second)
	if !c.Within(14*time.Second, 5*time.Second) || c.Within(15*time.Second, 5*time.Second) {
		t.Error("wrong bound")
	}
}

// Guards against an age that grows because the older of two overlapping reads is
// answered last.
func TestLateAnswerOfOlderReadIsIgnored(t *testing.T) {
	var c Tracker
	c.RecordAnswer(10*time.Second, 11*time.Second)
	c.RecordAnswer(7*time.Second, 12*time.Second)
	if age, _ := c.Age(12 * time.Second); age != 2*time.Second {
		t.Errorf("age %v", age)
	}
}

// While a read is held until there are new records, the age grows although the store
// can be reached.
func TestSinceAnswerResetsWithEachAnswer(t *testing.T) {
	var c Tracker
	if _, ok := c.SinceAnswer(time.Second); ok {
		t.Error("a time since the last answer without any answer")
	}
	c.RecordAnswer(10*time.Second, 12*time.Second)
	if got, _ := c.SinceAnswer(12*time.Second + time.Millisecond); got != time.Millisecond {
		t.Errorf("%v since the last answer", got)
	}
}
