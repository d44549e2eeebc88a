package workers

import (
	"slices"
	"strconv"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/conn"
	"stoatweir/internal/http1"
	"stoatweir/internal/invariant"
)

// Why the guard stopped an attempt, as the counts have it.
const (
	stoppedWorker    = "worker"    // it drains, is gone, has started anew or moved since it was chosen
	stoppedClient    = "client"    // it has left, or has its answer
	stoppedTimeout   = "timeout"   // the client timeout has passed
	stoppedWindow    = "window"    // in which workers drop repeats: it has passed
	stoppedViolation = "violation" // it must not even have been asked for
)

// stops maps the guard's reasons to these, and to how the attempt ends. Whatever else it has is a violation.
var stops = map[invariant.Reason]struct {
	why    string
	ending conn.CloseReason
}{
	invariant.WorkerUnavailable: {stoppedWorker, conn.WorkerUnavailable}, invariant.WorkerRestarted: {stoppedWorker, conn.WorkerUnavailable},
	invariant.WorkerMoved: {stoppedWorker, conn.WorkerUnavailable}, invariant.ClientGone: {stoppedClient, conn.NotSent},
	invariant.TimeoutPassed: {stoppedTimeout, conn.NotSent}, invariant.WindowPassed: {stoppedWindow, conn.NotSent},
}

// attemptKey names an attempt as the decisions do.
type attemptKey struct {
	inv dispatch.InvocationID
	fwd int
}

// workKey is how news names an attempt: an id alone could be that of a copy elsewhere.
type workKey struct{ id, uid string }

// attempt is one forward of an invocation to a worker.
type attempt struct {
	inv      *Invocation
	number   int
	worker   *worker
	exchange *exchange // until the worker has taken it
	written  bool      // some of it may have gone out
	repeats  bool      // its worker has had the invocation before: news may be late and of that time
	taken    bool      // by a 202: the connection is free, the worker's slot is not
	began    bool      // its worker has told so
	deadline *conn.Timer
}

// Forward begins an attempt, whose end is told as an event. No byte of it is written from until on; 0: the client timeout alone bounds it.
func (f *Transport) Forward(inv *Invocation, fwd int, to dispatch.WorkerID, until time.Duration) {
	w := f.workers[to]
	a := &attempt{inv: inv, number: fwd, worker: w}
	if w == nil || !f.AwaitsAnswer(inv.Number) {
		f.OnEvent(dispatch.Outcome{Invocation: inv.Number, Worker: to, Attempt: fwd, Result: conn.NotSent.Result(),
			Answered: !f.AwaitsAnswer(inv.Number)})
		return
	}
	chosen := w.entry
	f.Counts.Sent++
	f.byNumber[attemptKey{inv.Number, fwd}], f.byName[workKey{inv.ID, w.uid}] = a, a
	a.deadline = f.loop.After(inv.Deadline-f.loop.Now(), func() { f.end(a, conn.TimedOut, nil) })
	asked := invariant.Attempt{Request: inv.Number, Number: fwd, Chosen: invariant.Target{UID: w.uid, Endpoint: chosen}, NotAfter: until, MinTimeLeft: leastTold}
	a.exchange = &exchange{
		onWritten:  f.OnWritten,
		needsProof: inv.needsProof(),
		request: func() conn.Outgoing {
			left := (inv.Deadline - f.loop.Clock()).Seconds()
			return conn.Outgoing{Until: earlier(inv.Deadline, until), Allowed: func() conn.CloseReason { return f.allowed(a, asked) },
				Bytes: http1.Request(inv.Method, inv.Target, w.endpoint, inv.Body, append(slices.Clip(inv.Fields),
					http1.Field{Name: "X-Budget", Value: strconv.FormatFloat(left, 'f', 3, 64)})...)}
		},
		onBegun: func() {
			asked.Current = invariant.Target{UID: w.uid, Endpoint: w.entry}
			f.Invariants.AttemptStarted(asked)
			a.written, a.repeats = true, slices.Contains(inv.had, w)
			inv.had = append(inv.had, w)
		},
		done: func(m *http1.Message, e conn.CloseReason) {
			a.exchange = nil
			if m != nil && m.Status == 202 {
				a.taken = true
				f.OnEvent(dispatch.AttemptProgress{Invocation: inv.Number, Worker: to, Attempt: fwd, Accepted: true})
				return
			}
			if m != nil {
				// A result comes by news alone: an answer that looks like one is no worker's.
				if e = endingOf(m); e == conn.Succeeded {
					e = conn.Malformed
				}
			}
			f.end(a, e, f.load(w, m))
		},
	}
	f.send(w, a.exchange)
}

