package clients

import (
	"net"
	"syscall"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/conn"
	"stoatweir/internal/guard"
	"stoatweir/internal/ledger"
	"stoatweir/internal/tenants"
	"stoatweir/internal/workers"
)

// Parcel is a connection on its way to another process, with the invocation that waits on it.
type Parcel struct {
	Socket syscall.Conn
	Read   []byte
	News   bool
	Fresh  bool                  // nothing has come over it yet
	Silent time.Duration         // for so long, of a fresh one
	Inv    dispatch.InvocationID // 0: it is idle

	connection *connection
	job        *inHand
	record     *guard.MigratedRequest
}

// Offer stops connections that could go to another process, and gives each to pass once nothing moves on it any more; most may
// be under way. may tells whether an invocation can go as it stands.
func (d *Door) Offer(most int, may func(dispatch.InvocationID) bool, pass func(*Parcel)) {
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
func (d *Door) Passable() bool {
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

func (v *connection) offer(may func(dispatch.InvocationID) bool, pass func(*Parcel)) {
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
	p := &Parcel{Socket: socket, News: v.brings, Fresh: !v.useful, Inv: v.inv, connection: v}
	if p.Fresh {
		p.Silent = d.loop.Now() - v.came
	}
	for part := v.c.In.Bytes(); len(part) > 0; part = v.c.In.Bytes() {
		p.Read = append(p.Read, part...)
		v.c.In.Drop(len(part))
	}
	if v.inv != 0 {
		p.job, p.record = d.inHand[v.inv], d.Guard.MigrateOut(v.inv)
		d.forget(v.inv, ledger.Migrated)
	}
	v.parcel = p
	d.passing++
	v.slow.Stop()
	v.slow = nil
	pass(p)
}

// Kept: the other process has it.
func (p *Parcel) Kept() {
	v, d := p.connection, p.connection.door
	d.passing--
	delete(d.connections, v)
	d.Ended[endedHanded]++
	v.c.Close()
	if p.job != nil {
		delete(d.ids, p.job.id)
		d.Holds(p.job.id, false)
	}
}

// Back: the other process would not have it, and it goes on here.
func (p *Parcel) Back() {
	v, d := p.connection, p.connection.door
	d.passing--
	v.parcel, v.stays, v.offered = nil, true, false
	if p.job != nil {
		d.Ledger.MigrationReturned(p.job.class)
		if p.job.seat != nil {
			d.Gate.MigrationReturned(d.loop.Now(), p.job.seat, p.job.ask)
		}
		d.Guard.CancelMigration(p.Inv, p.record)
		d.inHand[p.Inv] = p.job
		d.watch(p.Inv, p.job)
	}
	v.c.In.Write(p.Read)
	if p.Fresh {
		v.limitSilence()
	}
	if v.c.Left() { // while it was on the way; what waits on it must not be sent on before that is read
		v.c.Close()
		v.Down(v.c, conn.Closed)
		return
	}
	v.c.Attach()
	v.Read(v.c)
}

// Lost: the other process has died with it on the way, and may have sent it on; or it hangs, and may still find the
// connection. It ends here for both, so that nobody answers twice and nothing more is sent on.
func (p *Parcel) Lost() {
	v := p.connection
	p.Back()
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
func (d *Door) Inherit(nc net.Conn, p Parcel, j *workers.Invocation, operation int, age time.Duration) (inv dispatch.InvocationID,
	kept bool) {
	m := d.Manner()
	if !m.Admits || m.ClosesIdle && j == nil || j != nil && len(d.inHand) >= d.most || conn.Left(nc) || !d.share.Spare(0) {
		return 0, false
	}
	var seat *tenants.Account
	if j != nil {
		known := false
		if seat, known = d.seated(j.ID); !known {
			return 0, false
		}
	}
	v := &connection{door: d, useful: !p.Fresh, brings: p.News, came: d.loop.Now() - p.Silent}
	d.connections[v] = struct{}{}
	v.c = d.share.Inherit(nc, p.Read, v)
	if j == nil {
		if v.c.Set(conn.Idle); p.Fresh {
			v.c.Set(conn.Mute)
			v.limitSilence()
		}
		v.Read(v.c)
		return 0, true
	}
	d.last++
	v.inv, j.Inv = d.last, d.last
	d.Ledger.Admitted(d.classes[operation])
	job := &inHand{id: j.ID, class: d.classes[operation], connection: v, came: d.loop.Now() - age, givenUp: j.GivenUp,
		seat: seat, ask: tenants.Request{Bytes: len(j.Body)}}
	if seat != nil {
		d.Gate.AdmitMigrated(d.loop.Now(), seat, job.ask)
	}
	d.inHand[j.Inv], d.ids[j.ID] = job, true
	d.watch(j.Inv, job)
	d.Holds(j.ID, true)
	v.Read(v.c)
	return j.Inv, true
}

// watch answers an invocation that the decisions have let go overdue.
func (d *Door) watch(inv dispatch.InvocationID, j *inHand) {
	j.overdue = d.loop.After(j.givenUp+overdue-d.loop.Now(), func() {
		d.Counts.Overdue++
		d.Fail(inv)
		d.Event(dispatch.ClientDisconnected{Invocation: inv})
	})
}
