package workers

import (
	"slices"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/conn"
	"stoatweir/internal/http1"
)

// Some connections come up late, and the next one at once. Whichever comes up first has the
// request; the others go to the pool, as their cost has been paid.
const (
	// maxDials is the number of connections dialled for one exchange at a time.
	maxDials = 3
	// redialDivisor divides the connect timeout: after that part of it without a connection another
	// one is dialled.
	redialDivisor = 5
	// redialReserve is the number of descriptors that are left for exchanges with no connection
	// being dialled.
	redialReserve = 8
	// localErrorBackoff is the wait before the next dial after one that failed on our own machine.
	localErrorBackoff = 20 * time.Millisecond
)

// dial dials one more connection for an exchange. All of them share the time that the first had.
func (t *Transport) dial(w *worker, x *exchange) {
	t.Counts.Dialled++
	c := &connection{
		transport: t,
		worker:    w,
		address:   w.address,
		parser:    http1.Parser{ReadsResponses: true},
		exchange:  x,
	}
	c.socket = t.quota.Dial(w.address, x.dialDeadline-t.loop.Now(), c)
	x.dials = append(x.dials, c)
	if len(x.dials) >= maxDials {
		return
	}
	x.nextDial = t.loop.After(t.deployment.ConnectTimeout/redialDivisor, func() {
		if t.quota.Available() > redialReserve && w.endpoint.State == dispatch.Ready && w.address == c.address {
			t.dial(w, x)
		}
	})
}

// anotherDial reports whether another connection may still come up for the exchange of one that has
// failed to, and dials one after a backoff where the failure was our own machine's.
func (t *Transport) anotherDial(failed *connection, reason conn.CloseReason) bool {
	x := failed.exchange
	x.dials = slices.DeleteFunc(x.dials, func(c *connection) bool { return c == failed })
	switch reason {
	case conn.ConnectTimeout:
		return len(x.dials) > 0
	case conn.LocalError:
		return len(x.dials) > 0 || t.redialAfterBackoff(failed.worker, x)
	}
	return false
}

// redialAfterBackoff dials once more after a backoff, as a local failure may be over by then.
// False: the time for dials would be up.
func (t *Transport) redialAfterBackoff(w *worker, x *exchange) bool {
	if t.loop.Now()+localErrorBackoff >= x.dialDeadline {
		return false
	}
	x.nextDial.Stop()
	x.nextDial = t.loop.After(localErrorBackoff, func() {
		if t.quota.EnsureFree(0) {
			t.dial(w, x)
			return
		}
		x.timeout.Stop()
		x.onDone(nil, conn.NoDescriptor)
	})
	return true
}
