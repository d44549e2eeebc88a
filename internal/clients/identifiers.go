package clients

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// idReleaseDelay is how long an identifier stays in use after the last attempt under it has ended.
// If the identifier were reused earlier, a DELETE or a late callback for the old invocation would
// be attributed to the new one.
const idReleaseDelay = 2 * time.Second

// handleSeparator separates a tenant's handle from the identifier or idempotency key that the
// tenant chose. No handle contains it.
const handleSeparator = "~"

// IDs returns the identifiers in use, sorted.
func (s *Server) IDs() []string { return slices.Sorted(maps.Keys(s.idsInUse)) }

// ReleaseID ends the use of an identifier after the last attempt under it has ended: at once if it
// was never sent to a worker, otherwise after idReleaseDelay, as callbacks for it may still arrive.
func (s *Server) ReleaseID(id string, sent bool) {
	release := func() {
		delete(s.idsInUse, id)
		s.OnIDUseChanged(id, false)
	}
	if !sent {
		release()
		return
	}
	s.loop.After(idReleaseDelay, release)
}

// idInUse reports whether an identifier is in use, here or at the other process that serves the
// same address.
func (s *Server) idInUse(id string) bool { return s.idsInUse[id] || s.IDInUseAtPeer(id) }

// TenantHandle returns the tenant's handle in an identifier, or "" if it has none.
func TenantHandle(id string) string {
	handle, _, scoped := strings.Cut(id, handleSeparator)
	if !scoped {
		return ""
	}
	return handle
}
