package discovery

import (
	"net/netip"

	"stoatweir/dispatch"
)

// idTable assigns each worker a permanent ID: its first address or, if another worker has used that
// address before or the worker has none, the address qualified with the UID. An address can pass
// from one worker to another, and a worker can change its address; what has been learned about one
// worker must not be attributed to another.
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

// idOf returns the ID of a worker. A UID that is not known yet gets one, derived from addr.
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

// qualifiedID returns an ID that carries the UID as the zone of an IPv6 address.
func qualifiedID(uid string, addr netip.AddrPort) dispatch.WorkerID {
	base := netip.IPv6Unspecified()
	if addr.IsValid() {
		base = netip.AddrFrom16(addr.Addr().As16())
	}
	return netip.AddrPortFrom(base.WithZone(uid), addr.Port())
}
