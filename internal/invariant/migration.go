package invariant

import (
	"time"

	"stoatweir/dispatch"
)

// MigratedRequest is the record of a request on its way to another process.
type MigratedRequest struct{ request *request }

// MigratedAttempt is an attempt that another process made for a request.
type MigratedAttempt struct {
	Number     int
	Worker     string // its UID
	Zone, Cell int
	Age        time.Duration // since it was sent
	InFlight   bool
	MayHaveRun bool
}

// MigrateOut closes the record of a request that another process owes the answer to from now on. CancelMigration takes the
// record that it returns, which is nil if the request is not open.
func (c *Checker) MigrateOut(id dispatch.InvocationID) *MigratedRequest {
	if c == nil || c.requests[id] == nil {
		return nil
	}
	r := c.requests[id]
	delete(c.requests, id)
	c.record(id, string(Migrated))
	return &MigratedRequest{request: r}
}

// CancelMigration opens a request again that the other process has rejected. A nil record changes nothing.
func (c *Checker) CancelMigration(id dispatch.InvocationID, migrated *MigratedRequest) {
	if migrated == nil {
		return
	}
	c.requests[id] = migrated.request
	c.record(id, "taken back")
}

// MigrateIn opens the record of a request of another process, with the attempts made there.
func (c *Checker) MigrateIn(id dispatch.InvocationID, limits RequestLimits, attempts []MigratedAttempt) {
	c.RequestAdmitted(id, limits)
	r := c.requests[id]
	now := c.clock()
	for _, a := range attempts {
		r.attempts = append(r.attempts, &attempt{
			number:     a.Number,
			worker:     a.Worker,
			zone:       a.Zone,
			cell:       a.Cell,
			sent:       now - a.Age,
			inFlight:   a.InFlight,
			mayHaveRun: a.MayHaveRun,
		})
	}
}
