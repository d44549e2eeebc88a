package invariant

import (
	"time"

	"stoatweir/dispatch"
)

// fixture is a Checker whose time a test sets, with the violations that it has reported.
type fixture struct {
	*Checker
	now      time.Duration
	reported []Violation
}

// newFixture opens request 1.
func newFixture(limits RequestLimits) *fixture {
	f := &fixture{now: time.Second}
	f.Checker = New(func() time.Duration { return f.now })
	f.OnViolation = func(v Violation) { f.reported = append(f.reported, v) }
	f.RequestAdmitted(1, limits)
	return f
}

func target(worker string, zone int) Target {
	return Target{UID: worker, Endpoint: dispatch.Endpoint{State: dispatch.Ready, Zone: zone}}
}

// send checks an attempt for request 1, and starts it if it may be sent.
func (f *fixture) send(number int, to Target) Reason {
	a := Attempt{Request: 1, Number: number, Chosen: to, Current: to, Deadline: time.Hour}
	reason := f.CheckSend(a)
	if reason == "" {
		f.AttemptStarted(a)
	}
	return reason
}
