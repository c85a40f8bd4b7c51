package neighbour

import "time"

// DefaultBudget is what a daemon may spend on exchanges, sent and received, in
// bytes a second.
const DefaultBudget = 3000

// exchangeOverhead is what an exchange adds to a digest in one direction: gRPC
// and TLS framing, and the headers of TCP and IP with their acknowledgements.
// It is an estimate on the high side; measured on loopback, gRPC alone adds
// about 30 bytes.
const exchangeOverhead = 200

// Interval returns the time between exchanges with each neighbour: the least
// one, or as long as the budget asks for. Digests grow with the organisations
// and endpoints they name, and without this a bad day, when they name most,
// would cost the most.
func Interval(minInterval time.Duration, neighbours, digestBytes int, budget float64) time.Duration {
	bytes := 2 * neighbours * (digestBytes + exchangeOverhead)
	return max(minInterval, time.Duration(float64(bytes)/budget*float64(time.Second)))
}
