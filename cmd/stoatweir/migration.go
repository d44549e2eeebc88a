package main

import (
	"encoding/json"
	"net"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"stoatweir/dispatch"
	"stoatweir/internal/clients"
	"stoatweir/internal/conn"
	"stoatweir/internal/handover"
	"stoatweir/internal/http1"
	"stoatweir/internal/workers"
)

// keptIn is how long the successor may take to say whether it keeps what is passed.
const migrateResultTimeout = time.Second

// passesAtOnce is how many may be on their way, or about to be. The successor answers each with two messages, and a link that has 512
// waiting is given up, with all that is on its way: more at once lost all that was in hand.
const maxMigrations = 128

// legacy is an invocation as it goes from one process to the next: what the door, the fleet and the module know of it.
// Operations and tenants go by name, workers by uid, times as ages.
type migratedRequest struct {
	ID             string              `json:"ID"`
	Method         string              `json:"Method"`
	Target         string              `json:"Target"`
	Fields         []http1.Field       `json:"Fields"`
	Remaining      time.Duration       `json:"Left"` // until its client stops waiting
	EncodedAt      time.Duration       `json:"At"`   // when this was so, by the clock that all processes of a machine share
	OperationName  string              `json:"Name"`
	TenantName     string              `json:"Tenant"`
	Operation      dispatch.Operation  `json:"Operation"`
	Timeout        time.Duration       `json:"Timeout"`
	Record         dispatch.MigratedIn `json:"Record"`
	AttemptWorkers []string            `json:"Workers"` // of its tries
	AttemptZones   []string            `json:"Zones"`   // likewise
}

// parcel is on its way.
type migration struct {
	*clients.MigratingConnection
	request    *trackedRequest
	record     dispatch.MigratedIn
	recordedAt time.Duration // of the record
	timeout    *conn.Timer
}

// pass gives the successor what it may have by now.
func (s *service) migrateConnections() {
	b := s.peer
	s.clients.MigrateConnections(maxMigrations, s.canMigrate, func(p *clients.MigratingConnection) {
		if s.peer != b {
			p.Returned()
			return
		}
		b.sequence++
		sent := &migration{MigratingConnection: p}
		m := handover.Message{Kind: handover.KindMigrate, Sequence: b.sequence, Socket: p.Socket,
			Connection: &handover.MigratedConnection{Buffered: p.Buffered, CarriesCallbacks: p.CarriesCallbacks, Unused: p.Unused, SilentFor: p.SilentFor}}
		if p.Invocation != 0 {
			sent.request = s.requests[p.Invocation]
			sent.record, _ = s.dispatcher.MigrationRecord(p.Invocation)
			sent.record = sent.record.Aged(max(0, s.loop.Now()-s.lastDecision)) // it is of the last moment that was decided
			sent.recordedAt = s.loop.Now()
			text, err := json.Marshal(s.encodeRequest(sent.request, sent.record))
			if err != nil {
				s.log.Error("an invocation can't be passed on: ", err)
				p.Returned()
				return
			}
			m.Connection.Invocation, m.Body = text, sent.request.Body
			s.workers.ReleaseAttempts(p.Invocation, sent.request.attempts)
			delete(s.requests, p.Invocation)
			s.events = append(s.events, dispatch.MigratedOut{Invocation: p.Invocation})
		}
		number := b.sequence
		b.migrations[number] = sent
		// A peer that hangs may still keep it later: only its end is certain.
		sent.timeout = s.loop.After(migrateResultTimeout, b.link.Close)
		b.link.Send(m)
	})
}

// onTheWay lists the invocations that have been passed on and may come back.
func (b *peerProcess) migratingRequests() (all []*trackedRequest) {
	if b == nil {
		return nil
	}
	for _, p := range b.migrations {
		if p.request != nil {
			all = append(all, p.request)
		}
	}
	return all
}

// may tells whether an invocation can be passed as it stands: the module has all that has happened, and no forward is on
// its way.
func (s *service) canMigrate(inv dispatch.InvocationID) bool {
	s.decide()
	j := s.requests[inv]
	if j == nil || !s.clients.AwaitsAnswer(inv) || !s.workers.AttemptsAccepted(inv, j.attempts) {
		return false
	}
	_, held := s.dispatcher.MigrationRecord(inv)
	return held
}

func (s *service) encodeRequest(j *trackedRequest, r dispatch.MigratedIn) migratedRequest {
	l := migratedRequest{ID: j.ID, Method: j.Method, Target: j.Target, Fields: j.Fields, Remaining: j.Deadline - s.loop.Now(), EncodedAt: uptime(), Record: r,
		OperationName: s.deployment.Operations[j.operation], Operation: s.deployment.Dispatch.Operations[j.operation],
		Timeout: s.deployment.ClientTimeouts[j.operation]}
	if r.Tenant < len(s.deployment.Tenants) {
		l.TenantName = s.deployment.Tenants[r.Tenant]
	}
	zones := s.endpoints.Zones()
	for _, t := range r.Attempts {
		l.AttemptWorkers, l.AttemptZones = append(l.AttemptWorkers, s.workers.UID(t.Worker)), append(l.AttemptZones, zones[t.Zone])
	}
	return l
}

