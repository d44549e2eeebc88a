package tenants

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// These benchmarks produce the figures for quotas and the directory in docs/CAPACITY.md, which runs
// them by these names.

// benchmarkRequest is one long invocation of a tenant.
var benchmarkRequest = Request{Bytes: 512, Work: 100}

// newControllerWithActiveTenants returns a controller with count active tenants, each of which has as
// many samples as are retained.
func newControllerWithActiveTenants(count, schedulers int) (*Controller, []*Account) {
	c := NewController(6000, schedulers, rand.New(rand.NewPCG(1, 1)))
	limits := Limits{RatePerSecond: ptr(1e6), Concurrency: ptr(100000), HeldWorkSeconds: ptr(1e8), RetryRatio: ptr(0.1)}
	var accounts []*Account
	for n := range count {
		a := c.Put(0, Tenant{
			Name:     fmt.Sprint("team-", n),
			Handle:   fmt.Sprint("h", n),
			State:    Active,
			Revision: uint64(n + 1),
			Spec:     Spec{Weight: 1, Operations: []Operation{{Name: "train"}}, Limits: limits},
		})
		for range maxSamples {
			c.Admit(0, a, benchmarkRequest)
			c.Completed(0, a, benchmarkRequest, time.Minute, Succeeded)
			c.AttemptEnded(0, a, "train", 100, 110*time.Second)
		}
		c.Admit(0, a, benchmarkRequest) // stays in flight, so that the tenant stays active
		accounts = append(accounts, a)
	}
	return c, accounts
}

// BenchmarkAdmit measures the admission and completion of one invocation.
func BenchmarkAdmit(b *testing.B) {
	for _, n := range []int{18, 36, 71, 142} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c, accounts := newControllerWithActiveTenants(n, 15)
			for i := 0; b.Loop(); i++ {
				a := accounts[i%n]
				decision := c.Admit(time.Millisecond, a, benchmarkRequest)
				if decision.Kind != NotRejected {
					b.Fatalf("got decision %+v, want no rejection", decision)
				}
				c.Completed(time.Millisecond, a, benchmarkRequest, time.Minute, Succeeded)
			}
		})
	}
}

// BenchmarkReckon measures one allocation of the capacity, which happens at most ten times a second.
func BenchmarkReckon(b *testing.B) {
	for _, n := range []int{18, 36, 71, 142} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c, _ := newControllerWithActiveTenants(n, 15)
			for b.Loop() {
				c.allocate(time.Millisecond)
			}
		})
	}
}

// BenchmarkQuotas measures one computation of the quotas, which are sent to the dispatcher four times
// a second.
func BenchmarkQuotas(b *testing.B) {
	for _, n := range []int{18, 36, 71, 142} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c, _ := newControllerWithActiveTenants(n, 15)
			for b.Loop() {
				c.Quotas(time.Millisecond)
			}
		})
	}
}

// BenchmarkUneven has a tenant with a limit of 150 invocations per second send exactly that many, but
// only to some of the schedulers. The metric "admitted" is the fraction that is admitted.
func BenchmarkUneven(b *testing.B) {
	const schedulers, rate, seconds = 15, 150.0, 60
	for _, usedSchedulers := range []int{15, 14, 8, 4, 1} {
		b.Run(fmt.Sprint(usedSchedulers, "_of_", schedulers), func(b *testing.B) {
			for b.Loop() {
				sent := 0
				admitted := 0
				for range usedSchedulers {
					c := NewController(1e6, schedulers, rand.New(rand.NewPCG(1, 1)))
					spec := Spec{Weight: 1, Limits: Limits{RatePerSecond: ptr(rate)}}
					a := c.Put(0, Tenant{Name: "a", Handle: "h", State: Active, Spec: spec})
					interval := time.Duration(float64(usedSchedulers) / rate * float64(time.Second))
					for now := time.Duration(0); now < seconds*time.Second; now += interval {
						sent++
						if c.Admit(now, a, Request{}).Kind == NotRejected {
							admitted++
							c.Completed(now, a, Request{}, 0, Succeeded)
						}
					}
				}
				b.ReportMetric(float64(admitted)/float64(sent), "admitted")
			}
		})
	}
}

// BenchmarkBook measures one change of one of 71 tenants, in a directory that retains the given number
// of changes for the audit.
func BenchmarkBook(b *testing.B) {
	for _, retainedChanges := range []int{100, 5000, 9000, 11000} {
		b.Run(fmt.Sprint(retainedChanges), func(b *testing.B) {
			d := NewDirectory()
			epoch := time.Unix(0, 0)
			putChange := func(n int) {
				s := validSpec()
				s.Weight = float64(1 + n%1000)
				c, unchanged, err := d.Put("ops", fmt.Sprint("team-", n%71), s, Precondition{}, epoch, "mark")
				if err != nil || unchanged {
					b.Fatalf("got error %v and unchanged %v, want no error and a change", err, unchanged)
				}
				if err := d.Apply(c); err != nil {
					b.Fatal(err)
				}
			}
			for n := range retainedChanges {
				putChange(n)
			}
			b.ReportAllocs()
			n := retainedChanges
			for b.Loop() {
				putChange(n)
				if retainedChanges < maxAuditChanges && len(d.audit) > retainedChanges+500 {
					d.audit = d.audit[:retainedChanges] // restores the number of retained changes
				}
				n++
			}
		})
	}
}
