package clients

import (
	"net"
	"syscall"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/accounting"
	"stoatweir/internal/conn"
	"stoatweir/internal/invariant"
	"stoatweir/internal/tenants"
	"stoatweir/internal/workers"
)

// Parcel is a connection on its way to another process, with the invocation that waits on it.
type MigratingConnection struct {
	Socket           syscall.Conn
	Buffered         []byte
	CarriesCallbacks bool
	Unused           bool                  // nothing has come over it yet
	SilentFor        time.Duration         // for so long, of a fresh one
	Invocation       dispatch.InvocationID // 0: it is idle

	connection *connection
	job        *inHand
	record     *invariant.MigratedRequest
}

// Offer stops connections that could go to another process, and gives each to pass once nothing moves on it any more; most may
// be under way. may tells whether an invocation can go as it stands.
func (d *Server) MigrateConnections(most int, may func(dispatch.InvocationID) bool, pass func(*MigratingConnection)) {
	under := 0
	for v := range d.connections {
		if v.offered {
			under++
		}
	}
	for v := range d.connections {
		if under >= most {
			return
		}
		if v.passable() && !v.offered {
			v.offered = true
			under++
			v.c.Detach(func() { v.offer(may, pass) })
		}
	}
}

// Passable tells whether there is still a connection that could go.
func (d *Server) HasMigratable() bool {
	for v := range d.connections {
		if v.passable() {
			return true
		}
	}
	return false
}

// passable: it is between two requests, or a whole one waits for its answer, and the other process has not refused it.
func (v *connection) passable() bool {
	return v.parcel == nil && !v.stays && !v.waits && !v.last && !v.parser.Started()
}

func (v *connection) offer(may func(dispatch.InvocationID) bool, pass func(*MigratingConnection)) {
	d := v.door
	if v.inv != 0 && !may(v.inv) || !v.passable() || v.c.Unsent() > 0 {
		v.offered = false
		v.c.Attach() // it will be asked again
		return
	}
	socket, stands := v.c.Socket()
	if !stands {
		return
	}
	p := &MigratingConnection{Socket: socket, CarriesCallbacks: v.brings, Unused: !v.useful, Invocation: v.inv, connection: v}
	if p.Unused {
		p.SilentFor = d.loop.Now() - v.came
	}
	for part := v.c.In.Bytes(); len(part) > 0; part = v.c.In.Bytes() {
		p.Buffered = append(p.Buffered, part...)
		v.c.In.Drop(len(part))
	}
	if v.inv != 0 {
		p.job, p.record = d.inHand[v.inv], d.Invariants.MigrateOut(v.inv)
		d.forget(v.inv, accounting.Migrated)
	}
	v.parcel = p
	d.passing++
	v.slow.Stop()
	v.slow = nil
	pass(p)
}

// Kept: the other process has it.
func (p *MigratingConnection) Accepted() {
	v, d := p.connection, p.connection.door
	d.passing--
	delete(d.connections, v)
	d.ClosedConnections[endedHanded]++
	v.c.Close()
	if p.job != nil {
		delete(d.ids, p.job.id)
		d.OnOwnership(p.job.id, false)
	}
}

// Back: the other process would not have it, and it goes on here.
func (p *MigratingConnection) Returned() {
	v, d := p.connection, p.connection.door
	d.passing--
	v.parcel, v.stays, v.offered = nil, true, false
	if p.job != nil {
		d.Ledger.MigrationReturned(p.job.class)
		if p.job.seat != nil {
			d.Admission.MigrationReturned(d.loop.Now(), p.job.seat, p.job.ask)
		}
		d.Invariants.CancelMigration(p.Invocation, p.record)
		d.inHand[p.Invocation] = p.job
		d.watch(p.Invocation, p.job)
	}
	v.c.In.Write(p.Buffered)
	if p.Unused {
		v.limitSilence()
	}
	if v.c.PeerClosed() { // while it was on the way; what waits on it must not be sent on before that is read
		v.c.Close()
		v.Disconnected(v.c, conn.Closed)
		return
	}
	v.c.Attach()
	v.DataReceived(v.c)
}

// Lost: the other process has died with it on the way, and may have sent it on; or it hangs, and may still find the
// connection. It ends here for both, so that nobody answers twice and nothing more is sent on.
func (p *MigratingConnection) PeerFailed() {
	v := p.connection
	p.Returned()
	if _, stays := v.door.connections[v]; !stays {
		return
	}
	if v.last = true; v.inv != 0 {
		v.door.Fail(v.inv)
	} else {
		v.quit()
	}
	v.c.Sever()
}

// Inherit takes a connection of another process in, with the invocation that waits on it, if any; inv is its name here. False:
// there is no room for it.
func (d *Server) AcceptMigrated(nc net.Conn, p MigratingConnection, j *workers.Invocation, operation int, age time.Duration) (inv dispatch.InvocationID,
	kept bool) {
	m := d.Behavior()
	if !m.Admits || m.ClosesIdle && j == nil || j != nil && len(d.inHand) >= d.most || conn.PeerClosed(nc) || !d.share.EnsureFree(0) {
		return 0, false
	}
	var seat *tenants.Account
	if j != nil {
		known := false
		if seat, known = d.seated(j.ID); !known {
			return 0, false
		}
	}
	v := &connection{door: d, useful: !p.Unused, brings: p.CarriesCallbacks, came: d.loop.Now() - p.SilentFor}
	d.connections[v] = struct{}{}
	v.c = d.share.Inherit(nc, p.Buffered, v)
	if j == nil {
		if v.c.SetState(conn.StateIdle); p.Unused {
			v.c.SetState(conn.StateNew)
			v.limitSilence()
		}
		v.DataReceived(v.c)
		return 0, true
	}
	d.last++
	v.inv, j.Number = d.last, d.last
	d.Ledger.Admitted(d.classes[operation])
	job := &inHand{id: j.ID, class: d.classes[operation], connection: v, came: d.loop.Now() - age, givenUp: j.Deadline,
		seat: seat, ask: tenants.Request{Bytes: len(j.Body)}}
	if seat != nil {
		d.Admission.AdmitMigrated(d.loop.Now(), seat, job.ask)
	}
	d.inHand[j.Number], d.ids[j.ID] = job, true
	d.watch(j.Number, job)
	d.OnOwnership(j.ID, true)
	v.DataReceived(v.c)
	return j.Number, true
}

// watch answers an invocation that the decisions have let go overdue.
func (d *Server) watch(inv dispatch.InvocationID, j *inHand) {
	j.overdue = d.loop.After(j.givenUp+overdue-d.loop.Now(), func() {
		d.Counts.Overdue++
		d.Fail(inv)
		d.OnEvent(dispatch.ClientDisconnected{Invocation: inv})
	})
}
