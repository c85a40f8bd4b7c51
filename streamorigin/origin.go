// Package streamorigin tells daemons where streams began, so that a stream is continued only
// by endpoints of the software version that began it: what two versions generate does not
// fit together.
package streamorigin

// Origin is where a stream began. Only endpoints of the same service and software version
// may continue it.
type Origin struct {
	Service string
	Build   string // software version; empty: unknown, so that no endpoint may continue it
}
