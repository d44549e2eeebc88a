package invariant

import (
	"fmt"
	"testing"
	"time"

	"stoatweir/dispatch"
)

// fixture is a guard whose time a test sets, with what it reports.
type fixture struct {
	*Checker
	now      time.Duration
	reported []Violation
}

func open(terms RequestLimits) *fixture {
	d := &fixture{now: time.Second}
	d.Checker = New(func() time.Duration { return d.now })
	d.OnViolation = func(v Violation) { d.reported = append(d.reported, v) }
	d.RequestAdmitted(1, terms)
	return d
}

func at(worker string, zone int) Target {
	return Target{UID: worker, Endpoint: dispatch.Endpoint{State: dispatch.Ready, Zone: zone}}
}

// send asks for an attempt, and has it written where it may be.
func (d *fixture) send(number int, to Target) Reason {
	a := Attempt{Request: 1, Number: number, Chosen: to, Current: to, Deadline: time.Hour}
	why := d.CheckSend(a)
	if why == "" {
		d.AttemptStarted(a)
	}
	return why
}

// What each effect class allows after an attempt that ended in each way.
func TestRepeats(t *testing.T) {
	keyed := RequestLimits{Effect: dispatch.Deduplicated, Scope: dispatch.ScopeZone, Window: time.Second}
	for _, c := range []struct {
		name  string
		terms RequestLimits
		ran   bool
		later time.Duration
		zone  int
		want  Reason
	}{
		{"idempotent", RequestLimits{Effect: dispatch.Idempotent}, true, time.Hour / 2, 1, ""},
		{"non-idempotent that ran", RequestLimits{Effect: dispatch.NonIdempotent}, true, 0, 0, RepeatedUnproven},
		{"non-idempotent that never ran", RequestLimits{Effect: dispatch.NonIdempotent}, false, 0, 0, ""},
		{"in its group and window", keyed, true, time.Second - 1, 0, ""},
		{"outside its group", keyed, true, 0, 1, RepeatedOutOfGroup},
		{"outside its window", keyed, true, time.Second, 0, RepeatedTooLate},
		{"never ran, elsewhere and later", keyed, false, time.Minute, 1, ""},
		{"as often as allowed", RequestLimits{Effect: dispatch.Idempotent, MaxAttempts: 1}, false, 0, 0, TooManyAttempts},
	} {
		d := open(c.terms)
		if why := d.send(0, at("s-1", 0)); why != "" {
			t.Fatal(c.name, why)
		}
		d.AttemptEnded(1, 0, "reset", c.ran)
		d.now += c.later
		if got := d.send(1, at("s-2", c.zone)); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
		if c.want != "" && (d.Counts.Violations[c.want] != 1 || len(d.reported) != 1) {
			t.Errorf("%s: %v, reported %d", c.name, d.Counts.Violations, len(d.reported))
		}
	}
}

// Two attempts out, and two at one worker.
func TestAttemptsOut(t *testing.T) {
	d := open(RequestLimits{})
	d.send(0, at("s-1", 0))
	if why := d.send(1, at("s-2", 0)); why != SecondOut {
		t.Error(why)
	}
	d.RaiseLimits(0, 2)
	if why := d.send(1, at("s-1", 0)); why != SecondAtWorker {
		t.Error(why)
	}
	if why := d.send(1, at("s-2", 0)); why != "" {
		t.Error(why)
	}
}

// What has changed since an attempt was decided on stops it; that is no violation.
func TestStops(t *testing.T) {
	ready := at("s-1", 0)
	drains, moved, anew := ready, ready, ready
	drains.State, moved.Cell, anew.Incarnation = dispatch.Draining, 3, 7
	for _, c := range []struct {
		a    Attempt
		left bool
		want Reason
	}{
		{Attempt{Current: drains}, false, WorkerUnavailable}, {Attempt{Current: moved}, false, WorkerMoved}, {Attempt{Current: anew}, false, WorkerRestarted},
		{Attempt{Current: ready}, true, ClientGone}, {Attempt{Current: ready, NotAfter: time.Second}, false, WindowPassed},
		{Attempt{Current: ready, Deadline: time.Second, MinTimeLeft: time.Millisecond}, false, TimeoutPassed},
	} {
		d := open(RequestLimits{})
		d.ClientWaiting = func(dispatch.InvocationID) bool { return !c.left }
		if c.a.Request, c.a.Chosen = 1, ready; c.a.Deadline == 0 {
			c.a.Deadline = time.Hour
		}
		if got := d.CheckSend(c.a); got != c.want || d.Counts.Stopped[c.want] != 1 || len(d.reported) > 0 {
			t.Errorf("%q, want %q; %v", got, c.want, d.Counts)
		}
	}
}

// A final answer is given once, in time, and refuses only what may be asked again; a connection that we close holds no request.
func ExampleChecker_CheckAnswer() {
	d := open(RequestLimits{ID: "9b1f", Effect: dispatch.NonIdempotent, Deadline: 2 * time.Second})
	d.OnViolation = func(v Violation) { fmt.Println(v.ID, v.Reason) }
	d.send(0, at("s-1", 0))
	d.CheckClose(1)
	d.AttemptEnded(1, 0, "reset", true)
	d.now = 3 * time.Second
	fmt.Println(d.CheckAnswer(1, Refused, "too late"))
	d.CheckAnswer(1, Failed, "")
	d.send(1, at("s-2", 0))
	d.CheckStart("s-3", 4*time.Second)
	for _, t := range d.History(1) {
		fmt.Println(t)
	}
	fmt.Println("open:", d.OpenRequests())
	// Output:
	// 9b1f connection closed on an unanswered request
	// 9b1f refused though it may have run
	// 9b1f answered late
	// failed
	//  answered twice
	//  sent for a request that is not open
	//  a worker's start lies in the future
	// 1.000 taken
	// 1.000 attempt 0 at s-1: sent
	// 1.000 VIOLATION: connection closed on an unanswered request
	// 1.000 ended: reset
	// 3.000 VIOLATION: refused though it may have run
	// 3.000 VIOLATION: answered late
	// 3.000 failed: too late
	// 3.000 VIOLATION: answered twice
	// 3.000 VIOLATION: sent for a request that is not open
	// open: 0
}

// A request goes to another process and comes back with what is known of it; what comes from one is held to the same terms.
func ExampleChecker_MigrateOut() {
	d := open(RequestLimits{Effect: dispatch.NonIdempotent})
	d.send(0, at("s-1", 0))
	r := d.MigrateOut(1)
	fmt.Println(d.send(1, at("s-2", 0)))
	d.CancelMigration(1, r)
	d.AttemptEnded(1, 0, "lost", true)
	fmt.Println(d.send(1, at("s-2", 0)))
	d.MigrateIn(1, RequestLimits{Effect: dispatch.NonIdempotent}, []MigratedAttempt{{Worker: "s-1", Age: time.Second, MayHaveRun: true}})
	fmt.Println(d.send(1, at("s-2", 0)))
	// Output:
	// sent for a request that is not open
	// repeated though it may have run
	// repeated though it may have run
}