// uptime is the machine's, which no setting of a clock moves. Where it can't be read nothing ages.
func uptime() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// aged takes account of the way: a window for repeats and a client timeout go on while it lasts.
func (l *migratedRequest) ageInTransit(now time.Duration) {
	if way := now - l.EncodedAt; l.EncodedAt > 0 && way > 0 {
		l.Remaining, l.Record = l.Remaining-way, l.Record.Aged(way)
	}
}

// kept ends a pass.
func (b *peerProcess) handleMigrateResult(m handover.Message) {
	p := b.migrations[m.Sequence]
	if p == nil {
		return
	}
	delete(b.migrations, m.Sequence)
	p.timeout.Stop()
	if m.Accepted {
		p.Accepted()
	} else {
		b.restore(p)
		p.Returned()
	}
	if s := b.service; s.peer == b && !b.isPredecessor && s.lifecycle.Behavior(s.loop.Now()).Migrates && len(b.migrations) < maxMigrations/4 {
		s.migrateConnections()
	}
}

// takeBack enters an invocation again that was passed on.
func (b *peerProcess) restore(p *migration) {
	if p.request == nil {
		return
	}
	s := b.service
	s.requests[p.Invocation] = p.request
	for fwd, t := range p.record.Attempts {
		if t.InFlight {
			s.workers.AdoptAttempt(p.request.Invocation, fwd, t.Worker)
		}
	}
	s.events = append(s.events, p.record.Aged(s.loop.Now()-p.recordedAt))
}

// lost ends all passes that the successor's end has caught under way.
func (b *peerProcess) failMigrations() {
	for _, p := range b.migrations {
		p.timeout.Stop()
		b.restore(p)
		p.PeerFailed()
		if p.Invocation != 0 {
			b.events = append(b.events, dispatch.ClientDisconnected{Invocation: p.Invocation})
		}
	}
	b.migrations = nil
}

// inherit takes in what the process before passes on, or not.
func (s *service) adopt(m handover.Message) bool {
	if m.File == nil || m.Connection == nil {
		return false
	}
	nc, err := net.FileConn(m.File)
	if err != nil {
		return false
	}
	var j *workers.Invocation
	var l migratedRequest
	operation := 0
	if m.Connection.Invocation != nil {
		known := false
		if json.Unmarshal(m.Connection.Invocation, &l) == nil {
			l.ageInTransit(uptime())
			operation, known = s.resolve(&l)
			known = known && l.Remaining > 0
		}
		if !known {
			nc.Close()
			return false
		}
		j = &workers.Invocation{ID: l.ID, Method: l.Method, Target: l.Target, Fields: l.Fields, Body: m.Body,
			Deadline: s.loop.Now() + l.Remaining, Effect: s.effect(operation)}
	}
	inv, kept := s.clients.AcceptMigrated(nc, clients.MigratingConnection{Buffered: m.Connection.Buffered, CarriesCallbacks: m.Connection.CarriesCallbacks, Unused: m.Connection.Unused, SilentFor: m.Connection.SilentFor}, j, operation,
		l.Record.Age)
	if !kept {
		nc.Close()
		return false
	}
	if j == nil {
		return true
	}
	t := &trackedRequest{Invocation: j, operation: operation, attempts: len(l.Record.Attempts)}
	s.requests[inv] = t
	for fwd, try := range l.Record.Attempts {
		s.workers.MarkAttempted(j, try.Worker)
		if try.InFlight {
			t.inFlight++
			s.workers.AdoptAttempt(j, fwd, try.Worker)
		}
	}
	s.workers.Invariants.MigrateIn(inv, s.requestLimits(j, operation), s.migratedAttempts(l.Record.Attempts))
	l.Record.Invocation, l.Record.Operation = inv, operation
	s.events = append(s.events, l.Record)
	return true
}

// heir finds what an invocation of the process before is here: it must be the same operation to the letter, and its
// workers must be known, as what may be sent where follows from them.
func (s *service) resolve(l *migratedRequest) (operation int, known bool) {
	operation, known = s.deployment.OperationIndex[l.OperationName]
	if !known || s.deployment.Dispatch.Operations[operation] != l.Operation || s.deployment.ClientTimeouts[operation] != l.Timeout ||
		len(l.AttemptWorkers) != len(l.Record.Attempts) {
		return 0, false
	}
	if len(l.AttemptZones) < len(l.AttemptWorkers) && l.Operation.Effect == dispatch.Deduplicated {
		return 0, false // a process of before does not say where its repeats are dropped
	}
	for n, uid := range l.AttemptWorkers {
		if l.Record.Attempts[n].Worker, known = s.workers.ID(uid); !known {
			return 0, false
		}
		if n < len(l.AttemptZones) {
			l.Record.Attempts[n].Zone = s.endpoints.ZoneIndex(l.AttemptZones[n])
		}
	}
	if s.tenancy != nil {
		l.Record.Tenant, known = s.tenancy.tenantIndex(l.ID)
		return operation, known
	}
	if l.Record.Tenant = slices.Index(s.deployment.Tenants, l.TenantName); l.Record.Tenant < 0 {
		l.Record.Tenant = len(s.deployment.Tenants)
	}
	return operation, true
}
