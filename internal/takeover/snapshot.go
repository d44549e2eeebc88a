package takeover

import (
	"encoding/json"
	"maps"

	"stoatweir/dispatch"
	"stoatweir/internal/handover"
)

// workersPerSnapshotPart bounds the workers in one part of the snapshot, so that it fits in a packet.
const workersPerSnapshotPart = 16

// snapshotPart is one message's part of a snapshot. Snapshot refers to kinds, operations and workers by
// the sender's indices or addresses; the other fields have the names by which the receiver finds its
// own.
type snapshotPart struct {
	dispatch.Snapshot
	// KindNames are the names of worker kinds, by index.
	KindNames []string `json:"KindNames"`
	// OperationNames are the names of operations, by index.
	OperationNames []string `json:"OperationNames"`
	// UIDs are those of Snapshot.Workers, in the same order.
	UIDs []string `json:"UIDs"`
}

// sendSnapshot sends the dispatcher's snapshot in parts, each with the estimates of some workers. The
// first part also has the estimates that don't belong to a worker.
func (m *Manager) sendSnapshot(p *peer) {
	deployment := m.service.Deployment()
	snapshot := m.service.Snapshot()
	maps.DeleteFunc(snapshot.Operations, func(operation int, _ dispatch.OperationSnapshot) bool {
		return deployment.OperationIndex[deployment.Operations[operation]] != operation // removed or redefined
	})
	remaining := snapshot.Workers
	for {
		n := min(len(remaining), workersPerSnapshotPart)
		snapshot.Workers = remaining[:n]
		remaining = remaining[n:]
		encoded, err := json.Marshal(m.snapshotPart(snapshot))
		if err != nil {
			m.log.WithError(err).Warn("snapshot encoding failed")
			break
		}
		p.link.Send(handover.Message{Kind: handover.KindSnapshotPart, Version: dispatch.SnapshotVersion, Body: encoded})
		if len(remaining) == 0 {
			break
		}
		snapshot = dispatch.Snapshot{Version: snapshot.Version}
	}
	p.link.Send(handover.Message{Kind: handover.KindSnapshotEnd})
}

// snapshotPart adds the names of kinds, operations and workers to a part of the snapshot.
func (m *Manager) snapshotPart(snapshot dispatch.Snapshot) snapshotPart {
	part := snapshotPart{
		Snapshot:       snapshot,
		KindNames:      m.endpoints.Kinds(),
		OperationNames: m.service.Deployment().Operations,
	}
	for _, worker := range snapshot.Workers {
		part.UIDs = append(part.UIDs, m.workers.WorkerUID(worker.Worker))
	}
	return part
}

// loadSnapshotPart passes a part of the predecessor's snapshot to the dispatcher, without the operations
// and workers that are unknown here. A part of another snapshot version is ignored, as its values may
// have another meaning.
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

// resolveKinds returns the kinds' estimates by this process's kind indices.
func (m *Manager) resolveKinds(part snapshotPart) map[int][]float64 {
	resolved := map[int][]float64{}
	for kind, paces := range part.KindPaces {
		if kind >= 0 && kind < len(part.KindNames) {
			resolved[m.endpoints.KindIndex(part.KindNames[kind])] = paces
		}
	}
	return resolved
}

// resolveOperations returns the estimates of those operations that exist in this process, by its
// operation indices.
func (m *Manager) resolveOperations(part snapshotPart) map[int]dispatch.OperationSnapshot {
	index := m.service.Deployment().OperationIndex
	resolved := map[int]dispatch.OperationSnapshot{}
	for operation, estimates := range part.Operations {
		if operation < 0 || operation >= len(part.OperationNames) {
			continue
		}
		if localIndex, known := index[part.OperationNames[operation]]; known {
			resolved[localIndex] = estimates
		}
	}
	return resolved
}

// resolveWorkers returns the estimates of those workers that are known in this process, by its worker
// IDs.
func (m *Manager) resolveWorkers(part snapshotPart) (resolved []dispatch.WorkerSnapshot) {
	for n, worker := range part.Workers {
		if n >= len(part.UIDs) {
			break
		}
		id, known := m.workers.WorkerID(part.UIDs[n])
		if !known {
			continue
		}
		worker.Worker = id
		resolved = append(resolved, worker)
	}
	return resolved
}
