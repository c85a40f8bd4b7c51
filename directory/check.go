package directory

import (
	"errors"
	"fmt"

	"github.com/merlindock/merlindock/internal/wire"
)

// maxSlots bounds the number of requests that an endpoint runs at once.
const maxSlots = 1 << 16

// ErrNotEndpoint is returned for an entry that names no endpoint which requests can be sent to.
var ErrNotEndpoint = errors.New("directory: entry names no usable endpoint")

// Check returns an ErrNotEndpoint if requests can't be sent to an endpoint with this entry, or
// if daemons could not pass the entry on to each other. Other programs may write entries too.
func (e *Entry) Check() error {
	switch {
	case e.ID == "" || e.Service == "" || e.Zone == "":
		return fmt.Errorf("%w: fields are missing", ErrNotEndpoint)
	case len(e.Service) > maxTextBytes || len(e.Zone) > maxTextBytes || len(e.Build) > maxTextBytes:
		return fmt.Errorf("%w: a text exceeds %d bytes", ErrNotEndpoint, maxTextBytes)
	case e.Slots < 1 || e.Slots > maxSlots:
		return fmt.Errorf("%w: %d slots, expected 1 to %d", ErrNotEndpoint, e.Slots, maxSlots)
	case e.Orders < 0:
		return fmt.Errorf("%w: %d orders", ErrNotEndpoint, e.Orders)
	case len(e.Models) > maxModels:
		return fmt.Errorf("%w: %d models, expected at most %d", ErrNotEndpoint, len(e.Models), maxModels)
	}
	for name, version := range e.Models {
		if len(name) > maxTextBytes || version < 0 {
			return fmt.Errorf("%w: model %.40q has version %d", ErrNotEndpoint, name, version)
		}
	}
	if err := wire.CheckAddress(e.Address); err != nil {
		return fmt.Errorf("%w: %w", ErrNotEndpoint, err)
	}
	return nil
}
