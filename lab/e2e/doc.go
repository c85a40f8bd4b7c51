// Package e2e holds end-to-end tests and benchmarks of the gateway. They send
// requests through a complete gateway to simulated runners and services, most of
// them in virtual time over in-memory connections.
package e2e
