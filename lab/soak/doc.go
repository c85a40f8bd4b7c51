// Package soak runs routed daemons as separate processes between stand-ins and injects
// faults: proxies on loopback delay, reset or silence connections or drop one direction;
// daemons are suspended, stopped, killed and restarted; the store rejects calls, loses
// answers or drops its history; keys are revoked, new weight versions are named, and
// requests crash their runners. It checks the answers that callers receive and the
// requests that runners run.
//
// A short run with a fixed seed is part of the tests. For longer runs:
//
//	SOAK_SEEDS=50 SOAK_FROM=1000 SOAK_SECONDS=15 go test -run Soak -timeout 30m ./soak
package soak
