package tenants

import (
	"fmt"
	"testing"
)

// Nothing more is admitted of a removed tenant. Its index becomes free only when its last invocation
// has completed, and a new tenant of the same name inherits nothing from it. The quota returned for a
// reused index says that the index is reassigned.
func ExampleController_Remove() {
	f := newFixture(100, 1)
	f.putTenant("t", 1, Limits{})
	f.Quotas(f.now)
	removed := f.tenants["t"]
	f.admit("t", 2, Request{})
	f.Remove(f.now, "t")
	fmt.Println(f.admit("t", 1, Request{}), f.IndexCount())
	f.putTenant("t", 1, Limits{})
	created := f.tenants["t"]
	fmt.Println("beside it:", created.Index, f.Usage(created).Admitted)
	f.Completed(f.now, removed, Request{}, 0, Succeeded)
	f.Completed(f.now, removed, Request{}, 0, Aborted)
	f.putTenant("u", 1, Limits{})
	fmt.Println("at its index:", f.tenants["u"].Index, f.InFlight(), f.Quotas(f.now))
	// Output:
	// 1 suspended 1
	// beside it: 1 0
	// at its index: 0 0 [{1 +Inf true} {0 +Inf true}]
}

// With one active tenant among a thousand, the cost of an event must not grow with the number of idle
// tenants. The cost is measured as the number of accounts visited.
func TestIdleTenantsAddNoCost(t *testing.T) {
	countVisits := func(tenants int) int {
		f := newFixture(100, 1)
		for n := range tenants {
			f.putTenant(fmt.Sprint("t", n), 1, Limits{RatePerSecond: ptr(1e6)})
		}
		for n := range tenants { // each tenant is active once
			f.admit(fmt.Sprint("t", n), 1, Request{})
			f.complete(fmt.Sprint("t", n), 1, Request{})
		}
		f.now += 2 * idleTimeout
		f.admit("t0", 1, Request{}) // the next allocation deactivates the idle tenants, once
		f.complete("t0", 1, Request{})
		f.accountVisits = 0
		for n := range 1000 {
			f.now += 10 * ms
			f.admit("t0", 1, Request{})
			f.complete("t0", 1, Request{})
			if n%25 == 0 {
				f.Quotas(f.now)
			}
		}
		return f.accountVisits
	}
	alone := countVisits(1)
	beside := countVisits(1000)
	if beside != alone {
		t.Errorf("%d accounts visited with a thousand tenants, want %d as with one tenant", beside, alone)
	}
}
