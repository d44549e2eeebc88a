package takeover

import (
	"encoding/json"
	"net"

	"stoatweir/internal/clients"
	"stoatweir/internal/handover"
	"stoatweir/internal/workers"
)

// adopt takes over the connection in a migrate message of the predecessor, together with the request
// that waits on it, if any, and reports whether it did. A connection that this process can't serve in
// the same way as the predecessor is rejected and stays with the predecessor.
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

// adoptConnection is adopt for an opened connection, which the caller closes if it is not adopted.
func (m *Manager) adoptConnection(connection net.Conn, message handover.Message) bool {
	migrating := clients.MigratingConnection{
		Buffered:         message.Connection.Buffered,
		CarriesCallbacks: message.Connection.CarriesCallbacks,
		Unused:           message.Connection.Unused,
		SinceAccept:      message.Connection.SilentFor,
	}
	if message.Connection.Invocation == nil {
		_, adopted := m.clients.AcceptMigrated(connection, migrating, nil, 0, 0)
		return adopted
	}
	var migrated migratedRequest
	if json.Unmarshal(message.Connection.Invocation, &migrated) != nil {
		return false
	}
	migrated.ageInTransit(monotonicNow())
	operation, known := m.resolveNames(&migrated)
	if !known || migrated.Remaining <= 0 {
		return false
	}
	invocation := &workers.Invocation{
		ID:           migrated.ID,
		Method:       migrated.Method,
		Target:       migrated.Target,
		HeaderFields: migrated.Fields,
		Body:         message.Body,
		Deadline:     m.loop.Now() + migrated.Remaining,
		Effect:       m.service.Deployment().Dispatch.Operations[operation].Effect,
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
