package discovery

import (
	"net/netip"

	"stoatweir/dispatch"
)

// idTable gives each worker an ID that it keeps for good: its first address, or, where another worker has used
// that address before or there is none, the address qualified with the UID. An address can pass from one worker
// to the next and a worker can change its own; what was learned of the one must not count against the other.
type idTable struct {
	byUID map[string]dispatch.WorkerID
	used  map[dispatch.WorkerID]bool
}

func newIDTable() idTable {
	return idTable{
		byUID: map[string]dispatch.WorkerID{},
		used:  map[dispatch.WorkerID]bool{},
	}
}

func (t idTable) idOf(uid string, addr netip.AddrPort) dispatch.WorkerID {
	if id, known := t.byUID[uid]; known {
		return id
	}
	id := addr
	if !addr.IsValid() || t.used[addr] {
		id = qualifiedID(uid, addr)
	}
	t.byUID[uid] = id
	t.used[id] = true
	return id
}

// qualifiedID carries the UID as the zone of an IPv6 address.
func qualifiedID(uid string, addr netip.AddrPort) dispatch.WorkerID {
	base := netip.IPv6Unspecified()
	if addr.IsValid() {
		base = netip.AddrFrom16(addr.Addr().As16())
	}
	return netip.AddrPortFrom(base.WithZone(uid), addr.Port())
}
