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
	// migrateResultTimeout is how long the successor may take to answer for a connection.
	migrateResultTimeout = time.Second
	// maxMigrations is how many connections may migrate, or be about to, at a time. The successor answers each with two
	// messages, and a link with 512 queued messages is closed: more at a time lost all requests in flight.
	maxMigrations = 128
	// minMigrations is how few unanswered migrations let the next ones begin.
	minMigrations = maxMigrations / 4
)

// migration is a connection that was sent to the successor, which has not answered yet.
type migration struct {
	*clients.MigratingConnection
	// requestID is the ID of the request that waits on it; empty: it is idle.
	requestID string
	// record is the request's, as it was at recordedAt on the event loop's clock.
	record     dispatch.MigratedIn
	recordedAt time.Duration
	timeout    *conn.Timer
}

// MigrateConnections sends connections to the successor, if there is one, for as long as fewer than maxMigrations are on
// their way.
func (m *Manager) MigrateConnections() {
	p := m.peer
	if p == nil || p.role != successor {
		return
	}
	m.clients.MigrateConnections(maxMigrations, m.canMigrate, func(c *clients.MigratingConnection) {
		if m.peer != p {
			c.Returned()
			return
		}
		m.migrate(p, c)
	})
}

// canMigrate reports whether a request can migrate as it stands: the dispatcher has been notified of all that has
// happened, and no attempt is being sent.
func (m *Manager) canMigrate(id dispatch.InvocationID) bool {
	m.service.Decide()
	request, tracked := m.service.Request(id)
	if !tracked || !m.clients.AwaitsAnswer(id) || !m.workers.AttemptsAccepted(id, request.Attempts) {
		return false
	}
	_, recorded := m.service.MigrationRecord(id)
	return recorded
}

// migrate sends a connection to the successor.
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
			SilentFor:        c.SilentFor,
		},
	}
	sent := &migration{MigratingConnection: c}
	if c.Invocation != 0 {
		if err := m.attachRequest(sent, &message); err != nil {
			m.log.WithError(err).Error("request migration failed")
			c.Returned()
			return
		}
		m.service.BeginMigration(c.Invocation)
	}
	p.migrations[sequence] = sent
	// A successor that hangs may still adopt it later: only the successor's exit is certain.
	sent.timeout = m.loop.After(migrateResultTimeout, p.link.Close)
	p.link.Send(message)
}

// attachRequest adds the request that waits on a connection to its message.
func (m *Manager) attachRequest(sent *migration, message *handover.Message) error {
	request, _ := m.service.Request(sent.Invocation)
	sent.requestID = request.ID
	sent.record, _ = m.service.MigrationRecord(sent.Invocation)
	sent.recordedAt = m.loop.Now()
	text, err := json.Marshal(m.encodeRequest(request, sent.record))
	if err != nil {
		return err
	}
	message.Connection.Invocation = text
	message.Body = request.Body
	return nil
}

// isMigrating reports whether a request is on its way to the other process.
func (p *peer) isMigrating(id string) bool {
	for _, sent := range p.migrations {
		if sent.Invocation != 0 && sent.requestID == id {
			return true
		}
	}
	return false
}

// handleMigrateResult ends a migration, and lets further ones begin.
func (m *Manager) handleMigrateResult(p *peer, message handover.Message) {
	sent := p.migrations[message.Sequence]
	if sent == nil {
		return
	}
	delete(p.migrations, message.Sequence)
	sent.timeout.Stop()
	if message.Accepted {
		m.finish(sent)
	} else {
		m.restore(sent)
		sent.Returned()
	}
	if m.service.Migrates() && len(p.migrations) < minMigrations {
		m.MigrateConnections()
	}
}

// finish ends a migration whose connection the successor has adopted.
func (m *Manager) finish(sent *migration) {
	if sent.Invocation != 0 {
		m.service.FinishMigration(sent.Invocation)
	}
	sent.Accepted()
}

// restore makes the request of a migration ours again.
func (m *Manager) restore(sent *migration) {
	if sent.Invocation == 0 {
		return
	}
	m.service.CancelMigration(sent.Invocation, sent.record.Aged(m.loop.Now()-sent.recordedAt))
}

// failMigrations ends all migrations that the successor had not answered when it exited.
func (m *Manager) failMigrations(p *peer) {
	for _, sent := range p.migrations {
		sent.timeout.Stop()
		m.restore(sent)
		sent.PeerFailed()
		if sent.Invocation != 0 {
			m.service.Notify(dispatch.ClientDisconnected{Invocation: sent.Invocation})
		}
	}
	p.migrations = nil
}
