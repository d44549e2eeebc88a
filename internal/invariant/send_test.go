package invariant

import (
	"testing"
	"time"

	"stoatweir/dispatch"
)

// Each effect class allows a retry only if the first attempt can't have run, or a second execution has no
// effect.
func TestRetriesByEffectClass(t *testing.T) {
	deduplicated := RequestLimits{Effect: dispatch.Deduplicated, DedupScope: dispatch.ScopeZone, DedupWindow: time.Second}
	for _, c := range []struct {
		name       string
		limits     RequestLimits
		mayHaveRun bool
		later      time.Duration
		zone       int
		want       Reason
	}{
		{"idempotent", RequestLimits{Effect: dispatch.Idempotent}, true, time.Hour / 2, 1, ""},
		{"non-idempotent that ran", RequestLimits{Effect: dispatch.NonIdempotent}, true, 0, 0, RetriedAfterPossibleRun},
		{"non-idempotent that never ran", RequestLimits{Effect: dispatch.NonIdempotent}, false, 0, 0, ""},
		{"in its scope and window", deduplicated, true, time.Second - 1, 0, ""},
		{"outside its scope", deduplicated, true, 0, 1, RetriedOutsideScope},
		{"outside its window", deduplicated, true, time.Second, 0, RetriedOutsideWindow},
		{"never ran, outside its scope and window", deduplicated, false, time.Minute, 1, ""},
		{"attempt limit reached", RequestLimits{Effect: dispatch.Idempotent, MaxAttempts: 1}, false, 0, 0, TooManyAttempts},
	} {
		f := newFixture(c.limits)
		if reason := f.send(0, target("s-1", 0)); reason != "" {
			t.Fatalf("%s: first attempt got reason %q, want none", c.name, reason)
		}
		f.AttemptEnded(1, 0, "reset", c.mayHaveRun)
		f.now += c.later
		if got := f.send(1, target("s-2", c.zone)); got != c.want {
			t.Errorf("%s: retry got reason %q, want %q", c.name, got, c.want)
		}
		if c.want != "" && (f.Counts.Violations[c.want] != 1 || len(f.reported) != 1) {
			t.Errorf("%s: want 1 violation counted and reported, got counts %v and %d reports", c.name, f.Counts.Violations, len(f.reported))
		}
	}
}

// A second attempt may not be sent while the first is in flight, unless the limit is raised, and never to the
// same worker.
func TestAttemptsInFlight(t *testing.T) {
	f := newFixture(RequestLimits{})
	f.send(0, target("s-1", 0))
	if reason := f.send(1, target("s-2", 0)); reason != TooManyInFlight {
		t.Errorf("second attempt in flight: got reason %q, want %q", reason, TooManyInFlight)
	}
	f.RaiseLimits(0, 2)
	if reason := f.send(1, target("s-1", 0)); reason != DuplicateAtWorker {
		t.Errorf("second attempt at the same worker: got reason %q, want %q", reason, DuplicateAtWorker)
	}
	if reason := f.send(1, target("s-2", 0)); reason != "" {
		t.Errorf("second attempt within the raised limit: got reason %q, want none", reason)
	}
}

// A change between the decision on an attempt and its sending stops the attempt, and is not a violation.
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
		{Attempt{Current: ready, SendBefore: time.Second}, false, WindowPassed},
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
			t.Errorf("got reason %q, want %q and no violation; counts: %v", got, c.want, f.Counts)
		}
	}
}
