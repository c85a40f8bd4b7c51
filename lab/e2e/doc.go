// Package e2e holds tests that send requests through a whole gateway to
// stand-ins, most of them in virtual time over connections in memory.
package e2e
