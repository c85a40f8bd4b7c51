package loadtable

import "time"

// Intervals between messages, as for shares.
const (
	minInterval = 200 * time.Millisecond
	// fullRateDaemons is the number of daemons up to which minInterval applies. Beyond it,
	// the interval grows in proportion.
	fullRateDaemons = 256
)

// Bytes per second that all messages of a service together amount to at most, and the size
// of an entry with usual figures. At 1,100 daemons the traffic of each is then below 1 KB/s,
// and an owner sends less than half of a link of 10 Mbit/s.
const (
	maxObservedRate = 400_000
	maxMergedRate   = 600_000
	headerBytes     = 10
	entryBytes      = 14
)

// Interval returns the time between two messages of a daemon about a service.
func Interval(daemons int) time.Duration {
	return max(minInterval, minInterval*time.Duration(daemons)/fullRateDaemons)
}

// Entries returns the number of reports in a message of the type while a service has the
// given number of daemons.
func Entries(k Kind, daemons int) int {
	rate := maxMergedRate
	if k == KindObserved {
		rate = maxObservedRate
	}
	bytes := float64(rate) * Interval(daemons).Seconds() / float64(max(daemons, 1))
	return min(k.maxReports(), max(1, int((bytes-headerBytes)/entryBytes)))
}
