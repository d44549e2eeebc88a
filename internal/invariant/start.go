package invariant

import "time"

// CheckStart checks a worker's start as the endpoint list has it: one that lies ahead can't have happened. worker is its
// UID, at the start as a time of the Checker's clock.
func (c *Checker) CheckStart(worker string, at time.Duration) {
	if at > c.clock() {
		c.violate(StartInFuture, noRequest, worker)
	}
}
