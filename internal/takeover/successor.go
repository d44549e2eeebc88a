package takeover

import (
	"time"

	"stoatweir/internal/handover"
)

const (
	// healthCheckWait is how long a successor waits after its first endpoint list for the answers to its health checks.
	healthCheckWait = 400 * time.Millisecond
	// snapshotTimeout is how long a successor waits for the snapshot before it reports that it is ready.
	snapshotTimeout = 300 * time.Millisecond
)

// SettleDelay is how long to wait after an endpoint list before RequestSnapshot.
func (m *Manager) SettleDelay() time.Duration {
	if m.address.Shared && !m.accepting {
		return healthCheckWait
	}
	return 0
}

// RequestSnapshot asks the predecessor for its snapshot, once, before this process reports that it is ready. The
// endpoints count as known when the snapshot is whole or snapshotTimeout has passed, and at once where there is nobody to
// ask.
func (m *Manager) RequestSnapshot() {
	if m.peer == nil || m.peer.role != predecessor || m.accepting || m.snapshotRequested {
		m.service.EndpointsKnown()
		return
	}
	m.snapshotRequested = true
	m.peer.link.Send(handover.Message{Kind: handover.KindSnapshotRequest})
	m.loop.After(snapshotTimeout, m.service.EndpointsKnown)
}

// Ready accepts connections, if that has not begun, and tells the predecessor that this process serves.
func (m *Manager) Ready() {
	m.accept()
	if m.peer != nil && m.peer.role == predecessor {
		m.peer.link.Send(handover.Message{Kind: handover.KindReady})
	}
}
