package tenants

// Disposition is the way in which an invocation ended, as Usage counts it.
type Disposition uint8

// The dispositions of an invocation. They mean the same as those of package accounting.
const (
	Succeeded Disposition = iota
	Declined
	Aborted
	Abandoned
	Migrated

	dispositionCount = int(Migrated) + 1
)

// Usage is what one tenant has used at one scheduler since the process started, and what it uses now.
type Usage struct {
	Admitted        int
	Retries         int
	Completed       [dispositionCount]int // indexed by Disposition
	Throttled       map[RejectionKind]int // one entry for each of RejectionKinds
	InFlight        int
	HeldWorkSeconds float64 // sum of the hinted costs in flight, in seconds on a standard core
	Bytes           int64   // total size of the admitted bodies
	ShareInFlight   float64 // invocations that it may have in flight while capacity is scarce
	WorkRate        float64 // worker time that it uses, in seconds per second, as of the last call of Quotas
	WorkShare       float64 // its fair share of the worker time of all tenants, like WorkRate
	OverShare       bool    // WorkRate exceeds WorkShare, so its work is queued behind that of others
}

// Usage returns what a tenant has used at this scheduler since this process added its account.
func (c *Controller) Usage(a *Account) Usage {
	usage := a.usage
	usage.Throttled = map[RejectionKind]int{}
	for _, kind := range RejectionKinds {
		usage.Throttled[kind] = a.usage.Throttled[kind]
	}
	usage.InFlight = a.inFlight
	usage.HeldWorkSeconds = a.heldWork
	usage.ShareInFlight = c.weightShare(a)
	usage.WorkRate = a.workRate
	usage.WorkShare = a.workShare
	usage.OverShare = a.overShare
	if !a.isActive() { // the share that it would have if it became active now
		usage.ShareInFlight = c.capacity * a.weight / (c.activeWeight + a.weight)
	}
	return usage
}
