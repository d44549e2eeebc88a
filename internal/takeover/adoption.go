package takeover

import (
	"encoding/json"
	"net"

	"stoatweir/internal/clients"
	"stoatweir/internal/handover"
	"stoatweir/internal/workers"
)

// adopt takes a connection over that the predecessor has sent, with the request that waits on it, and reports whether it
// did. One that can't be served here in the same way stays at the predecessor.
func (m *Manager) adopt(message handover.Message) bool {
	if message.File == nil || message.Connection == nil {
		return false
	}
	connection, err := net.FileConn(message.File)
	if err != nil {
		return false
	}
	if !m.adoptConnection(connection, message) {
		connection.Close()
		return false
	}
	return true
}

func (m *Manager) adoptConnection(connection net.Conn, message handover.Message) bool {
	migrating := clients.MigratingConnection{
		Buffered:         message.Connection.Buffered,
		CarriesCallbacks: message.Connection.CarriesCallbacks,
		Unused:           message.Connection.Unused,
		SilentFor:        message.Connection.SilentFor,
	}
	if message.Connection.Invocation == nil {
		_, adopted := m.clients.AcceptMigrated(connection, migrating, nil, 0, 0)
		return adopted
	}
	var migrated migratedRequest
	if json.Unmarshal(message.Connection.Invocation, &migrated) != nil {
		return false
	}
	migrated.ageInTransit(uptime())
	operation, known := m.resolve(&migrated)
	if !known || migrated.Remaining <= 0 {
		return false
	}
	invocation := &workers.Invocation{
		ID:       migrated.ID,
		Method:   migrated.Method,
		Target:   migrated.Target,
		Fields:   migrated.Fields,
		Body:     message.Body,
		Deadline: m.loop.Now() + migrated.Remaining,
		Effect:   m.service.Deployment().Dispatch.Operations[operation].Effect,
	}
	record := migrated.Record
	id, adopted := m.clients.AcceptMigrated(connection, migrating, invocation, operation, record.Age)
	if !adopted {
		return false
	}
	record.Invocation = id
	record.Operation = operation
	m.service.AdoptRequest(Request{Invocation: invocation, Operation: operation, Attempts: len(record.Attempts)}, record)
	return true
}
