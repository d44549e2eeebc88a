package takeover

import (
	"encoding/json"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/clients"
	"stoatweir/internal/conn"
	"stoatweir/internal/handover"
)

const (
	// migrateResultTimeout bounds the wait for the successor's answer to one migrating connection.
	migrateResultTimeout = time.Second
	// maxMigrationsInFlight bounds the connections that migrate, or are being prepared to, at a time.
	// The successor answers each with two messages, and a link with 512 queued messages is closed: a
	// higher bound overflowed that queue, and all requests in flight were lost.
	maxMigrationsInFlight = 128
	// migrationRefillThreshold is the number of unanswered migrations below which further ones start.
	migrationRefillThreshold = maxMigrationsInFlight / 4
)

// migration is a connection that was sent to the successor, which has not answered for it yet.
type migration struct {
	*clients.MigratingConnection
	// requestID is the ID of the request that waits on the connection; empty: the connection is idle.
	requestID string
	// record is the dispatcher's record of the request at the time recordedAt of the event loop's clock.
	record     dispatch.MigratedIn
	recordedAt time.Duration
	timeout    *conn.Timer
}

// MigrateConnections sends connections to the successor, if there is one, until maxMigrationsInFlight
// are in transit.
func (m *Manager) MigrateConnections() {
	p := m.peer
	if p == nil || p.role != roleSuccessor {
		return
	}
	m.clients.MigrateConnections(maxMigrationsInFlight, m.canMigrate, func(c *clients.MigratingConnection) {
		if m.peer != p {
			c.Returned()
			return
		}
		m.migrate(p, c)
	})
}

// canMigrate reports whether a request can migrate in its present state: its client awaits the answer,
// each of its attempts has been accepted by the worker, so that none is still being sent, and the
// dispatcher, having processed all queued events, still has it open.
func (m *Manager) canMigrate(id dispatch.InvocationID) bool {
	m.service.Decide()
	request, tracked := m.service.Request(id)
	if !tracked || !m.clients.AwaitsAnswer(id) || !m.workers.AttemptsAccepted(id, request.Attempts) {
		return false
	}
	_, recorded := m.service.MigrationRecord(id)
	return recorded
}

// migrate sends a connection to the successor, with the request that waits on it, if any.
func (m *Manager) migrate(p *peer, c *clients.MigratingConnection) {
	p.sequence++
	sequence := p.sequence
	message := handover.Message{
		Kind:     handover.KindMigrate,
		Sequence: sequence,
		Socket:   c.Socket,
		Connection: &handover.MigratedConnection{
			Buffered:         c.Buffered,
			CarriesCallbacks: c.CarriesCallbacks,
			Unused:           c.Unused,
			SilentFor:        c.SinceAccept,
		},
	}
	pending := &migration{MigratingConnection: c}
	if c.Invocation != 0 {
		if err := m.attachRequest(pending, &message); err != nil {
			m.log.WithError(err).Error("request migration failed")
			c.Returned()
			return
		}
		m.service.BeginMigration(c.Invocation)
	}
	p.migrations[sequence] = pending
	// On a timeout the link is closed instead of the connection being taken back: a successor that
	// hangs may still adopt the connection later, and only its exit rules that out.
	pending.timeout = m.loop.After(migrateResultTimeout, p.link.Close)
	p.link.Send(message)
}

// attachRequest adds the request that waits on a migrating connection to the migrate message, and
// records it in the migration, from which restoreRequest can restore it.
func (m *Manager) attachRequest(pending *migration, message *handover.Message) error {
	request, _ := m.service.Request(pending.Invocation)
	pending.requestID = request.ID
	pending.record, _ = m.service.MigrationRecord(pending.Invocation)
	pending.recordedAt = m.loop.Now()
	encoded, err := json.Marshal(m.encodeRequest(request, pending.record))
	if err != nil {
		return err
	}
	message.Connection.Invocation = encoded
	message.Body = request.Body
	return nil
}

// isMigrating reports whether a request is in transit to the peer.
func (p *peer) isMigrating(id string) bool {
	for _, pending := range p.migrations {
		if pending.Invocation != 0 && pending.requestID == id {
			return true
		}
	}
	return false
}

// handleMigrateResult ends a migration that the successor has answered, and starts further ones.
func (m *Manager) handleMigrateResult(p *peer, message handover.Message) {
	pending := p.migrations[message.Sequence]
	if pending == nil {
		return
	}
	delete(p.migrations, message.Sequence)
	pending.timeout.Stop()
	if message.Accepted {
		m.finishMigration(pending)
	} else {
		m.restoreRequest(pending)
		pending.Returned()
	}
	if m.service.ShouldMigrate() && len(p.migrations) < migrationRefillThreshold {
		m.MigrateConnections()
	}
}

// finishMigration ends a migration whose connection the successor has adopted.
func (m *Manager) finishMigration(pending *migration) {
	if pending.Invocation != 0 {
		m.service.FinishMigration(pending.Invocation)
	}
	pending.Accepted()
}

// restoreRequest makes the request of a failed migration a request of this process again.
func (m *Manager) restoreRequest(pending *migration) {
	if pending.Invocation == 0 {
		return
	}
	m.service.CancelMigration(pending.Invocation, pending.record.Aged(m.loop.Now()-pending.recordedAt))
}

// failMigrations ends all migrations that the successor had not answered when it exited or was given
// up. Their client connections are closed, as the successor may have forwarded the requests.
func (m *Manager) failMigrations(p *peer) {
	for _, pending := range p.migrations {
		pending.timeout.Stop()
		m.restoreRequest(pending)
		pending.PeerFailed()
		if pending.Invocation != 0 {
			m.service.Notify(dispatch.ClientDisconnected{Invocation: pending.Invocation})
		}
	}
	p.migrations = nil
}
