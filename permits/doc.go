// Package permits keeps the requests that all daemons together have under way at a brittle
// endpoint within what it has room for. A brittle endpoint reports that it crashes if it has
// to reject more than a few requests a second.
//
// A daemon sends such an endpoint a request only with a permit. One daemon, the owner, lends
// all permits of an endpoint: it is the first of all daemons in an order by a hash of both,
// so that no daemon has to be elected and the owners are spread. A permit is returned when
// its request ends, and expires unless it is renewed, so that a daemon that is killed holds
// none. While no permit is free, the owner denies one at once or queues a few requests.
//
// An owner that has just begun, whether its endpoint has restarted or another owner has
// failed, lends one permit until an answer tells the occupancy. Requests that it did not
// permit are the difference between the occupancy and the permits that it has lent.
//
// That a service has brittle endpoints is spread by gossip, so that also a daemon without an
// answer of its own asks for permits.
//
// The package does no I/O and reads no clock. A Node is not safe for concurrent use.
package permits
