package wire

import (
	"fmt"
	"net/netip"
)

// CheckAddress returns an error unless the text is an IP:port that a connection can be opened to.
func CheckAddress(text string) error {
	at, err := netip.ParseAddrPort(text)
	broadcast := netip.AddrFrom4([4]byte{255, 255, 255, 255})
	switch ip := at.Addr().Unmap(); {
	case err != nil:
		return fmt.Errorf("address %.60q is no IP:port", text)
	case at.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() || ip == broadcast:
		return fmt.Errorf("address %s can't be connected to", at)
	}
	return nil
}
