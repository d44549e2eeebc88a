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
func (d *Dispatcher) RejectionReason(id InvocationID) Reason { return d.desk.why[id] }

// reason names the first of the conditions of may and hopeless that does not hold.
func (k *desk) reason(j *inv) Reason {
	o := &k.ops[j.op]
	_, first := j.live()
	switch {
	case j.unfit >= unfitMost:
		return ReasonUnfit
	case first != nil && o.effect == NonIdempotent:
		return ReasonUnproven
	case first != nil && o.effect == Deduplicated && k.now >= first.sent+o.window:
		return ReasonWindow
	case len(j.tries) >= k.mostForwards:
		return ReasonAttempts
	case j.givenUp-k.now <= 2*beat:
		return ReasonTimeout
	}
	return ReasonTooLate
}
