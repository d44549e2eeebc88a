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
const keptIn = time.Second

// passesAtOnce is how many may be on their way, or about to be. The successor answers each with two messages, and a link that has 512
// waiting is given up, with all that is on its way: more at once lost all that was in hand.
const passesAtOnce = 128

// legacy is an invocation as it goes from one process to the next: what the door, the fleet and the module know of it.
// Operations and tenants go by name, workers by uid, times as ages.
type legacy struct {
	ID        string              `json:"ID"`
	Method    string              `json:"Method"`
	Target    string              `json:"Target"`
	Fields    []http1.Field       `json:"Fields"`
	Left      time.Duration       `json:"Left"` // until its client stops waiting
	At        time.Duration       `json:"At"`   // when this was so, by the clock that all processes of a machine share
	Name      string              `json:"Name"`
	Tenant    string              `json:"Tenant"`
	Operation dispatch.Operation  `json:"Operation"`
	Timeout   time.Duration       `json:"Timeout"`
	Record    dispatch.MigratedIn `json:"Record"`
	Workers   []string            `json:"Workers"` // of its tries
	Zones     []string            `json:"Zones"`   // likewise
}

// parcel is on its way.
type parcel struct {
	*clients.MigratingConnection
	j      *tracked
	record dispatch.MigratedIn
	at     time.Duration // of the record
	late   *conn.Timer
}

// pass gives the successor what it may have by now.
func (s *service) pass() {
	b := s.bond
	s.door.MigrateConnections(passesAtOnce, s.may, func(p *clients.MigratingConnection) {
		if s.bond != b {
			p.Returned()
			return
		}
		b.number++
		sent := &parcel{MigratingConnection: p}
		m := handover.Message{Kind: handover.KindMigrate, Sequence: b.number, Socket: p.Socket,
			Connection: &handover.MigratedConnection{Buffered: p.Buffered, CarriesCallbacks: p.CarriesCallbacks, Unused: p.Unused, SilentFor: p.SilentFor}}
		if p.Invocation != 0 {
			sent.j = s.invs[p.Invocation]
			sent.record, _ = s.core.MigrationRecord(p.Invocation)
			sent.record = sent.record.Aged(max(0, s.loop.Now()-s.last)) // it is of the last moment that was decided
			sent.at = s.loop.Now()
			text, err := json.Marshal(s.legacy(sent.j, sent.record))
			if err != nil {
				s.log.Error("an invocation can't be passed on: ", err)
				p.Returned()
				return
			}
			m.Connection.Invocation, m.Body = text, sent.j.Body
			s.fleet.ReleaseAttempts(p.Invocation, sent.j.forwards)
			delete(s.invs, p.Invocation)
			s.events = append(s.events, dispatch.MigratedOut{Invocation: p.Invocation})
		}
		number := b.number
		b.passed[number] = sent
		// A peer that hangs may still keep it later: only its end is certain.
		sent.late = s.loop.After(keptIn, b.link.Close)
		b.link.Send(m)
	})
}

// onTheWay lists the invocations that have been passed on and may come back.
func (b *bond) onTheWay() (all []*tracked) {
	if b == nil {
		return nil
	}
	for _, p := range b.passed {
		if p.j != nil {
			all = append(all, p.j)
		}
	}
	return all
}

// may tells whether an invocation can be passed as it stands: the module has all that has happened, and no forward is on
// its way.
func (s *service) may(inv dispatch.InvocationID) bool {
	s.decide()
	j := s.invs[inv]
	if j == nil || !s.door.AwaitsAnswer(inv) || !s.fleet.AttemptsAccepted(inv, j.forwards) {
		return false
	}
	_, held := s.core.MigrationRecord(inv)
	return held
}

