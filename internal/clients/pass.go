package clients

import (
	"net"
	"syscall"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/accounting"
	"stoatweir/internal/conn"
	"stoatweir/internal/invariant"
	"stoatweir/internal/tenants"
	"stoatweir/internal/workers"
)

// Parcel is a connection on its way to another process, with the invocation that waits on it.
type MigratingConnection struct {
	Socket           syscall.Conn
	Buffered         []byte
	CarriesCallbacks bool
	Unused           bool                  // nothing has come over it yet
	SilentFor        time.Duration         // for so long, of a fresh one
	Invocation       dispatch.InvocationID // 0: it is idle

	connection *connection
	job        *inFlightRequest
	record     *invariant.MigratedRequest
}

// Offer stops connections that could go to another process, and gives each to pass once nothing moves on it any more; most may
// be under way. may tells whether an invocation can go as it stands.
func (s *Server) MigrateConnections(most int, may func(dispatch.InvocationID) bool, pass func(*MigratingConnection)) {
	under := 0
	for v := range s.connections {
		if v.offered {
			under++
		}
	}
	for v := range s.connections {
		if under >= most {
			return
		}
		if v.migratable() && !v.offered {
			v.offered = true
			under++
			v.conn.Detach(func() { v.migrate(may, pass) })
		}
	}
}

// Passable tells whether there is still a connection that could go.
func (s *Server) HasMigratable() bool {
	for v := range s.connections {
		if v.migratable() {
			return true
		}
	}
	return false
}

// passable: it is between two requests, or a whole one waits for its answer, and the other process has not refused it.
func (c *connection) migratable() bool {
	return c.parcel == nil && !c.stays && !c.answerDeferred && !c.closeAfterAnswer && !c.parser.Started()
}

func (c *connection) migrate(may func(dispatch.InvocationID) bool, pass func(*MigratingConnection)) {
	d := c.server
	if c.invocation != 0 && !may(c.invocation) || !c.migratable() || c.conn.Unsent() > 0 {
		c.offered = false
		c.conn.Attach() // it will be asked again
		return
	}
	socket, stands := c.conn.Socket()
	if !stands {
		return
	}
	p := &MigratingConnection{Socket: socket, CarriesCallbacks: c.carriesCallbacks, Unused: !c.used, Invocation: c.invocation, connection: c}
	if p.Unused {
		p.SilentFor = d.loop.Now() - c.acceptedAt
	}
	for part := c.conn.In.Bytes(); len(part) > 0; part = c.conn.In.Bytes() {
		p.Buffered = append(p.Buffered, part...)
		c.conn.In.Drop(len(part))
	}
	if c.invocation != 0 {
		p.job, p.record = d.inFlight[c.invocation], d.Invariants.MigrateOut(c.invocation)
		d.complete(c.invocation, accounting.Migrated)
	}
	c.parcel = p
	d.migrating++
	c.slow.Stop()
	c.slow = nil
	pass(p)
}

// Kept: the other process has it.
func (m *MigratingConnection) Accepted() {
	v, d := m.connection, m.connection.server
	d.migrating--
	delete(d.connections, v)
	d.ClosedConnections[closedMigrated]++
	v.conn.Close()
	if m.job != nil {
		delete(d.ids, m.job.id)
		d.OnOwnership(m.job.id, false)
	}
}

// Back: the other process would not have it, and it goes on here.
func (m *MigratingConnection) Returned() {
	v, d := m.connection, m.connection.server
	d.migrating--
	v.parcel, v.stays, v.offered = nil, true, false
	if m.job != nil {
		d.Ledger.MigrationReturned(m.job.class)
		if m.job.account != nil {
			d.Admission.MigrationReturned(d.loop.Now(), m.job.account, m.job.admission)
		}
		d.Invariants.CancelMigration(m.Invocation, m.record)
		d.inFlight[m.Invocation] = m.job
		d.startOverdueTimer(m.Invocation, m.job)
	}
	v.conn.In.Write(m.Buffered)
	if m.Unused {
		v.setFirstReadDeadline()
	}
	if v.conn.PeerClosed() { // while it was on the way; what waits on it must not be sent on before that is read
		v.conn.Close()
		v.Disconnected(v.conn, conn.Closed)
		return
	}
	v.conn.Attach()
	v.DataReceived(v.conn)
}

// Lost: the other process has died with it on the way, and may have sent it on; or it hangs, and may still find the
// connection. It ends here for both, so that nobody answers twice and nothing more is sent on.
func (m *MigratingConnection) PeerFailed() {
	v := m.connection
	m.Returned()
	if _, stays := v.server.connections[v]; !stays {
		return
	}
	if v.closeAfterAnswer = true; v.invocation != 0 {
		v.server.Fail(v.invocation)
	} else {
		v.closeAfterFlush()
	}
	v.conn.Sever()
}

// Inherit takes a connection of another process in, with the invocation that waits on it, if any; inv is its name here. False:
// there is no room for it.
func (s *Server) AcceptMigrated(nc net.Conn, p MigratingConnection, j *workers.Invocation, operation int, age time.Duration) (inv dispatch.InvocationID,
	kept bool) {
	m := s.Behavior()
	if !m.Admits || m.ClosesIdle && j == nil || j != nil && len(s.inFlight) >= s.maxInFlight || conn.PeerClosed(nc) || !s.quota.EnsureFree(0) {
		return 0, false
	}
	var seat *tenants.Account
	if j != nil {
		known := false
		if seat, known = s.accountOf(j.ID); !known {
			return 0, false
		}
	}
	v := &connection{server: s, used: !p.Unused, carriesCallbacks: p.CarriesCallbacks, acceptedAt: s.loop.Now() - p.SilentFor}
	s.connections[v] = struct{}{}
	v.conn = s.quota.Inherit(nc, p.Buffered, v)
	if j == nil {
		if v.conn.SetState(conn.StateIdle); p.Unused {
			v.conn.SetState(conn.StateNew)
			v.setFirstReadDeadline()
		}
		v.DataReceived(v.conn)
		return 0, true
	}
	s.lastInvocation++
	v.invocation, j.Number = s.lastInvocation, s.lastInvocation
	s.Ledger.Admitted(s.classes[operation])
	job := &inFlightRequest{id: j.ID, class: s.classes[operation], connection: v, admittedAt: s.loop.Now() - age, deadline: j.Deadline,
		account: seat, admission: tenants.Request{Bytes: len(j.Body)}}
	if seat != nil {
		s.Admission.AdmitMigrated(s.loop.Now(), seat, job.admission)
	}
	s.inFlight[j.Number], s.ids[j.ID] = job, true
	s.startOverdueTimer(j.Number, job)
	s.OnOwnership(j.ID, true)
	v.DataReceived(v.conn)
	return j.Number, true
}

// watch answers an invocation that the decisions have let go overdue.
func (s *Server) startOverdueTimer(inv dispatch.InvocationID, j *inFlightRequest) {
	j.overdueTimer = s.loop.After(j.deadline+overdueGrace-s.loop.Now(), func() {
		s.Counts.Overdue++
		s.Fail(inv)
		s.OnEvent(dispatch.ClientDisconnected{Invocation: inv})
	})
}
