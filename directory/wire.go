package directory

import (
	"encoding/binary"
	"errors"
	"maps"
	"math"
	"slices"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/internal/wire"
)

// ErrMalformed is returned for data that is not an encoded entry.
var ErrMalformed = errors.New("directory: entry is malformed")

const (
	entryFormat = 2 // version of the encoding
	// maxTextBytes limits each string of an entry, and maxModels the number of its models.
	maxTextBytes = 255
	maxModels    = 255
)

// Append encodes the entry without its ID, as daemons pass it to each other, and
// appends it to the slice. Strings beyond maxTextBytes are truncated, and models beyond
// maxModels omitted.
func (e *Entry) Append(to []byte) []byte {
	if to == nil {
		to = make([]byte, 0, 24+len(e.Service)+len(e.Address)+len(e.Zone)+len(e.Build)+16*len(e.Models))
	}
	to = append(to, entryFormat, byte(e.State))
	to = binary.AppendVarint(to, e.Born)
	to = binary.AppendVarint(to, e.Orders)
	to = binary.AppendUvarint(to, uint64(max(e.Slots, 0)))
	for _, text := range []string{e.Service, e.Address, string(e.Zone), e.Build} {
		to = appendText(to, text)
	}
	names := slices.Sorted(maps.Keys(e.Models))
	names = names[:min(len(names), maxModels)]
	to = append(to, byte(len(names)))
	for _, name := range names {
		to = binary.AppendVarint(appendText(to, name), e.Models[name])
	}
	return to
}

func appendText(to []byte, text string) []byte {
	text = text[:min(len(text), maxTextBytes)]
	return append(append(to, byte(len(text))), text...)
}

// DecodeEntry decodes the entry of the endpoint with the ID. The error is ErrMalformed or, as a
// daemon of an earlier release may pass such an entry on, an ErrNotEndpoint.
func DecodeEntry(id string, data []byte) (Entry, error) {
	r := wire.Reader{Remaining: data}
	format := r.Byte()
	e := Entry{ID: id, State: State(r.Byte()), Models: map[string]int64{}}
	e.Born, e.Orders = r.Varint(), r.Varint()
	e.Slots = int(r.Uvarint(math.MaxInt32))
	e.Service, e.Address = r.Text(maxTextBytes), r.Text(maxTextBytes)
	e.Zone, e.Build = fleet.ZoneID(r.Text(maxTextBytes)), r.Text(maxTextBytes)
	for n := r.Byte(); n > 0 && !r.Malformed; n-- {
		name := r.Text(maxTextBytes)
		e.Models[name] = r.Varint()
	}
	if r.Malformed || len(r.Remaining) > 0 || format != entryFormat || e.State > Draining {
		return Entry{}, ErrMalformed
	}
	if err := e.Check(); err != nil {
		return Entry{}, err
	}
	return e, nil
}
