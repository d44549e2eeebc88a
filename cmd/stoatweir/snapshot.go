package main

import (
	"encoding/json"
	"maps"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/handover"
)

const (
	// taughtIn is how long our yes waits for what the process before has learned.
	snapshotTimeout = 300 * time.Millisecond
	// workersAtOnce keeps a part of the lesson well inside a packet.
	workersPerPart = 16
)

// part is a piece of a lesson, with names for what goes by indices in one process.
type snapshotPart struct {
	dispatch.Snapshot
	KindNames      []string `json:"KindNames"`      // by index
	OperationNames []string `json:"OperationNames"` // likewise
	UIDs           []string `json:"UIDs"`           // of the workers, in their order
}

// study asks for the lesson before we say yes.
func (s *service) requestSnapshot() {
	if s.peer == nil || !s.peer.isPredecessor || s.accepting || s.snapshotRequested {
		s.endpointsKnown()
		return
	}
	s.snapshotRequested = true
	s.peer.link.Send(handover.Message{Kind: handover.KindSnapshotRequest})
	s.loop.After(snapshotTimeout, s.endpointsKnown)
}

// teach sends the lesson in parts.
func (b *peerProcess) sendSnapshot() {
	s := b.service
	l := s.dispatcher.Snapshot()
	maps.DeleteFunc(l.Operations, func(at int, _ dispatch.OperationSnapshot) bool {
		return s.deployment.OperationIndex[s.deployment.Operations[at]] != at // it has gone, or changed
	})
	for workers := l.Workers; ; {
		n := min(len(workers), workersPerPart)
		l.Workers, workers = workers[:n], workers[n:]
		p := snapshotPart{Snapshot: l, KindNames: s.endpoints.Kinds(), OperationNames: s.deployment.Operations}
		for _, w := range l.Workers {
			p.UIDs = append(p.UIDs, s.workers.UID(w.Worker))
		}
		text, err := json.Marshal(p)
		if err != nil {
			s.log.Warn("what was learned can't be told: ", err)
			break
		}
		b.link.Send(handover.Message{Kind: handover.KindSnapshotPart, Version: dispatch.SnapshotVersion, Body: text})
		if len(workers) == 0 {
			break
		}
		l = dispatch.Snapshot{Version: l.Version} // the rest goes once
	}
	b.link.Send(handover.Message{Kind: handover.KindSnapshotEnd})
}

// heed takes a part of the lesson in. One of another version is left aside, as its figures may mean something else.
func (s *service) loadSnapshotPart(m handover.Message) {
	var p snapshotPart
	if m.Version != dispatch.SnapshotVersion || json.Unmarshal(m.Body, &p) != nil {
		s.log.Warn("what was learned before is of version ", m.Version, " and left aside")
		return
	}
	l := p.Snapshot
	l.KindPaces, l.Operations = map[int][]float64{}, map[int]dispatch.OperationSnapshot{}
	for at, paces := range p.Snapshot.KindPaces {
		if at >= 0 && at < len(p.KindNames) {
			l.KindPaces[s.endpoints.KindIndex(p.KindNames[at])] = paces
		}
	}
	for at, o := range p.Snapshot.Operations {
		if at < 0 || at >= len(p.OperationNames) {
			continue
		}
		if here, known := s.deployment.OperationIndex[p.OperationNames[at]]; known {
			l.Operations[here] = o
		}
	}
	l.Workers = nil
	for n, w := range p.Snapshot.Workers {
		if n >= len(p.UIDs) {
			break
		}
		if id, known := s.workers.ID(p.UIDs[n]); known {
			w.Worker = id
			l.Workers = append(l.Workers, w)
		}
	}
	s.events = append(s.events, dispatch.SnapshotLoaded{Snapshot: l})
}
