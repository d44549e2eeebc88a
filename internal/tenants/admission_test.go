package tenants

import (
	"fmt"
	"testing"
	"time"
)

// Each limit rejects invocations by itself, with an advised delay if a retry can succeed.
func Example_limits() {
	f := newFixture(1000, 1)
	f.putTenant("rate", 1, Limits{RatePerSecond: ptr(10.0), Burst: ptr(3.0)})
	fmt.Println(f.admit("rate", 5, Request{}))
	f.now += 200 * ms
	fmt.Println("0.2 s later:", f.admit("rate", 3, Request{}))
	f.putTenant("concurrency", 1, Limits{Concurrency: ptr(2)})
	fmt.Println(f.admit("concurrency", 3, Request{}))
	f.complete("concurrency", 1, Request{})
	fmt.Println("one has completed:", f.admit("concurrency", 2, Request{}))
	f.putTenant("work", 1, Limits{HeldWorkSeconds: ptr(1.0)})
	fmt.Println(f.admit("work", 4, Request{Work: 0.4}))
	f.putTenant("bytes", 1, Limits{RequestBytes: ptr(10)})
	fmt.Println(f.admit("bytes", 1, Request{Bytes: 10}), f.admit("bytes", 1, Request{Bytes: 11}))
	f.putTenant("retries", 1, Limits{RetryRatio: ptr(0.5)})
	fmt.Println(f.admit("retries", 12, Request{Retry: true}))
	fmt.Println("after four first attempts:", f.admit("retries", 4, Request{}), "then", f.admit("retries", 3, Request{Retry: true}))
	// Output:
	// 3 admitted; 2 rate, retry
	// 0.2 s later: 2 admitted; 1 rate, retry
	// 2 admitted; 1 concurrency, retry
	// one has completed: 1 admitted; 1 concurrency, retry
	// 2 admitted; 2 held_work, retry
	// 1 admitted 1 request_size
	// 10 admitted; 2 retry_budget, retry
	// after four first attempts: 4 admitted then 2 admitted; 1 retry_budget, retry
}

// If a limit is lowered below the number of invocations in flight, none is admitted until that number
// is below the new limit.
func Example_loweredLimit() {
	f := newFixture(100, 1)
	f.putTenant("t", 1, Limits{Concurrency: ptr(10)})
	fmt.Println(f.admit("t", 10, Request{}))
	f.putTenant("t", 1, Limits{Concurrency: ptr(3)})
	f.complete("t", 7, Request{})
	fmt.Println(f.admit("t", 1, Request{}))
	f.complete("t", 1, Request{})
	fmt.Println(f.admit("t", 2, Request{}))
	// Output:
	// 10 admitted
	// 1 concurrency, retry
	// 1 admitted; 1 concurrency, retry
}

// The advised delay has jitter, so that clients rejected at the same moment don't all retry at the
// same moment.
func TestRetryAfterHasJitter(t *testing.T) {
	f := newFixture(100, 1)
	f.putTenant("t", 1, Limits{RatePerSecond: ptr(1.0)})
	f.admit("t", 1, Request{})
	least := time.Hour
	most := time.Duration(0)
	distinct := map[time.Duration]bool{}
	for range 200 {
		decision := f.Admit(f.now, f.tenants["t"], Request{})
		least = min(least, decision.RetryAfter)
		most = max(most, decision.RetryAfter)
		distinct[decision.RetryAfter] = true
	}
	if least < 750*ms || most > 1500*ms || most-least < 500*ms || len(distinct) < 150 {
		t.Errorf("got delays from %v to %v, %d distinct, want 750 ms to 1.5 s, 500 ms apart or more, and 150 distinct or more",
			least, most, len(distinct))
	}
}

// Several schedulers together enforce a tenant's limit. As each rounds its part up, they may exceed it
// by less than one invocation each.
func TestSchedulersEnforceALimitTogether(t *testing.T) {
	admitted := 0
	for range 4 {
		f := newFixture(1000, 4)
		f.putTenant("t", 1, Limits{Concurrency: ptr(10)})
		for range 20 {
			decision := f.Admit(f.now, f.tenants["t"], Request{})
			if decision.Kind == NotRejected {
				admitted++
			}
		}
	}
	if admitted < 10 || admitted > 10+4-1 {
		t.Error(admitted, "invocations admitted at four schedulers together, want 10 to 13")
	}
}