func (s *service) legacy(j *tracked, r dispatch.MigratedIn) legacy {
	l := legacy{ID: j.ID, Method: j.Method, Target: j.Target, Fields: j.Fields, Left: j.Deadline - s.loop.Now(), At: uptime(), Record: r,
		Name: s.site.Operations[j.operation], Operation: s.site.Dispatch.Operations[j.operation],
		Timeout: s.site.ClientTimeouts[j.operation]}
	if r.Tenant < len(s.site.Tenants) {
		l.Tenant = s.site.Tenants[r.Tenant]
	}
	zones := s.list.Zones()
	for _, t := range r.Attempts {
		l.Workers, l.Zones = append(l.Workers, s.fleet.UID(t.Worker)), append(l.Zones, zones[t.Zone])
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
func (l *legacy) aged(now time.Duration) {
	if way := now - l.At; l.At > 0 && way > 0 {
		l.Left, l.Record = l.Left-way, l.Record.Aged(way)
	}
}

// kept ends a pass.
func (b *bond) kept(m handover.Message) {
	p := b.passed[m.Sequence]
	if p == nil {
		return
	}
	delete(b.passed, m.Sequence)
	p.late.Stop()
	if m.Accepted {
		p.Accepted()
	} else {
		b.takeBack(p)
		p.Returned()
	}
	if s := b.service; s.bond == b && !b.elder && s.life.Behavior(s.loop.Now()).Migrates && len(b.passed) < passesAtOnce/4 {
		s.pass()
	}
}

// takeBack enters an invocation again that was passed on.
func (b *bond) takeBack(p *parcel) {
	if p.j == nil {
		return
	}
	s := b.service
	s.invs[p.Invocation] = p.j
	for fwd, t := range p.record.Attempts {
		if t.InFlight {
			s.fleet.AdoptAttempt(p.j.Invocation, fwd, t.Worker)
		}
	}
	s.events = append(s.events, p.record.Aged(s.loop.Now()-p.at))
}

// lost ends all passes that the successor's end has caught under way.
func (b *bond) lost() {
	for _, p := range b.passed {
		p.late.Stop()
		b.takeBack(p)
		p.PeerFailed()
		if p.Invocation != 0 {
			b.events = append(b.events, dispatch.ClientDisconnected{Invocation: p.Invocation})
		}
	}
	b.passed = nil
}

// inherit takes in what the process before passes on, or not.
func (s *service) inherit(m handover.Message) bool {
	if m.File == nil || m.Connection == nil {
		return false
	}
	nc, err := net.FileConn(m.File)
	if err != nil {
		return false
	}
	var j *workers.Invocation
	var l legacy
	operation := 0
	if m.Connection.Invocation != nil {
		known := false
		if json.Unmarshal(m.Connection.Invocation, &l) == nil {
			l.aged(uptime())
			operation, known = s.heir(&l)
			known = known && l.Left > 0
		}
		if !known {
			nc.Close()
			return false
		}
		j = &workers.Invocation{ID: l.ID, Method: l.Method, Target: l.Target, Fields: l.Fields, Body: m.Body,
			Deadline: s.loop.Now() + l.Left, Effect: s.effect(operation)}
	}
	inv, kept := s.door.AcceptMigrated(nc, clients.MigratingConnection{Buffered: m.Connection.Buffered, CarriesCallbacks: m.Connection.CarriesCallbacks, Unused: m.Connection.Unused, SilentFor: m.Connection.SilentFor}, j, operation,
		l.Record.Age)
	if !kept {
		nc.Close()
		return false
	}
	if j == nil {
		return true
	}
	t := &tracked{Invocation: j, operation: operation, forwards: len(l.Record.Attempts)}
	s.invs[inv] = t
	for fwd, try := range l.Record.Attempts {
		s.fleet.MarkAttempted(j, try.Worker)
		if try.InFlight {
			t.out++
			s.fleet.AdoptAttempt(j, fwd, try.Worker)
		}
	}
	s.fleet.Invariants.MigrateIn(inv, s.terms(j, operation), s.inherited(l.Record.Attempts))
	l.Record.Invocation, l.Record.Operation = inv, operation
	s.events = append(s.events, l.Record)
	return true
}

// heir finds what an invocation of the process before is here: it must be the same operation to the letter, and its
// workers must be known, as what may be sent where follows from them.
func (s *service) heir(l *legacy) (operation int, known bool) {
	operation, known = s.site.OperationIndex[l.Name]
	if !known || s.site.Dispatch.Operations[operation] != l.Operation || s.site.ClientTimeouts[operation] != l.Timeout ||
		len(l.Workers) != len(l.Record.Attempts) {
		return 0, false
	}
	if len(l.Zones) < len(l.Workers) && l.Operation.Effect == dispatch.Deduplicated {
		return 0, false // a process of before does not say where its repeats are dropped
	}
	for n, uid := range l.Workers {
		if l.Record.Attempts[n].Worker, known = s.fleet.ID(uid); !known {
			return 0, false
		}
		if n < len(l.Zones) {
			l.Record.Attempts[n].Zone = s.list.ZoneIndex(l.Zones[n])
		}
	}
	if s.hosting != nil {
		l.Record.Tenant, known = s.hosting.heir(l.ID)
		return operation, known
	}
	if l.Record.Tenant = slices.Index(s.site.Tenants, l.Tenant); l.Record.Tenant < 0 {
		l.Record.Tenant = len(s.site.Tenants)
	}
	return operation, true
}
