package workers

import (
	"slices"
	"time"

	"stoatweir/internal/conn"
)

const (
	// strayResponseWindow is how late a second response to a request may arrive. On a connection
	// that has been idle for this long, the next response belongs to the next request.
	strayResponseWindow = 100 * time.Millisecond
	// idleTimeoutFraction is the fraction of the workers' idle timeout for which connections stay
	// in the pool, so that no request is sent while the worker is closing the connection.
	idleTimeoutFraction = 0.6
	// minIdleTimeout is the idle timeout below which connections are closed instead of being put
	// into the pool.
	minIdleTimeout = 20 * time.Millisecond
	// idleTimeoutDoublingPeriod is the time after which a shortened idle timeout doubles if no idle
	// connection has broken in the meantime.
	idleTimeoutDoublingPeriod = 5 * time.Second
	// maxIdleTimeoutDoublings is the maximum number of doublings, which keeps the timeout from
	// overflowing.
	maxIdleTimeoutDoublings = 30
)

// startExchange sends a request over an idle connection, or dials a new one. It returns false if
// the exchange has failed immediately; onDone has then been called.
func (t *Transport) startExchange(w *worker, x *exchange) bool {
	if c := t.takeIdle(w, x.isAttempt); c != nil {
		c.attach(x)
		return c.sendRequest()
	}
	x.dialDeadline = t.loop.Now() + t.deployment.ConnectTimeout
	if !t.dialOrWait(w, x) {
		x.onDone(nil, conn.NoDescriptor)
		return false
	}
	return true
}

// takeIdle removes the most recently used connection from the pool, as the worker is least likely
// to have closed that one. It returns nil if there is none. With skipRecent it skips connections on
// which a stray response may still arrive.
func (t *Transport) takeIdle(w *worker, skipRecent bool) *connection {
	for i := len(w.idle) - 1; i >= 0; i-- {
		c := w.idle[i]
		idleFor := t.loop.Now() - c.idleSince
		if skipRecent && c.hasCarried && idleFor < strayResponseWindow {
			continue
		}
		w.idle = slices.Delete(w.idle, i, i+1)
		c.timer.Stop()
		if idleFor > t.idleTimeout() {
			c.socket.Close()
			continue
		}
		c.socket.SetState(conn.StateActive)
		return c
	}
	return nil
}

// putIdle puts the connection into the pool of its worker. It closes the connection instead if idle
// connections break too soon for a pool to be of use.
func (c *connection) putIdle() {
	c.timer.Stop()
	w := c.worker
	t := c.transport
	if t.idleTimeout() < minIdleTimeout {
		c.socket.Close()
		return
	}
	w.idle = append(w.idle, c)
	c.socket.SetState(conn.StateFinished) // anything it receives now is not a response
	c.reused = true
	c.idleSince = t.loop.Now()
	c.timer = t.loop.After(t.idleTimeout(), func() {
		w.removeIdle(c)
		c.socket.Close()
	})
}

// removeIdle removes a closed connection from the pool.
func (w *worker) removeIdle(c *connection) {
	i := slices.Index(w.idle, c)
	if i < 0 {
		return
	}
	c.timer.Stop()
	w.idle = slices.Delete(w.idle, i, i+1)
}

// closeIdle closes all connections in the pool of a worker.
func (w *worker) closeIdle() {
	for _, c := range w.idle {
		c.timer.Stop()
		c.socket.Close()
	}
	w.idle = nil
}

// idleTimeout returns how long connections stay in the pool: a fraction of the time that the
// deployment sets, and less after idle connections have been found closed earlier than that.
func (t *Transport) idleTimeout() time.Duration {
	configured := time.Duration(idleTimeoutFraction * float64(t.deployment.ConnectionIdle))
	quietPeriods := int((t.loop.Now() - t.idleLimitSetAt) / idleTimeoutDoublingPeriod)
	doublings := min(quietPeriods, maxIdleTimeoutDoublings)
	return min(configured, t.idleLimit<<doublings)
}

// shortenIdleTimeout lowers the idle timeout to half the time for which a connection had been idle
// in the pool when it was found closed.
func (t *Transport) shortenIdleTimeout(idleFor time.Duration) {
	t.idleLimit = min(t.idleTimeout(), max(idleFor/2, minIdleTimeout/2))
	t.idleLimitSetAt = t.loop.Now()
}
