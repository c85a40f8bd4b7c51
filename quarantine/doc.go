// Package quarantine stops the distribution of requests that crash every endpoint
// that runs them.
//
// A request is identified by its Fingerprint, independent of its id. If a daemon
// loses an attempt and finds that the endpoint has crashed, it reports both to the
// owners of the fingerprint, a few daemons chosen by rendezvous hashing. An owner
// that knows of three crashed endpoints holds the request: daemons refuse it. Holds
// are distributed to all daemons by gossip.
//
// The other requests that an endpoint was running when it crashed are reported as
// well. A complete answer by any endpoint clears a request, since one that crashes
// every endpoint never gets an answer. A clearance ends a hold.
//
// The package does no I/O and reads no clock. Times are readings of a monotonic
// clock, given as the duration since an arbitrary fixed moment.
package quarantine
