package workers

import (
	"slices"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/conn"
	"stoatweir/internal/http1"
)

// strayMost is how late a second answer may come to a request that has had one. On a connection that has rested for so long
// the next answer belongs to the next request.
const strayMost = 100 * time.Millisecond

const (
	// Some connections come up late, and the next one at once: a part of the time that one has is waited before another is
	// dialled. Whichever comes up first has the request; the others are kept, as their price has been paid.
	redialPart = 5
	dialsMost  = 3
	// localAgain is how long another dial waits after one that our own machine could not make.
	localAgain = 20 * time.Millisecond
	// redialRoom descriptors are left for those that have no connection on its way.
	redialRoom = 8
)

// send sends on the connection used last, as it is the least likely to have been closed by the worker, or opens one.
// False: it has failed at once, and done has been called.
func (f *Transport) send(w *worker, x *exchange) bool {
	for n := len(w.idle) - 1; n >= 0; n-- {
		c := w.idle[n]
		rested := f.loop.Now() - c.parked
		if x.needsProof && rested < strayMost {
			continue
		}
		w.idle = slices.Delete(w.idle, n, n+1)
		c.expiry.Stop()
		if rested > f.idleTime() {
			c.socket.Close()
			continue
		}
		c.socket.SetState(conn.StateActive)
		c.exchange, x.connection = x, c
		return c.send()
	}
	if !f.share.EnsureFree(0) {
		x.done(nil, conn.NoDescriptor)
		return false
	}
	x.dialUntil = f.loop.Now() + f.site.ConnectTimeout
	f.dial(w, x)
	return true
}

// anotherDial tells whether another connection may come up for the exchange of one that has not.
func (f *Transport) anotherDial(c *connection, e conn.CloseReason) bool {
	x := c.exchange
	x.dialling = slices.DeleteFunc(x.dialling, func(other *connection) bool { return other == c })
	switch e {
	case conn.ConnectTimeout:
		return len(x.dialling) > 0
	case conn.LocalError:
		return len(x.dialling) > 0 || f.dialAgain(c.worker, x)
	}
	return false
}

// dialAgain dials once more after a while where our own machine could not, as that may be over soon. False: the time for it is up.
func (f *Transport) dialAgain(w *worker, x *exchange) bool {
	if f.loop.Now()+localAgain >= x.dialUntil {
		return false
	}
	x.redial.Stop()
	x.redial = f.loop.After(localAgain, func() {
		if f.share.EnsureFree(0) {
			f.dial(w, x)
			return
		}
		x.limit.Stop()
		x.done(nil, conn.NoDescriptor)
	})
	return true
}

// dial opens one more connection for an exchange. All have the time of the first.
func (f *Transport) dial(w *worker, x *exchange) {
	f.Counts.Dialled++
	c := &connection{fleet: f, worker: w, endpoint: w.endpoint, parser: http1.Parser{Answers: true}, exchange: x}
	c.socket = f.share.Dial(w.endpoint, x.dialUntil-f.loop.Now(), c)
	if x.dialling = append(x.dialling, c); len(x.dialling) < dialsMost {
		x.redial = f.loop.After(f.site.ConnectTimeout/redialPart, func() {
			if f.share.Available() > redialRoom && w.entry.State == dispatch.Ready && w.endpoint == c.endpoint {
				f.dial(w, x)
			}
		})
	}
}

// park puts a connection back into the pool.
func (c *connection) park() {
	c.expiry.Stop()
	w, f := c.worker, c.fleet
	if f.idleTime() < keepLeast {
		c.socket.Close()
		return
	}
	w.idle = append(w.idle, c)
	c.socket.SetState(conn.StateFinished) // whatever comes over it is no answer
	c.reused, c.parked = true, f.loop.Now()
	c.expiry = f.loop.After(f.idleTime(), func() {
		w.remove(c)
		c.socket.Close()
	})
}

// remove takes one out of the pool that has ended.
func (w *worker) remove(c *connection) {
	for i, other := range w.idle {
		if other == c {
			c.expiry.Stop()
			w.idle = append(w.idle[:i], w.idle[i+1:]...)
			return
		}
	}
}

// shutIdle closes those of a worker that are in the pool.
func (w *worker) shutIdle() {
	for _, c := range w.idle {
		c.expiry.Stop()
		c.socket.Close()
	}
	w.idle = nil
}

// idleTime is how long connections are kept: a part of the time that the settings give, as a request must not cross the
// worker's closing, and less while kept ones end before that.
func (f *Transport) idleTime() time.Duration {
	most := time.Duration(idlePart * float64(f.site.ConnectionIdle))
	return min(most, f.lasted<<min(int((f.loop.Now()-f.brokeAt)/keepAgain), 30))
}

// shortenIdleTime keeps connections for less from now on, as one has ended after resting for so long.
func (f *Transport) shortenIdleTime(lasted time.Duration) {
	f.lasted, f.brokeAt = min(f.idleTime(), max(lasted/2, keepLeast/2)), f.loop.Now()
}
