package workers

import (
	"slices"
	"time"

	"stoatweir/internal/conn"
)

const (
	// strayResponseWindow is how late a second response to a request may come. On a connection that
	// has been idle for as long the next response belongs to the next request.
	strayResponseWindow = 100 * time.Millisecond
	// idleTimeoutFraction is the part of the workers' idle timeout for which connections rest in
	// the pool: a request must not cross the worker's closing.
	idleTimeoutFraction = 0.6
	// minIdleTimeout is the idle timeout under which connections are not put into the pool at all.
	minIdleTimeout = 20 * time.Millisecond
	// idleTimeoutDoublingPeriod is the time without a break after which the idle timeout doubles.
	idleTimeoutDoublingPeriod = 5 * time.Second
	// maxIdleTimeoutDoublings, a count, keeps the doubled timeout from overflowing.
	maxIdleTimeoutDoublings = 30
)

// startExchange sends a request over an idle connection, or dials one. False: it has failed at
// once, and onDone has been called.
func (t *Transport) startExchange(w *worker, x *exchange) bool {
	if c := t.takeIdle(w, x.needsProofNotRun); c != nil {
		c.attach(x)
		return c.sendRequest()
	}
	if !t.quota.EnsureFree(0) {
		x.onDone(nil, conn.NoDescriptor)
		return false
	}
	x.dialDeadline = t.loop.Now() + t.deployment.ConnectTimeout
	t.dial(w, x)
	return true
}

// takeIdle takes the connection used last out of the pool, as the worker is the least likely to
// have closed that; nil: there is none. With skipRecent it takes none on which a stray response may
// still come.
func (t *Transport) takeIdle(w *worker, skipRecent bool) *connection {
	for i := len(w.idle) - 1; i >= 0; i-- {
		c := w.idle[i]
		idleFor := t.loop.Now() - c.idleSince
		if skipRecent && idleFor < strayResponseWindow {
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

// putIdle puts the connection into the pool of its worker, or closes it where connections do not
// last.
func (c *connection) putIdle() {
	c.timer.Stop()
	w := c.worker
	t := c.transport
	if t.idleTimeout() < minIdleTimeout {
		c.socket.Close()
		return
	}
	w.idle = append(w.idle, c)
	c.socket.SetState(conn.StateFinished) // whatever it receives is no response
	c.reused = true
	c.idleSince = t.loop.Now()
	c.timer = t.loop.After(t.idleTimeout(), func() {
		w.removeIdle(c)
		c.socket.Close()
	})
}

// removeIdle removes a connection that has ended from the pool.
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

// idleTimeout returns how long connections rest in the pool: a part of the time that the deployment
// gives, and less while idle connections have been found to end before that.
func (t *Transport) idleTimeout() time.Duration {
	configured := time.Duration(idleTimeoutFraction * float64(t.deployment.ConnectionIdle))
	quietPeriods := int((t.loop.Now() - t.idleLimitSetAt) / idleTimeoutDoublingPeriod)
	doublings := min(quietPeriods, maxIdleTimeoutDoublings)
	return min(configured, t.idleLimit<<doublings)
}

// shortenIdleTimeout halves the idle timeout to what a connection lasted that has ended in the pool
// after resting for so long.
func (t *Transport) shortenIdleTimeout(lasted time.Duration) {
	t.idleLimit = min(t.idleTimeout(), max(lasted/2, minIdleTimeout/2))
	t.idleLimitSetAt = t.loop.Now()
}
