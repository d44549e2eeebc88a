package invariant

import "stoatweir/dispatch"

// CheckClose checks the close of a client connection by the scheduler. id is the request that waits on the connection, 0 if
// there is none.
func (c *Checker) CheckClose(id dispatch.InvocationID) {
	if c == nil || id == noRequest {
		return
	}
	if r := c.requests[id]; r != nil && !r.answered {
		c.violate(ClosedUnanswered, id, "")
	}
}
