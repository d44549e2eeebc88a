package invariant

import "time"

// CheckStart checks that the start of a worker, as given by the endpoint list, does not lie in the future.
// worker is the worker's UID; at is the time of the start on the Checker's clock.
func (c *Checker) CheckStart(worker string, at time.Duration) {
	if at > c.clock() {
		c.recordViolation(StartInFuture, noRequest, worker)
	}
}
