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
	taughtIn = 300 * time.Millisecond
	// workersAtOnce keeps a part of the lesson well inside a packet.
	workersAtOnce = 16
)

// part is a piece of a lesson, with names for what goes by indices in one process.
type part struct {
	dispatch.Snapshot
	KindNames      []string `json:"KindNames"`      // by index
	OperationNames []string `json:"OperationNames"` // likewise
	UIDs           []string `json:"UIDs"`           // of the workers, in their order
}

// study asks for the lesson before we say yes.
func (s *service) study() {
	if s.bond == nil || !s.bond.elder || s.opened || s.studies {
		s.knows()
		return
	}
	s.studies = true
	s.bond.link.Send(handover.Message{Kind: handover.KindSnapshotRequest})
	s.loop.After(taughtIn, s.knows)
}

// teach sends the lesson in parts.
func (b *bond) teach() {
	s := b.service
	l := s.core.Snapshot()
	maps.DeleteFunc(l.Operations, func(at int, _ dispatch.OperationSnapshot) bool {
		return s.site.OperationIndex[s.site.Operations[at]] != at // it has gone, or changed
	})
	for workers := l.Workers; ; {
		n := min(len(workers), workersAtOnce)
		l.Workers, workers = workers[:n], workers[n:]
		p := part{Snapshot: l, KindNames: s.list.Kinds(), OperationNames: s.site.Operations}
		for _, w := range l.Workers {
			p.UIDs = append(p.UIDs, s.fleet.UID(w.Worker))
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
func (s *service) heed(m handover.Message) {
	var p part
	if m.Version != dispatch.SnapshotVersion || json.Unmarshal(m.Body, &p) != nil {
		s.log.Warn("what was learned before is of version ", m.Version, " and left aside")
		return
	}
	l := p.Snapshot
	l.KindPaces, l.Operations = map[int][]float64{}, map[int]dispatch.OperationSnapshot{}
	for at, paces := range p.Snapshot.KindPaces {
		if at >= 0 && at < len(p.KindNames) {
			l.KindPaces[s.list.KindIndex(p.KindNames[at])] = paces
		}
	}
	for at, o := range p.Snapshot.Operations {
		if at < 0 || at >= len(p.OperationNames) {
			continue
		}
		if here, known := s.site.OperationIndex[p.OperationNames[at]]; known {
			l.Operations[here] = o
		}
	}
	l.Workers = nil
	for n, w := range p.Snapshot.Workers {
		if n >= len(p.UIDs) {
			break
		}
		if id, known := s.fleet.ID(p.UIDs[n]); known {
			w.Worker = id
			l.Workers = append(l.Workers, w)
		}
	}
	s.events = append(s.events, dispatch.SnapshotLoaded{Snapshot: l})
}
