package invariant

import (
	"testing"
	"time"

	"stoatweir/dispatch"
)

// What each effect class allows after an attempt that ended in each way.
func TestRetriesByEffectClass(t *testing.T) {
	keyed := RequestLimits{Effect: dispatch.Deduplicated, Scope: dispatch.ScopeZone, Window: time.Second}
	for _, c := range []struct {
		name       string
		limits     RequestLimits
		mayHaveRun bool
		later      time.Duration
		zone       int
		want       Reason
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
		f := newFixture(c.limits)
		if reason := f.send(0, target("s-1", 0)); reason != "" {
			t.Fatal(c.name, reason)
		}
		f.AttemptEnded(1, 0, "reset", c.mayHaveRun)
		f.now += c.later
		if got := f.send(1, target("s-2", c.zone)); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
		if c.want != "" && (f.Counts.Violations[c.want] != 1 || len(f.reported) != 1) {
			t.Errorf("%s: %v, reported %d", c.name, f.Counts.Violations, len(f.reported))
		}
	}
}

// Two attempts in flight, and two at one worker.
func TestAttemptsInFlight(t *testing.T) {
	f := newFixture(RequestLimits{})
	f.send(0, target("s-1", 0))
	if reason := f.send(1, target("s-2", 0)); reason != SecondOut {
		t.Error(reason)
	}
	f.RaiseLimits(0, 2)
	if reason := f.send(1, target("s-1", 0)); reason != SecondAtWorker {
		t.Error(reason)
	}
	if reason := f.send(1, target("s-2", 0)); reason != "" {
		t.Error(reason)
	}
}

// A change since an attempt was decided on stops it, and is no violation.
func TestChangesSinceTheDecisionStopAnAttempt(t *testing.T) {
	ready := target("s-1", 0)
	draining, moved, restarted := ready, ready, ready
	draining.State = dispatch.Draining
	moved.Cell = 3
	restarted.Incarnation = 7
	for _, c := range []struct {
		attempt    Attempt
		clientGone bool
		want       Reason
	}{
		{Attempt{Current: draining}, false, WorkerUnavailable},
		{Attempt{Current: moved}, false, WorkerMoved},
		{Attempt{Current: restarted}, false, WorkerRestarted},
		{Attempt{Current: ready}, true, ClientGone},
		{Attempt{Current: ready, NotAfter: time.Second}, false, WindowPassed},
		{Attempt{Current: ready, Deadline: time.Second, MinTimeLeft: time.Millisecond}, false, TimeoutPassed},
	} {
		f := newFixture(RequestLimits{})
		f.ClientWaiting = func(dispatch.InvocationID) bool { return !c.clientGone }
		c.attempt.Request = 1
		c.attempt.Chosen = ready
		if c.attempt.Deadline == 0 {
			c.attempt.Deadline = time.Hour
		}
		if got := f.CheckSend(c.attempt); got != c.want || f.Counts.Stopped[c.want] != 1 || len(f.reported) > 0 {
			t.Errorf("%q, want %q; %v", got, c.want, f.Counts)
		}
	}
}
