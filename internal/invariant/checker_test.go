package invariant

import (
	"time"

	"stoatweir/dispatch"
)

// fixture is a Checker on a clock that the test sets, with the violations that it has reported.
type fixture struct {
	*Checker
	now      time.Duration
	reported []Violation
}

// newFixture returns a fixture at time 1 s in which request 1 has been admitted.
func newFixture(limits RequestLimits) *fixture {
	f := &fixture{now: time.Second}
	f.Checker = New(func() time.Duration { return f.now })
	f.OnViolation = func(v Violation) { f.reported = append(f.reported, v) }
	f.RequestAdmitted(1, limits)
	return f
}

// target returns a ready worker in the given zone.
func target(worker string, zone int) Target {
	return Target{UID: worker, Endpoint: dispatch.Endpoint{State: dispatch.Ready, Zone: zone}}
}

// send checks an attempt of request 1, and records its start if it may be sent.
func (f *fixture) send(number int, worker Target) Reason {
	a := Attempt{Request: 1, Number: number, Chosen: worker, Current: worker, Deadline: time.Hour}
	reason := f.CheckSend(a)
	if reason == "" {
		f.AttemptStarted(a)
	}
	return reason
}
