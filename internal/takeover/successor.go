package takeover

import (
	"time"

	"stoatweir/internal/handover"
)

const (
	// healthCheckDelay is the time that a successor leaves for the answers to its health checks after it
	// has received an endpoint list.
	healthCheckDelay = 400 * time.Millisecond
	// snapshotTimeout bounds a successor's wait for the snapshot before it reports that it is ready.
	snapshotTimeout = 300 * time.Millisecond
)

// SettleDelay returns how long the caller should wait after an endpoint list before it calls
// RequestSnapshot; 0 unless this process is about to share its address.
func (m *Manager) SettleDelay() time.Duration {
	if m.address.Shared && !m.accepting {
		return healthCheckDelay
	}
	return 0
}

// RequestSnapshot asks the predecessor for its snapshot before this process reports that it is ready.
// Service.EndpointsKnown is called when the snapshot is complete or snapshotTimeout has passed, and
// immediately if there is no predecessor, or the snapshot has been requested before.
func (m *Manager) RequestSnapshot() {
	if m.peer == nil || m.peer.role != rolePredecessor || m.accepting || m.snapshotRequested {
		m.service.EndpointsKnown()
		return
	}
	m.snapshotRequested = true
	m.peer.link.Send(handover.Message{Kind: handover.KindSnapshotRequest})
	m.loop.After(snapshotTimeout, m.service.EndpointsKnown)
}

// Ready starts to accept connections, unless they are accepted already, and informs the predecessor
// that this process serves.
func (m *Manager) Ready() {
	m.startAccepting()
	if m.peer != nil && m.peer.role == rolePredecessor {
		m.peer.link.Send(handover.Message{Kind: handover.KindReady})
	}
}
