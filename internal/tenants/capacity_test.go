package tenants

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// The benchmarks behind docs/CAPACITY.md's figures for quotas and the directory. That page runs
// them by these names.

// teamRequest is one long invocation of a team.
var teamRequest = Request{Bytes: 512, Work: 100}

// newTeams returns a controller with active tenants and all their samples.
func newTeams(count, schedulers int) (*Controller, []*Account) {
	c := NewController(6000, schedulers, rand.New(rand.NewPCG(1, 1)))
	limits := Limits{RatePerS: ptr(1e6), Concurrency: ptr(100000), HeldWorkS: ptr(1e8), RetryRatio: ptr(0.1)}
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
			c.Admit(0, a, teamRequest)
			c.Completed(0, a, teamRequest, time.Minute, Succeeded)
			c.AttemptEnded(0, a, "train", 100, 110*time.Second)
		}
		c.Admit(0, a, teamRequest) // stays in flight, so that the tenant stays active
		accounts = append(accounts, a)
	}
	return c, accounts
}

// BenchmarkAdmit admits an invocation and completes it.
func BenchmarkAdmit(b *testing.B) {
	for _, n := range []int{18, 36, 71, 142} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c, accounts := newTeams(n, 15)
			for i := 0; b.Loop(); i++ {
				a := accounts[i%n]
				decision := c.Admit(time.Millisecond, a, teamRequest)
				if decision.Kind != None {
					b.Fatal(decision)
				}
				c.Completed(time.Millisecond, a, teamRequest, time.Minute, Succeeded)
			}
		})
	}
}

// BenchmarkReckon allocates the capacity, which happens ten times a second at most.
func BenchmarkReckon(b *testing.B) {
	for _, n := range []int{18, 36, 71, 142} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c, _ := newTeams(n, 15)
			for b.Loop() {
				c.allocate(time.Millisecond)
			}
		})
	}
}

// BenchmarkQuotas computes the quotas, which the dispatcher is sent four times a second.
func BenchmarkQuotas(b *testing.B) {
	for _, n := range []int{18, 36, 71, 142} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c, _ := newTeams(n, 15)
			for b.Loop() {
				c.Quotas(time.Millisecond)
			}
		})
	}
}

// BenchmarkUneven has a tenant with a limit of 150 a second send just that, to some of the
// schedulers; "admitted" is the part that is admitted.
func BenchmarkUneven(b *testing.B) {
	const schedulers, rate, lasts = 15, 150.0, 60
	for _, used := range []int{15, 14, 8, 4, 1} {
		b.Run(fmt.Sprint(used, "_of_", schedulers), func(b *testing.B) {
			for b.Loop() {
				sent := 0
				admitted := 0
				for range used {
					c := NewController(1e6, schedulers, rand.New(rand.NewPCG(1, 1)))
					spec := Spec{Weight: 1, Limits: Limits{RatePerS: ptr(rate)}}
					a := c.Put(0, Tenant{Name: "a", Handle: "h", State: Active, Spec: spec})
					interval := time.Duration(float64(used) / rate * float64(time.Second))
					for now := time.Duration(0); now < lasts*time.Second; now += interval {
						sent++
						if c.Admit(now, a, Request{}).Kind == None {
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

// BenchmarkBook makes one change to one of 71 tenants, while the directory retains so many.
func BenchmarkBook(b *testing.B) {
	for _, before := range []int{100, 5000, 9000, 11000} {
		b.Run(fmt.Sprint(before), func(b *testing.B) {
			d := NewDirectory()
			epoch := time.Unix(0, 0)
			change := func(n int) {
				s := validSpec()
				s.Weight = float64(1 + n%1000)
				c, unchanged, err := d.Put("ops", fmt.Sprint("team-", n%71), s, Precondition{}, epoch, "mark")
				if err != nil || unchanged {
					b.Fatal(err, unchanged)
				}
				if err := d.Apply(c); err != nil {
					b.Fatal(err)
				}
			}
			for n := range before {
				change(n)
			}
			b.ReportAllocs()
			n := before
			for b.Loop() {
				change(n)
				if before < maxAuditChanges && len(d.audit) > before+500 {
					d.audit = d.audit[:before] // as many as before
				}
				n++
			}
		})
	}
}
