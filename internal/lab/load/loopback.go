package load

import (
	"fmt"
	"net/netip"
)

// CheckLoopback returns an error for an address that is not on this machine: a load that is aimed elsewhere by mistake is an
// attack.
func CheckLoopback(addr string) error {
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil {
		return fmt.Errorf("%q is no address with a port", addr)
	}
	if !parsed.Addr().IsLoopback() {
		return fmt.Errorf("%s is not on this machine: only loopback addresses are", addr)
	}
	return nil
}