// allowed asks the guard directly before an attempt's first byte is written: the connection may have taken its time to come up, and
// this process to run.
func (f *Transport) allowed(a *attempt, asked invariant.Attempt) conn.CloseReason {
	asked.Current, asked.Deadline = invariant.Target{UID: a.worker.uid, Endpoint: a.worker.entry}, a.inv.Deadline
	why := f.Invariants.CheckSend(asked)
	if why == "" {
		return conn.Open
	}
	stop, expected := stops[why]
	if !expected {
		stop.why, stop.ending = stoppedViolation, conn.NotSent
	}
	f.Counts.Stopped[stop.why]++
	return stop.ending
}

// earlier is the earlier of two times, of which the second may be none.
func earlier(a, b time.Duration) time.Duration {
	if b > 0 {
		return min(a, b)
	}
	return a
}

// end is where every attempt ends, once.
func (f *Transport) end(a *attempt, e conn.CloseReason, load *dispatch.LoadReport) {
	key := attemptKey{a.inv.Number, a.number}
	if f.byNumber[key] != a {
		return
	}
	delete(f.byNumber, key)
	delete(f.byName, workKey{a.inv.ID, a.worker.uid})
	a.deadline.Stop()
	if a.began && e.ProvesNotRun() || e == conn.Returned && a.repeats && a.inv.needsProof() {
		e = conn.Lost // whatever says so now, its worker had begun it; or it says so of an earlier attempt
	}
	switch x := a.exchange; {
	case x == nil:
	case e == conn.Cancelled || e == conn.TimedOut || !a.written || x.connection.socket.Unsent() > 0:
		// Before the 202 an attempt is given up by closing the connection. One that comes up must not send it any more, and the last
		// byte of one that has ended must not go out.
		x.abandon()
	default: // news came before the 202, which may still follow
		x.done = func(*http1.Message, conn.CloseReason) {}
		x.limit = f.loop.After(afterNews, x.abandon)
	}
	if a.taken && (e == conn.Cancelled || e == conn.TimedOut) && f.site.Dispatch.Limits.Cancel {
		f.cancel(a)
	}
	f.Invariants.AttemptEnded(a.inv.Number, a.number, e.String(), !e.ProvesNotRun())
	f.Counts.Ended[e.String()]++
	f.OnEvent(dispatch.Outcome{Invocation: a.inv.Number, Worker: a.worker.entry.Worker, Attempt: a.number, Result: e.Result(),
		Load: load, Answered: !f.AwaitsAnswer(a.inv.Number)})
}

// cancel asks a worker to give an attempt up that it has taken.
func (f *Transport) cancel(a *attempt) {
	f.Counts.Cancels++
	request := http1.Request("DELETE", "/jobs/"+a.inv.ID, a.worker.endpoint, nil)
	x := &exchange{request: unbounded(request), done: func(*http1.Message, conn.CloseReason) {}}
	if f.send(a.worker, x) {
		x.limit = f.loop.After(cancelWithin, x.abandon)
	}
}

// Cancel gives an attempt up; one that has ended by now has had its event.
func (f *Transport) Cancel(inv dispatch.InvocationID, fwd int) {
	if a := f.byNumber[attemptKey{inv, fwd}]; a != nil {
		f.end(a, conn.Cancelled, nil)
	}
}
