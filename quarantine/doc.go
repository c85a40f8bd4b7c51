// Package quarantine keeps requests from endpoints that end whenever they run them.
//
// A request is known by its Fingerprint, whatever its id. A daemon that loses an
// attempt, and finds that the endpoint has ended, reports both to the owners of the
// fingerprint, a few daemons chosen by rendezvous hashing. An owner that knows of
// three ended endpoints holds the request, and daemons pass that on to each other.
//
// Whatever else an endpoint was running when it ended is reported as well. A whole
// answer of any endpoint clears a request: one that ends every endpoint is never
// answered. A clearance ends a hold.
//
// The package does no I/O and reads no clock. Times are readings of a clock that
// does not jump, given as the duration since any fixed moment.
package quarantine
