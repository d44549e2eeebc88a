package invariant

import (
	"time"

	"stoatweir/dispatch"
)

// MigratedRequest is the record of a request that is migrating to another process.
type MigratedRequest struct{ request *request }

// MigratedAttempt is an attempt that another process made for a request.
type MigratedAttempt struct {
	Number     int
	Worker     string // the worker's UID
	Zone, Cell int
	Age        time.Duration // since it was sent
	InFlight   bool
	MayHaveRun bool
}

// MigrateOut removes the record of a request that another process answers from now on. It returns the
// record for CancelMigration; nil if the request is not open.
func (c *Checker) MigrateOut(id dispatch.InvocationID) *MigratedRequest {
	if c == nil || c.requests[id] == nil {
		return nil
	}
	r := c.requests[id]
	delete(c.requests, id)
	c.recordEvent(id, string(Migrated))
	return &MigratedRequest{request: r}
}

// CancelMigration restores the record of a request that the other process has not accepted. A nil record
// changes nothing.
func (c *Checker) CancelMigration(id dispatch.InvocationID, migrated *MigratedRequest) {
	if migrated == nil {
		return
	}
	c.requests[id] = migrated.request
	c.recordEvent(id, "taken back")
}

// MigrateIn opens the record of a request that another process has migrated, with the attempts made there.
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
