// Package ingress owns what a process holds and waits for on behalf of its callers: their
// connections, the heads and bodies of their requests, and the rest of a request that is
// refused.
//
// Conns bounds the connections of a listener and closes the one that has made no progress for
// longest when a new one finds no room. Bodies reads the bodies of requests into a bytebudget.
// docs/design/caller-limits.md lists what each state of a connection may hold and for how long.
package ingress
