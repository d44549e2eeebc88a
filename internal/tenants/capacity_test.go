package tenants

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// The figures of docs/CAPACITY.md for quotas: what letting one invocation in costs, what a reckoning over all tenants at work
// does, and how much of a limit a tenant has whose traffic does not come evenly to all schedulers.

func teams(n, schedulers int) (*Controller, []*Account) {
	g := NewController(6000, schedulers, rand.New(rand.NewPCG(1, 1)))
	var seats []*Account
	for t := range n {
		s := g.Put(0, Tenant{Name: fmt.Sprint("team-", t), Handle: fmt.Sprint("h", t), State: Active, Revision: uint64(t + 1),
			Spec: Spec{Weight: 1, Operations: []Operation{{Name: "train"}}, Limits: Limits{RatePerS: ptr(1e6), Concurrency: ptr(100000),
				HeldWorkS: ptr(1e8), RetryRatio: ptr(0.1)}}})
		for range sampleCount {
			g.Admit(0, s, Request{Bytes: 512, Work: 100})
			g.Completed(0, s, Request{Bytes: 512, Work: 100}, time.Minute, Succeeded)
			g.AttemptEnded(0, s, "train", 100, 110*time.Second)
		}
		g.Admit(0, s, Request{Bytes: 512, Work: 100}) // it stays at work
		seats = append(seats, s)
	}
	return g, seats
}

// BenchmarkAdmit lets one in and ends it.
func BenchmarkAdmit(b *testing.B) {
	for _, n := range []int{18, 36, 71, 142} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g, seats := teams(n, 15)
			for i := 0; b.Loop(); i++ {
				s := seats[i%n]
				if v := g.Admit(time.Millisecond, s, Request{Bytes: 512, Work: 100}); v.Kind != None {
					b.Fatal(v)
				}
				g.Completed(time.Millisecond, s, Request{Bytes: 512, Work: 100}, time.Minute, Succeeded)
			}
		})
	}
}

// BenchmarkReckon is the share of the room, ten times a second at most.
func BenchmarkReckon(b *testing.B) {
	for _, n := range []int{18, 36, 71, 142} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g, _ := teams(n, 15)
			for b.Loop() {
				g.reckon(time.Millisecond)
			}
		})
	}
}

// BenchmarkQuotas is what the decisions are told four times a second.
func BenchmarkQuotas(b *testing.B) {
	for _, n := range []int{18, 36, 71, 142} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g, _ := teams(n, 15)
			for b.Loop() {
				g.Quotas(time.Millisecond)
			}
		})
	}
}

// BenchmarkUneven has a tenant of 150 a second ask for just that, at some of the schedulers: admitted is the part that gets in.
func BenchmarkUneven(b *testing.B) {
	const schedulers, rate, lasts = 15, 150.0, 60
	for _, at := range []int{15, 14, 8, 4, 1} {
		b.Run(fmt.Sprint(at, "_of_", schedulers), func(b *testing.B) {
			for b.Loop() {
				asked, in := 0, 0
				for range at {
					g := NewController(1e6, schedulers, rand.New(rand.NewPCG(1, 1)))
					s := g.Put(0, Tenant{Name: "a", Handle: "h", State: Active, Spec: Spec{Weight: 1, Limits: Limits{RatePerS: ptr(rate)}}})
					every := time.Duration(float64(at) / rate * float64(time.Second))
					for now := time.Duration(0); now < lasts*time.Second; now += every {
						if asked++; g.Admit(now, s, Request{}).Kind == None {
							in++
							g.Completed(now, s, Request{}, 0, Succeeded)
						}
					}
				}
				b.ReportMetric(float64(in)/float64(asked), "admitted")
			}
		})
	}
}

// BenchmarkBook is one change to one of 71 tenants, while the book remembers so many.
func BenchmarkBook(b *testing.B) {
	for _, before := range []int{100, 5000, 9000, 11000} {
		b.Run(fmt.Sprint(before), func(b *testing.B) {
			book, at := NewDirectory(), time.Unix(0, 0)
			change := func(n int) {
				s := sound()
				s.Weight = float64(1 + n%1000)
				c, none, err := book.Put("ops", fmt.Sprint("team-", n%71), s, Match{}, at, "mark")
				if err != nil || none {
					b.Fatal(err, none)
				}
				if err = book.Apply(c); err != nil {
					b.Fatal(err)
				}
			}
			for n := range before {
				change(n)
			}
			b.ReportAllocs()
			n := before
			for b.Loop() {
				if change(n); before < auditMost && len(book.audit) > before+500 {
					book.audit = book.audit[:before] // as many as before
				}
				n++
			}
		})
	}
}
