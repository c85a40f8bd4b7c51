// Package quarantine stops the distribution of requests that crash every endpoint
// that runs them, alone or for a segment of their prompts.
//
// What a crash may be due to has a Fingerprint: the content of the request that was
// running, independent of its ID, and each segment of its prompt but the last one. If a
// daemon loses an attempt and finds that the endpoint has crashed, it reports the crash to
// the owners of each fingerprint, a few daemons chosen by rendezvous hashing. An owner
// that knows of three crashed endpoints holds the fingerprint: daemons refuse requests that
// have it. Holds are distributed to all daemons by gossip.
//
// The other requests that an endpoint was running when it crashed are reported as well.
// A complete answer acquits a request and its segments of crashes on the same or older
// weights, since what crashes every endpoint never gets an answer. A daemon does not
// report what it has answered lately, and contradicts a hold; holds on segments, which
// popular ones may begin at each crash, are enforced after the time for contradictions.
//
// What nobody has answered is at the same crashes as the cause if both are often together.
// A hold therefore names the crashed endpoints, and does not apply to a request without
// another held fingerprint at whose crashes they all are.
//
// The package does no I/O and reads no clock. Times are readings of a monotonic
// clock, given as the duration since an arbitrary fixed moment.
package quarantine
