package tenants

// Disposition is how an invocation ended, for Usage.
type Disposition uint8

// The dispositions of an invocation.
const (
	Succeeded Disposition = iota
	Declined
	Aborted
	Abandoned
	Migrated

	dispositionCount = int(Migrated) + 1
)

// Usage is what one tenant has used at one scheduler.
type Usage struct {
	Admitted      int
	Retries       int
	Completed     [dispositionCount]int // by Disposition
	Throttled     map[RejectionKind]int // one entry for each of RejectionKinds
	InFlight      int
	HeldWorkS     float64 // hinted cost in flight, in seconds on a standard core
	Bytes         int64   // of admitted bodies
	ShareInFlight float64 // invocations it may have in flight while capacity is scarce
	Rate          float64 // workers' time that it uses, in seconds a second; as of the last Quotas
	Share         float64 // its fair share of all such time, in seconds a second; as of the last Quotas
	OverShare     bool    // it uses more than its share, and is queued behind those that do not
}

// Usage returns what a tenant has used here since this process has known it.
func (c *Controller) Usage(a *Account) Usage {
	usage := a.usage
	usage.Throttled = map[RejectionKind]int{}
	for _, kind := range RejectionKinds {
		usage.Throttled[kind] = a.usage.Throttled[kind]
	}
	usage.InFlight = a.inFlight
	usage.HeldWorkS = a.heldWork
	usage.ShareInFlight = c.weightShare(a)
	usage.Rate = a.workRate
	usage.Share = a.workShare
	usage.OverShare = a.overShare
	if !a.isActive() { // what it would have if it became active now
		usage.ShareInFlight = c.capacity * a.weight / (c.activeWeight + a.weight)
	}
	return usage
}
