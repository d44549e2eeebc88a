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
	migrationNone      migrationState = iota // not attempted yet
	migrationDetaching                       // reading has been stopped; it migrates once all is flushed, if it still can then
	migrationInTransit                       // the other process is offered its socket; one of three outcomes follows
	migrationRejected                        // the other process did not accept it; it is not attempted again
)

// MigratingConnection is a connection in transit to the other process, with the invocation in
// flight on it. Exactly one of Accepted, Returned and PeerFailed ends the migration.
type MigratingConnection struct {
	Socket           syscall.Conn
	Buffered         []byte                // received and not parsed yet
	CarriesCallbacks bool                  // a worker's callback has arrived on it
	Unused           bool                  // neither an invocation nor a callback has arrived on it
	SilentFor        time.Duration         // since its accept, if Unused
	Invocation       dispatch.InvocationID // in flight on it; 0: none

	connection *connection
	request    *inFlightRequest // nil: no invocation is in flight
	record     *invariant.MigratedRequest
}

// MigrateConnections detaches connections that can migrate, and calls pass with each once reading
// has stopped and all is flushed. At most so many migrate at once. allowed reports whether an
// invocation can migrate at present.
func (s *Server) MigrateConnections(most int, allowed func(dispatch.InvocationID) bool, pass func(*MigratingConnection)) {
	underWay := 0
	for c := range s.connections {
		if c.migration == migrationDetaching || c.migration == migrationInTransit {
			underWay++
		}
	}
	for c := range s.connections {
		if underWay >= most {
			return
		}
		if c.migration == migrationNone && c.migratable() {
			c.migration = migrationDetaching
			underWay++
			c.conn.Detach(func() { c.migrate(allowed, pass) })
		}
	}
}

// HasMigratable reports whether a connection is left that can migrate, or is about to.
func (s *Server) HasMigratable() bool {
	for c := range s.connections {
		if c.migratable() {
			return true
		}
	}
	return false
}

// migratable reports whether the connection is between two requests, or a whole one awaits its
// answer, and whether the other process neither has it nor has rejected it.
func (c *connection) migratable() bool {
	if c.migration == migrationInTransit || c.migration == migrationRejected {
		return false
	}
	return !c.answerDeferred && !c.closeAfterAnswer && !c.parser.Started()
}

// migrate passes a detached connection to the other process; one that can't migrate at present is
// attached again, and attempted later.
func (c *connection) migrate(allowed func(dispatch.InvocationID) bool, pass func(*MigratingConnection)) {
	s := c.server
	forbidden := c.invocation != noInvocation && !allowed(c.invocation)
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
		m.SilentFor = s.loop.Now() - c.acceptedAt
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
	pass(m)
}

// takeBuffered removes and returns what has been received and not parsed.
func (c *connection) takeBuffered() []byte {
	var buffered []byte
	for part := c.conn.In.Bytes(); len(part) > 0; part = c.conn.In.Bytes() {
		buffered = append(buffered, part...)
		c.conn.In.Drop(len(part))
	}
	return buffered
}

// Accepted ends the migration: the connection is the other process's now.
func (m *MigratingConnection) Accepted() {
	c := m.connection
	s := c.server
	s.migrating--
	delete(s.connections, c)
	s.ClosedConnections[closedMigrated]++
	c.conn.Close()
	if m.request != nil {
		delete(s.ids, m.request.id)
		s.OnOwnership(m.request.id, false)
	}
}

// Returned ends the migration: the other process has not accepted the connection, and it is resumed
// here.
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
	if c.conn.PeerClosed() { // during the migration: its invocation must not be forwarded before that is read
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

// PeerFailed ends the migration: the other process has died and may have forwarded the invocation,
// or it hangs and may still find the connection. The connection ends for both processes, so that
// nobody answers twice and nothing more is forwarded.
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
