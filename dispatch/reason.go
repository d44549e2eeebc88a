package dispatch

// Reason is why an invocation was given up. It is for people: nothing is decided by it.
type Reason string

// The reasons.
const (
	ReasonTimeout  Reason = "the client timeout is near or past"
	ReasonTooLate  Reason = "an answer would be late and earn nothing"
	ReasonAttempts Reason = "no further attempt is allowed"
	ReasonUnfit    Reason = "workers would not have it"
	ReasonUnproven Reason = "an attempt may have run"
	ReasonWindow   Reason = "the window for repeats has passed"
)

// Why tells why an invocation was given up by the last call of Handle; empty: it was not.
func (d *Dispatcher) RejectionReason(id InvocationID) Reason { return d.scheduler.reasons[id] }

// reason names the first of the conditions of may and hopeless that does not hold.
func (s *scheduler) rejectionReason(j *invocation) Reason {
	o := &s.operations[j.operation]
	_, first := j.inFlight()
	switch {
	case j.badRequests >= maxBadRequests:
		return ReasonUnfit
	case first != nil && o.effect == NonIdempotent:
		return ReasonUnproven
	case first != nil && o.effect == Deduplicated && s.now >= first.sentAt+o.dedupWindow:
		return ReasonWindow
	case len(j.attempts) >= s.maxAttempts:
		return ReasonAttempts
	case j.deadline-s.now <= 2*tickInterval:
		return ReasonTimeout
	}
	return ReasonTooLate
}
