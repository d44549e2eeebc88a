package tenants

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// A tenant that floods the service gets the capacity that others do not use. A tenant that becomes
// active gets its share at once, and nothing more is admitted of the flood until the flood is below
// its own share.
func Example_fairShare() {
	f := newFixture(40, 1)
	f.putTenant("flood", 1, Limits{})
	f.putTenant("calm", 1, Limits{})
	fmt.Println("flood alone:", f.admit("flood", 100, Request{}))
	f.now += time.Second
	fmt.Println("calm:", f.admit("calm", 25, Request{}))
	fmt.Println("flood:", f.admit("flood", 5, Request{}))
	f.complete("flood", 15, Request{})
	fmt.Println("15 have completed:", f.admit("flood", 5, Request{}))
	f.complete("flood", 10, Request{})
	f.complete("calm", 20, Request{})
	f.now += 2 * time.Second
	fmt.Println("calm is idle:", f.admit("flood", 30, Request{}))
	// Output:
	// flood alone: 40 admitted; 60 share, retry
	// calm: 20 admitted; 5 share, retry
	// flood: 5 share, retry
	// 15 have completed: 5 share, retry
	// calm is idle: 25 admitted; 5 share, retry
}

// A tenant is over its share while it uses more worker time than its weight entitles it to. A tenant
// that is the only active one is never over its share.
func ExampleController_Quotas() {
	f := newFixture(100, 1)
	f.putTenant("big", 1, Limits{})
	f.putTenant("small", 1, Limits{})
	f.Quotas(f.now)
	printChanges := func(step string) {
		var changes []string
		for _, quota := range f.Quotas(f.now) {
			name := "big"
			if quota.Index == f.tenants["small"].Index {
				name = "small"
			}
			changes = append(changes, fmt.Sprint(name, " over share: ", !math.IsInf(quota.QuotaPerSecond, 1)))
		}
		fmt.Println(step, changes)
	}
	endAttempts := func(name string, count int, took time.Duration) {
		for range count {
			f.AttemptEnded(f.now, f.tenants[name], "render", 0, took)
		}
	}
	f.admit("big", 1, Request{})
	for range 20 {
		f.now += 50 * ms
		endAttempts("big", 2, 100*ms)
	}
	printChanges("alone")
	f.admit("small", 1, Request{})
	for range 20 {
		f.now += 50 * ms
		endAttempts("big", 2, 100*ms)
		endAttempts("small", 1, 50*ms)
	}
	printChanges("beside small")
	for range 40 {
		f.now += 50 * ms
		endAttempts("big", 1, 30*ms)
		endAttempts("small", 1, 50*ms)
	}
	printChanges("less than small")
	// Output:
	// alone []
	// beside small [big over share: true]
	// less than small [big over share: false small over share: true]
}

// Invocations that a tenant's own limits reject must not make it active, so that other tenants keep
// their shares.
func TestRejectionByOwnLimitsDoesNotActivate(t *testing.T) {
	f := newFixture(40, 1)
	f.putTenant("calm", 1, Limits{})
	f.putTenant("loud", 1, Limits{RatePerSecond: ptr(0.1), RequestBytes: ptr(1)})
	f.admit("calm", 1, Request{})
	f.admit("loud", 1, Request{})
	f.complete("loud", 1, Request{})
	f.now += 2 * idleTimeout
	got := f.admit("loud", 100, Request{}) + ", " + f.admit("loud", 100, Request{Bytes: 2})
	if got != "100 rate, retry, 100 request_size" {
		t.Errorf("got %q, want 100 rejected by rate with a retry and 100 by request size", got)
	}
	f.allocate(f.now)
	share := f.Usage(f.tenants["calm"]).ShareInFlight
	if f.ActiveCount() != 1 || share != 40 {
		t.Error(f.ActiveCount(), "active tenants, want 1; the share of the other tenant, want 40: ", share)
	}
}
