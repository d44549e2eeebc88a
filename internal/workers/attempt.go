package workers

import (
	"slices"
	"strconv"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/conn"
	"stoatweir/internal/http1"
)

// Why the last check stopped a forward.
const (
	stoppedWorker  = "worker"  // it drains, is gone, has started anew or moved since it was chosen
	stoppedClient  = "client"  // it has left, or has its answer
	stoppedTimeout = "timeout" // the client timeout has passed
	stoppedWindow  = "window"  // in which workers drop repeats: it has passed
)

type number struct {
	inv dispatch.InvID
	fwd int
}

// name is how news names a forward: an id alone could be that of a copy elsewhere.
type name struct{ id, uid string }

type forward struct {
	inv      *Invocation
	number   int
	worker   *worker
	ask      *ask // until the worker has taken it
	written  bool // some of it may have gone out
	repeats  bool // its worker has had the invocation before: news may be late and of that time
	taken    bool // by a 202: the connection is free, the worker's slot is not
	began    bool // its worker has told so
	deadline *conn.Alarm
}

// Forward sends an invocation; the end of that is told as an event.
func (f *Fleet) Forward(inv *Invocation, fwd int, to dispatch.WorkerID) {
	f.ForwardUntil(inv, fwd, to, 0)
}

// ForwardUntil sends one that must not leave later than that; 0: nothing bounds it.
func (f *Fleet) ForwardUntil(inv *Invocation, fwd int, to dispatch.WorkerID, until time.Duration) {
	w := f.workers[to]
	o := &forward{inv: inv, number: fwd, worker: w}
	if w == nil || !f.Owed(inv.Inv) {
		f.Event(dispatch.Outcome{Inv: inv.Inv, Worker: to, Forward: fwd, Result: conn.Unsent.Result(),
			Closed: !f.Owed(inv.Inv)})
		return
	}
	chosen := w.entry
	f.Counts.Sent++
	f.byNumber[number{inv.Inv, fwd}], f.byName[name{inv.ID, w.uid}] = o, o
	o.deadline = f.loop.After(inv.GivenUp-f.loop.Now(), func() { f.end(o, conn.Expired, nil) })
	o.ask = &ask{
		wrote: f.Wrote,
		alone: inv.needsProof(),
		request: func() conn.Outgoing {
			left := (inv.GivenUp - f.loop.Clock()).Seconds()
			return conn.Outgoing{Until: earlier(inv.GivenUp, until), Allowed: func() conn.Ending { return f.allowed(o, chosen, until) },
				Bytes: http1.Request(inv.Method, inv.Target, w.endpoint, inv.Body, append(slices.Clip(inv.Fields),
					http1.Field{Name: "X-Budget", Value: strconv.FormatFloat(left, 'f', 3, 64)})...)}
		},
		begun: func() {
			o.written, o.repeats = true, slices.Contains(inv.had, w)
			inv.had = append(inv.had, w)
		},
		done: func(m *http1.Message, e conn.Ending) {
			o.ask = nil
			if m != nil && m.Status == 202 {
				o.taken = true
				f.Event(dispatch.Sign{Inv: inv.Inv, Worker: to, Forward: fwd, Taken: true})
				return
			}
			if m != nil {
				// A result comes by news alone: an answer that looks like one is no worker's.
				if e = answered(m); e == conn.Served {
					e = conn.Garbage
				}
			}
			f.end(o, e, f.load(w, m))
		},
	}
	f.ask(w, o.ask)
}

// allowed is the last check of a forward, directly before its first byte is written: the connection may have taken its time to
// come up, and this process to run.
func (f *Fleet) allowed(o *forward, chosen dispatch.Entry, until time.Duration) conn.Ending {
	now := o.worker.entry
	switch {
	case now.Standing != dispatch.Ready || now.Start != chosen.Start || now.Zone != chosen.Zone || now.Cell != chosen.Cell:
		return f.stopped(stoppedWorker, conn.Withheld)
	case !f.Waits(o.inv.Inv):
		// Where the settings allow no cancel nothing else tells of a client that has left or has its answer.
		return f.stopped(stoppedClient, conn.Unsent)
	}
	switch at := f.loop.Clock(); {
	case o.inv.GivenUp-at < leastTold:
		return f.stopped(stoppedTimeout, conn.Unsent)
	case until > 0 && at >= until:
		return f.stopped(stoppedWindow, conn.Unsent)
	}
	return conn.Open
}

func (f *Fleet) stopped(why string, e conn.Ending) conn.Ending {
	f.Counts.Stopped[why]++
	return e
}

// earlier is the earlier of two times, of which the second may be none.
func earlier(a, b time.Duration) time.Duration {
	if b > 0 {
		return min(a, b)
	}
	return a
}

// end is where every forward ends, once.
func (f *Fleet) end(o *forward, e conn.Ending, load *dispatch.Load) {
	key := number{o.inv.Inv, o.number}
	if f.byNumber[key] != o {
		return
	}
	delete(f.byNumber, key)
	delete(f.byName, name{o.inv.ID, o.worker.uid})
	o.deadline.Stop()
	if o.began && e.NeverRan() || e == conn.HandedBack && o.repeats && o.inv.needsProof() {
		e = conn.Lost // whatever says so now, its worker had begun it; or it says so of an earlier forward
	}
	switch a := o.ask; {
	case a == nil:
	case e == conn.CalledOff || e == conn.Expired || !o.written || a.line.c.Unsent() > 0:
		// Before the 202 a forward is given up by closing the connection. One that comes up must not send it any more, and the last
		// byte of one that has ended must not go out.
		a.drop()
	default: // news came before the 202, which may still follow
		a.done = func(*http1.Message, conn.Ending) {}
		a.limit = f.loop.After(afterNews, a.drop)
	}
	if o.taken && (e == conn.CalledOff || e == conn.Expired) && f.site.Deployment.Allowed.Cancel {
		f.cancel(o)
	}
	f.Counts.Ended[e.String()]++
	f.Event(dispatch.Outcome{Inv: o.inv.Inv, Worker: o.worker.entry.Worker, Forward: o.number, Result: e.Result(),
		Load: load, Closed: !f.Owed(o.inv.Inv)})
}

func (f *Fleet) cancel(o *forward) {
	f.Counts.Cancels++
	request := http1.Request("DELETE", "/jobs/"+o.inv.ID, o.worker.endpoint, nil)
	a := &ask{request: always(request), done: func(*http1.Message, conn.Ending) {}}
	if f.ask(o.worker, a) {
		a.limit = f.loop.After(cancelWithin, a.drop)
	}
}

// Cancel gives a forward up; one that has ended by now has had its event.
func (f *Fleet) Cancel(inv dispatch.InvID, fwd int) {
	if o := f.byNumber[number{inv, fwd}]; o != nil {
		f.end(o, conn.CalledOff, nil)
	}
}
