package invariant

import "stoatweir/dispatch"

// CheckClose checks that the scheduler does not close a client connection on which an unanswered request
// waits. id is the request that waits on the connection; 0 if there is none.
func (c *Checker) CheckClose(id dispatch.InvocationID) {
	if c == nil || id == noRequest {
		return
	}
	if r := c.requests[id]; r != nil && !r.answered {
		c.recordViolation(ClosedUnanswered, id, "")
	}
}
