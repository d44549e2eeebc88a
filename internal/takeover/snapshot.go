package takeover

import (
	"encoding/json"
	"maps"

	"stoatweir/dispatch"
	"stoatweir/internal/handover"
)

// workersPerPart keeps a part of the snapshot well inside a packet.
const workersPerPart = 16

// snapshotPart is a part of a snapshot, with names for what goes by indices in one process.
type snapshotPart struct {
	dispatch.Snapshot
	// KindNames are the names of worker kinds, by index.
	KindNames []string `json:"KindNames"`
	// OperationNames are the names of operations, by index.
	OperationNames []string `json:"OperationNames"`
	// UIDs are those of Snapshot.Workers, in the same order.
	UIDs []string `json:"UIDs"`
}

// sendSnapshot sends the dispatcher's snapshot in parts. What does not go by worker is in the first part alone.
func (m *Manager) sendSnapshot(p *peer) {
	deployment := m.service.Deployment()
	snapshot := m.service.Snapshot()
	maps.DeleteFunc(snapshot.Operations, func(operation int, _ dispatch.OperationSnapshot) bool {
		return deployment.OperationIndex[deployment.Operations[operation]] != operation // removed, or changed
	})
	rest := snapshot.Workers
	for {
		n := min(len(rest), workersPerPart)
		snapshot.Workers = rest[:n]
		rest = rest[n:]
		text, err := json.Marshal(m.snapshotPart(snapshot))
		if err != nil {
			m.log.WithError(err).Warn("snapshot encoding failed")
			break
		}
		p.link.Send(handover.Message{Kind: handover.KindSnapshotPart, Version: dispatch.SnapshotVersion, Body: text})
		if len(rest) == 0 {
			break
		}
		snapshot = dispatch.Snapshot{Version: snapshot.Version}
	}
	p.link.Send(handover.Message{Kind: handover.KindSnapshotEnd})
}

func (m *Manager) snapshotPart(snapshot dispatch.Snapshot) snapshotPart {
	part := snapshotPart{
		Snapshot:       snapshot,
		KindNames:      m.endpoints.Kinds(),
		OperationNames: m.service.Deployment().Operations,
	}
	for _, worker := range snapshot.Workers {
		part.UIDs = append(part.UIDs, m.workers.UID(worker.Worker))
	}
	return part
}

// loadSnapshotPart gives a part of the predecessor's snapshot to the dispatcher, without what is unknown here. A part of
// another version is ignored, as its figures may mean something else.
func (m *Manager) loadSnapshotPart(message handover.Message) {
	var part snapshotPart
	if message.Version != dispatch.SnapshotVersion || json.Unmarshal(message.Body, &part) != nil {
		m.log.WithField("version", message.Version).Warn("snapshot ignored")
		return
	}
	snapshot := part.Snapshot
	snapshot.KindPaces = m.resolveKinds(part)
	snapshot.Operations = m.resolveOperations(part)
	snapshot.Workers = m.resolveWorkers(part)
	m.service.Notify(dispatch.SnapshotLoaded{Snapshot: snapshot})
}

func (m *Manager) resolveKinds(part snapshotPart) map[int][]float64 {
	resolved := map[int][]float64{}
	for kind, paces := range part.KindPaces {
		if kind >= 0 && kind < len(part.KindNames) {
			resolved[m.endpoints.KindIndex(part.KindNames[kind])] = paces
		}
	}
	return resolved
}

func (m *Manager) resolveOperations(part snapshotPart) map[int]dispatch.OperationSnapshot {
	index := m.service.Deployment().OperationIndex
	resolved := map[int]dispatch.OperationSnapshot{}
	for operation, estimates := range part.Operations {
		if operation < 0 || operation >= len(part.OperationNames) {
			continue
		}
		if here, known := index[part.OperationNames[operation]]; known {
			resolved[here] = estimates
		}
	}
	return resolved
}

func (m *Manager) resolveWorkers(part snapshotPart) (resolved []dispatch.WorkerSnapshot) {
	for n, worker := range part.Workers {
		if n >= len(part.UIDs) {
			break
		}
		id, known := m.workers.ID(part.UIDs[n])
		if !known {
			continue
		}
		worker.Worker = id
		resolved = append(resolved, worker)
	}
	return resolved
}
