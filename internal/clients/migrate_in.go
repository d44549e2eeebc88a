package clients

import (
	"net"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/conn"
	"stoatweir/internal/tenants"
	"stoatweir/internal/workers"
)

// AcceptMigrated adopts a connection from another process together with the invocation in flight on
// it, nil if there is none. It sets the invocation's number and returns it, or 0 without an
// invocation. operation is the index of the invocation's operation; age is the time since its
// admission at its first process. If there is no capacity for the connection, its client has
// disconnected or its tenant is not known here, AcceptMigrated returns false and leaves netConn to
// the caller.
func (s *Server) AcceptMigrated(netConn net.Conn, m MigratingConnection, invocation *workers.Invocation, operation int, age time.Duration) (
	inv dispatch.InvocationID, ok bool) {
	if !s.admitsMigrated(invocation) || conn.PeerClosed(netConn) || !s.quota.EnsureFree(0) {
		return noInvocation, false
	}
	var account *tenants.Account
	if invocation != nil {
		known := false
		account, known = s.accountOf(invocation.ID)
		if !known {
			return noInvocation, false
		}
	}
	c := &connection{
		server:           s,
		used:             !m.Unused,
		carriesCallbacks: m.CarriesCallbacks,
		acceptedAt:       s.loop.Now() - m.SinceAccept,
	}
	s.connections[c] = struct{}{}
	c.conn = s.quota.AdoptBuffered(netConn, m.Buffered, c)
	if invocation != nil {
		invocation.Number = c.resume(invocation, operation, age, account)
		inv = invocation.Number
	} else {
		c.resumeIdle()
	}
	c.DataReceived(c.conn)
	return inv, true
}

// admitsMigrated reports whether this process may adopt a connection with the given invocation or,
// if that is nil, an idle connection.
func (s *Server) admitsMigrated(invocation *workers.Invocation) bool {
	b := s.Behavior()
	if invocation == nil {
		return b.Admits && !b.ClosesIdle
	}
	return b.Admits && len(s.inFlight) < s.maxInFlight
}

// resumeIdle resumes a migrated connection that is between two requests or waits for its first one.
func (c *connection) resumeIdle() {
	c.conn.SetState(conn.StateIdle)
	if !c.used {
		c.conn.SetState(conn.StateNew)
		c.setFirstReadDeadline()
	}
}

// resume puts the invocation of a migrated connection in flight under a new number, which it
// returns.
func (c *connection) resume(
	invocation *workers.Invocation, operation int, age time.Duration, account *tenants.Account,
) dispatch.InvocationID {
	s := c.server
	now := s.loop.Now()
	r := &inFlightRequest{
		id:         invocation.ID,
		class:      s.classByOperation[operation],
		connection: c,
		admittedAt: now - age,
		deadline:   invocation.Deadline,
		account:    account,
		admission:  tenants.Request{Bytes: len(invocation.Body)},
	}
	if account != nil {
		s.Admission.AdmitMigrated(now, account, r.admission)
	}
	return s.register(r)
}
