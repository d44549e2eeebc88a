package clients

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// idReleaseDelay is how long an identifier stays in use after the last attempt under it has ended:
// a DELETE or a late callback for the old invocation would otherwise be attributed to the new one.
const idReleaseDelay = 2 * time.Second

// handleSeparator separates a tenant's handle from the identifier or key that the tenant chose. No
// handle contains it.
const handleSeparator = "~"

// IDs lists the identifiers in use, sorted.
func (s *Server) IDs() []string { return slices.Sorted(maps.Keys(s.ids)) }

// ReleaseID ends the use of an identifier after the last attempt under it has ended: some time
// later if it was ever sent to a worker, as callbacks for it may still arrive.
func (s *Server) ReleaseID(id string, sent bool) {
	release := func() {
		delete(s.ids, id)
		s.OnOwnership(id, false)
	}
	if !sent {
		release()
		return
	}
	s.loop.After(idReleaseDelay, release)
}

// idInUse reports whether an identifier is in use, here or at the other process that serves the
// same address.
func (s *Server) idInUse(id string) bool { return s.ids[id] || s.OwnedByPeer(id) }

// Scope returns the tenant's handle in an identifier; empty if it has none.
func Scope(id string) string {
	handle, _, scoped := strings.Cut(id, handleSeparator)
	if !scoped {
		return ""
	}
	return handle
}
