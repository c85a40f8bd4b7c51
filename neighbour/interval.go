package neighbour

import "time"

// DefaultBudget is the bandwidth that a daemon may use for exchanges, in bytes per second
// sent and received.
const DefaultBudget = 3000

// exchangeOverhead is the number of bytes that an exchange adds to a digest in one
// direction: gRPC and TLS framing, TCP and IP headers and acknowledgements. It is a
// conservative estimate: gRPC alone adds about 30 bytes.
const exchangeOverhead = 200

// Interval returns the time between exchanges with each neighbour: minInterval, or more
// if the budget requires it. Digests grow with the organisations and endpoints that they
// contain; with a fixed interval the traffic would be highest during large failures.
// digestBytes is the size of a digest, and budget is in bytes per second.
func Interval(minInterval time.Duration, neighbours, digestBytes int, budget float64) time.Duration {
	bytes := 2 * neighbours * (digestBytes + exchangeOverhead)
	return max(minInterval, time.Duration(float64(bytes)/budget*float64(time.Second)))
}
