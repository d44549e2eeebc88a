package clients

import (
	"syscall"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/accounting"
	"stoatweir/internal/conn"
	"stoatweir/internal/invariant"
)

// migrationState is the state of a connection's migration to the other process that serves the same
// address.
type migrationState uint8

const (
	migrationNone      migrationState = iota // not attempted yet, or to be attempted again
	migrationDetaching                       // reading is being stopped; once all output is written, it migrates if it still can
	migrationInTransit                       // its socket was offered to the other process; ends with Accepted, Returned or PeerFailed
	migrationRejected                        // the other process did not accept it; the migration is not attempted again
)

// MigratingConnection is a connection in transit to the other process, with the invocation in
// flight on it, if any. The migration ends with a call of exactly one of Accepted, Returned and
// PeerFailed.
type MigratingConnection struct {
	Socket           syscall.Conn
	Buffered         []byte                // received but not parsed yet
	CarriesCallbacks bool                  // a worker's callback has arrived on it
	Unused           bool                  // neither an invocation nor a callback has arrived on it
	SinceAccept      time.Duration         // time since the accept; set only if Unused
	Invocation       dispatch.InvocationID // the one in flight on the connection; 0 if none

	connection *connection
	request    *inFlightRequest           // nil if no invocation is in flight
	record     *invariant.MigratedRequest // of the request, for the invariant checker; nil if there is none
}

// MigrateConnections detaches connections that can migrate, and calls offer with each one once its
// reading has stopped and its output has been written. At most limit connections migrate at once.
// mayMigrate reports whether an invocation can migrate at present.
func (s *Server) MigrateConnections(limit int, mayMigrate func(dispatch.InvocationID) bool, offer func(*MigratingConnection)) {
	ongoing := 0
	for c := range s.connections {
		if c.migration == migrationDetaching || c.migration == migrationInTransit {
			ongoing++
		}
	}
	for c := range s.connections {
		if ongoing >= limit {
			return
		}
		if c.migration == migrationNone && c.migratable() {
			c.migration = migrationDetaching
			ongoing++
			c.conn.Detach(func() { c.migrate(mayMigrate, offer) })
		}
	}
}

// HasMigratable reports whether any connection can migrate or is being detached for its migration.
func (s *Server) HasMigratable() bool {
	for c := range s.connections {
		if c.migratable() {
			return true
		}
	}
	return false
}

// migratable reports whether the connection is between two requests, or has received a whole
// request that waits for its answer, and has neither been offered to the other process nor been
// rejected by it.
func (c *connection) migratable() bool {
	if c.migration == migrationInTransit || c.migration == migrationRejected {
		return false
	}
	return !c.answerDeferred && !c.closeAfterAnswer && !c.parser.Started()
}

// migrate offers a detached connection to the other process. If the connection can't migrate at
// present, it is attached again and its migration is attempted later.
func (c *connection) migrate(mayMigrate func(dispatch.InvocationID) bool, offer func(*MigratingConnection)) {
	s := c.server
	forbidden := c.invocation != noInvocation && !mayMigrate(c.invocation)
	if forbidden || !c.migratable() || c.conn.Unsent() > 0 {
		c.migration = migrationNone
		c.conn.Attach()
		return
	}
	socket, open := c.conn.Socket()
	if !open {
		return
	}
	m := &MigratingConnection{
		Socket:           socket,
		Buffered:         c.takeBuffered(),
		CarriesCallbacks: c.carriesCallbacks,
		Unused:           !c.used,
		Invocation:       c.invocation,
		connection:       c,
	}
	if m.Unused {
		m.SinceAccept = s.loop.Now() - c.acceptedAt
	}
	if c.invocation != noInvocation {
		m.request = s.inFlight[c.invocation]
		m.record = s.Invariants.MigrateOut(c.invocation)
		s.complete(c.invocation, accounting.Migrated)
	}
	c.migration = migrationInTransit
	s.migrating++
	c.readTimer.Stop()
	c.readTimer = nil
	offer(m)
}

// takeBuffered removes and returns the bytes that have been received but not parsed.
func (c *connection) takeBuffered() []byte {
	var buffered []byte
	for part := c.conn.In.Bytes(); len(part) > 0; part = c.conn.In.Bytes() {
		buffered = append(buffered, part...)
		c.conn.In.Discard(len(part))
	}
	return buffered
}

// Accepted ends the migration after the other process has taken the connection over.
func (m *MigratingConnection) Accepted() {
	c := m.connection
	s := c.server
	s.migrating--
	delete(s.connections, c)
	s.ClosedConnections[closedMigrated]++
	c.conn.Close()
	if m.request != nil {
		delete(s.idsInUse, m.request.id)
		s.OnIDUseChanged(m.request.id, false)
	}
}

// Returned ends the migration after the other process has not accepted the connection, and resumes
// it here.
func (m *MigratingConnection) Returned() {
	c := m.connection
	s := c.server
	s.migrating--
	c.migration = migrationRejected
	if m.request != nil {
		s.restore(m)
	}
	c.conn.In.Write(m.Buffered)
	if m.Unused {
		c.setFirstReadDeadline()
	}
	if c.conn.PeerClosed() {
		// The client has disconnected during the migration. This is handled at once, because the
		// invocation could be forwarded before the event loop reads the disconnect.
		c.conn.Close()
		c.Disconnected(c.conn, conn.Closed)
		return
	}
	c.conn.Attach()
	c.DataReceived(c.conn)
}

// restore puts the invocation of a returned connection back in flight.
func (s *Server) restore(m *MigratingConnection) {
	s.Ledger.MigrationReturned(m.request.class)
	if m.request.account != nil {
		s.Admission.MigrationReturned(s.loop.Now(), m.request.account, m.request.admission)
	}
	s.Invariants.CancelMigration(m.Invocation, m.record)
	s.inFlight[m.Invocation] = m.request
	s.startOverdueTimer(m.Invocation, m.request)
}

// PeerFailed ends the migration after the other process has died or stopped responding. In the
// first case it may have forwarded the invocation, in the second it may still use the connection.
// So the connection is ended for both processes: no second answer is sent and nothing more is
// forwarded.
func (m *MigratingConnection) PeerFailed() {
	c := m.connection
	m.Returned()
	if _, open := c.server.connections[c]; !open {
		return
	}
	c.closeAfterAnswer = true
	if c.invocation != noInvocation {
		c.server.Fail(c.invocation)
	} else {
		c.closeAfterFlush()
	}
	c.conn.ShutdownRead()
}
