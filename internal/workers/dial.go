package workers

import (
	"slices"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/conn"
	"stoatweir/internal/http1"
)

// Some connections take long to be established although another dial would succeed immediately. The
// first one that is established carries the request; the others go to the pool, as their cost has
// already been paid.
const (
	// maxDials is the maximum number of connections being dialled for one exchange at a time.
	maxDials = 3
	// redialDivisor divides the connect timeout: if no connection has been established after that
	// part of it, another one is dialled.
	redialDivisor = 5
	// redialReserveDescriptors is the number of free descriptors that additional dials leave for
	// exchanges without any dial in progress.
	redialReserveDescriptors = 8
	// localErrorBackoff is the wait before the next dial after one that failed on the local
	// machine, or for which no descriptor was free.
	localErrorBackoff = 20 * time.Millisecond
)

// dial dials one more connection for an exchange, and schedules another dial for the case that it
// is not established soon. All dials of an exchange share the deadline of the first.
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
		if t.quota.Available() > redialReserveDescriptors && w.endpoint.State == dispatch.Ready && w.address == c.address {
			t.dial(w, x)
		}
	})
}

// keepDialling removes a failed dial and reports whether another connection may still be
// established for its exchange. If a failure of the local machine ended the last dial, it schedules
// a new one after a backoff.
func (t *Transport) keepDialling(failed *connection, reason conn.CloseReason) bool {
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

// dialOrWait dials a connection for an exchange that has none. If no descriptor is free, it ends the
// redundant dial of another exchange and waits until the descriptor of that is released. It returns
// false if no descriptor can be had until the deadline for dials.
func (t *Transport) dialOrWait(w *worker, x *exchange) bool {
	if t.quota.EnsureFree(0) {
		t.dial(w, x)
		return true
	}
	x.awaitsDescriptor = t.endRedundantDial() || x.awaitsDescriptor
	return x.awaitsDescriptor && t.redialAfterBackoff(w, x)
}

// endRedundantDial ends the latest dial of an attempt that has several, and reports whether there is
// such an attempt.
func (t *Transport) endRedundantDial() bool {
	for _, a := range t.attempts {
		if a.exchange == nil || len(a.exchange.dials) < 2 {
			continue
		}
		last := len(a.exchange.dials) - 1
		redundant := a.exchange.dials[last]
		a.exchange.dials = a.exchange.dials[:last]
		redundant.exchange = nil
		redundant.socket.Close()
		return true
	}
	return false
}

// redialAfterBackoff schedules one more dial, as a local failure or the lack of descriptors may be
// over after the backoff. It returns false if the deadline for dials would have passed by then.
func (t *Transport) redialAfterBackoff(w *worker, x *exchange) bool {
	if t.loop.Now()+localErrorBackoff >= x.dialDeadline {
		return false
	}
	x.nextDial.Stop()
	x.nextDial = t.loop.After(localErrorBackoff, func() {
		if !t.dialOrWait(w, x) {
			x.timeout.Stop()
			x.onDone(nil, conn.NoDescriptor)
		}
	})
	return true
}
