// Package streamorigin tells daemons where streams began, so that a stream is continued only
// by endpoints of the software version that began it: what two versions generate does not
// fit together.
//
// A caller may take a stream up at any daemon. The daemon at which it began tells its origin
// to a few daemons that every daemon determines from the stream's ID, its owners, before the
// caller receives the first event. The daemon at which the caller takes it up asks them.
// While a service has had one software version for longer than any stream lasts, a stream
// without a record began there, and nothing is told: a daemon that knows this of itself may
// answer in place of a record. What is neither recorded nor known in this way is unknown,
// which is no version.
//
// Messages may be lost, delayed or duplicated. The package does no I/O and reads no clock.
// Times are readings of a clock that continues while the machine is suspended.
package streamorigin

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// Origin is where a stream began. Only endpoints of the same service and software version
// may continue it.
type Origin struct {
	Service string
	Build   string // software version; empty: unknown, so that no endpoint may continue it
}

// ID identifies a stream for all daemons.
type ID [idBytes]byte

const idBytes = 16

// IDOf returns the ID of the stream whose first event the attempt brought. It depends on the
// organisation and on what is requested, so that nobody takes up the stream of another
// organisation or path, or learns whether there is one.
func IDOf(organisation, method, host, path, attemptID string) ID {
	var fields []byte
	for _, text := range [...]string{organisation, method, host, path, attemptID} {
		// Length-prefixed, so that different lists of fields never encode equally.
		fields = binary.LittleEndian.AppendUint32(fields, uint32(len(text)))
		fields = append(fields, text...)
	}
	sum := sha256.Sum256(fields)
	return ID(sum[:idBytes])
}

func (id ID) hash() uint64 { return binary.LittleEndian.Uint64(id[:]) }

// Window is how long a service must have had a single software version before streams
// without a record are known to have begun there, and how long records are kept at least.
const Window = 20 * time.Second
