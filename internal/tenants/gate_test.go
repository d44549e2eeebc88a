package tenants

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// yard is a gate with tenants by name, and what they have in hand.
type yard struct {
	*Controller
	now   time.Duration
	seats map[string]*Account
	revs  uint64
}

func newYard(room, schedulers int) *yard {
	return &yard{Controller: NewController(room, schedulers, rand.New(rand.NewPCG(1, 1))), seats: map[string]*Account{}}
}

func (y *yard) put(name string, weight float64, l Limits) {
	y.revs++
	t := Tenant{Name: name, Handle: "h-" + name, State: Active, Revision: y.revs, Spec: Spec{Weight: weight, Limits: l,
		Operations: []Operation{{Name: "render"}}}}
	y.seats[name] = y.Put(y.now, t)
}

// ask has one tenant ask so often, and counts the answers in their order.
func (y *yard) ask(name string, times int, a Request) string {
	var all []string
	last, n := "", 0
	flush := func() {
		if n > 0 {
			all = append(all, fmt.Sprint(n, " ", last))
		}
	}
	for range times {
		v := y.Admit(y.now, y.seats[name], a)
		word := string(v.Kind)
		if word == "" {
			word = "in"
		}
		if v.RetryAfter > 0 {
			word += ", back"
		}
		if word != last {
			flush()
			last, n = word, 0
		}
		n++
	}
	flush()
	return strings.Join(all, "; ")
}

func (y *yard) end(name string, times int, a Request) {
	for range times {
		y.Completed(y.now, y.seats[name], a, 100*ms, Succeeded)
	}
}

func ptr[T any](v T) *T { return &v }

// Each limit speaks for itself, and says when to come back where coming back is of use.
func Example_limits() {
	y := newYard(1000, 1)
	y.put("rate", 1, Limits{RatePerS: ptr(10.0), Burst: ptr(3.0)})
	fmt.Println(y.ask("rate", 5, Request{}))
	y.now += 200 * ms
	fmt.Println("0.2 s later:", y.ask("rate", 3, Request{}))
	y.put("hand", 1, Limits{Concurrency: ptr(2)})
	fmt.Println(y.ask("hand", 3, Request{}))
	y.end("hand", 1, Request{})
	fmt.Println("one has ended:", y.ask("hand", 2, Request{}))
	y.put("work", 1, Limits{HeldWorkS: ptr(1.0)})
	fmt.Println(y.ask("work", 4, Request{Work: 0.4}))
	y.put("bytes", 1, Limits{RequestBytes: ptr(10)})
	fmt.Println(y.ask("bytes", 1, Request{Bytes: 10}), y.ask("bytes", 1, Request{Bytes: 11}))
	y.put("again", 1, Limits{RetryRatio: ptr(0.5)})
	fmt.Println(y.ask("again", 12, Request{Retry: true}))
	fmt.Println("after four first tries:", y.ask("again", 4, Request{}), "then", y.ask("again", 3, Request{Retry: true}))
	// Output:
	// 3 in; 2 rate, back
	// 0.2 s later: 2 in; 1 rate, back
	// 2 in; 1 concurrency, back
	// one has ended: 1 in; 1 concurrency, back
	// 2 in; 2 held_work, back
	// 1 in 1 request_size
	// 10 in; 2 retry_budget, back
	// after four first tries: 4 in then 2 in; 1 retry_budget, back
}

// A flood has what others leave. Who comes back has its share at once, and the flood gets nothing more until its own is down.
func Example_share() {
	y := newYard(40, 1)
	y.put("flood", 1, Limits{})
	y.put("calm", 1, Limits{})
	fmt.Println("flood alone:", y.ask("flood", 100, Request{}))
	y.now += time.Second
	fmt.Println("calm:", y.ask("calm", 25, Request{}))
	fmt.Println("flood:", y.ask("flood", 5, Request{}))
	y.end("flood", 15, Request{})
	fmt.Println("15 have ended:", y.ask("flood", 5, Request{}))
	y.end("flood", 10, Request{})
	y.end("calm", 20, Request{})
	y.now += 2 * time.Second
	fmt.Println("calm has gone:", y.ask("flood", 30, Request{}))
	// Output:
	// flood alone: 40 in; 60 share, back
	// calm: 20 in; 5 share, back
	// flood: 5 share, back
	// 15 have ended: 5 share, back
	// calm has gone: 25 in; 5 share, back
}

// Limits that go below what is in hand let nothing in until it has come down; a suspended tenant is told to stay away.
func Example_lowered() {
	y := newYard(100, 1)
	y.put("t", 1, Limits{Concurrency: ptr(10)})
	fmt.Println(y.ask("t", 10, Request{}))
	y.put("t", 1, Limits{Concurrency: ptr(3)})
	y.end("t", 7, Request{})
	fmt.Println(y.ask("t", 1, Request{}))
	y.end("t", 1, Request{})
	fmt.Println(y.ask("t", 2, Request{}))
	// Output:
	// 10 in
	// 1 concurrency, back
	// 1 in; 1 concurrency, back
}

// A tenant that is removed is let in no more, and its place is free when its last invocation has ended; one made anew under
// its name inherits nothing. The decisions hear that the place has a new owner.
func Example_removed() {
	y := newYard(100, 1)
	y.put("t", 1, Limits{})
	y.Quotas(y.now)
	old := y.seats["t"]
	y.ask("t", 2, Request{})
	y.Remove(y.now, "t")
	fmt.Println(y.ask("t", 1, Request{}), y.Accounts())
	y.put("t", 1, Limits{})
	fresh := y.seats["t"]
	fmt.Println("beside it:", fresh.Index, y.Usage(fresh).Admitted)
	y.Completed(y.now, old, Request{}, 0, Succeeded)
	y.Completed(y.now, old, Request{}, 0, Aborted)
	y.put("u", 1, Limits{})
	fmt.Println("in its place:", y.seats["u"].Index, y.InFlight(), y.Quotas(y.now))
	// Output:
	// 1 suspended 1
	// beside it: 1 0
	// in its place: 0 0 [{1 +Inf true} {0 +Inf true}]
}

// Two have what workers give. Who has over its share by weight goes behind, for as long as that is so; alone nobody does.
func Example_beyond() {
	y := newYard(100, 1)
	y.put("big", 1, Limits{})
	y.put("small", 1, Limits{})
	y.Quotas(y.now)
	told := func(what string) {
		var all []string
		for _, q := range y.Quotas(y.now) {
			name := "big"
			if q.Index == y.seats["small"].Index {
				name = "small"
			}
			all = append(all, fmt.Sprint(name, " behind: ", !math.IsInf(q.QuotaPerSecond, 1)))
		}
		fmt.Println(what, all)
	}
	works := func(name string, n int, took time.Duration) {
		for range n {
			y.AttemptEnded(y.now, y.seats[name], "render", 0, took)
		}
	}
	y.ask("big", 1, Request{})
	for range 20 {
		y.now += 50 * ms
		works("big", 2, 100*ms)
	}
	told("alone")
	y.ask("small", 1, Request{})
	for range 20 {
		y.now += 50 * ms
		works("big", 2, 100*ms)
		works("small", 1, 50*ms)
	}
	told("beside small")
	for range 40 {
		y.now += 50 * ms
		works("big", 1, 30*ms)
		works("small", 1, 50*ms)
	}
	told("less than small")
	// Output:
	// alone []
	// beside small [big behind: true]
	// less than small [big behind: false small behind: true]
}

// What a client says of its work counts as far as the last ones have borne it out.
func Example_believe() {
	y := newYard(100, 1)
	y.put("t", 1, Limits{})
	s := y.seats["t"]
	fmt.Println(s.EstimateCost("render", 0.001))
	for range 8 {
		y.AttemptEnded(y.now, s, "render", 0.001, 40*ms)
	}
	fmt.Printf("%.2f %.2f\n", s.EstimateCost("render", 0.001), s.EstimateCost("other", 0.001))
	// Output:
	// 0
	// 0.04 0.00
}

// Of a thousand tenants one works: what an event costs must not grow with the others. Counted: looks at tenants.
func TestIdleTenantsCostNothing(t *testing.T) {
	looks := func(tenants int) int {
		y := newYard(100, 1)
		for n := range tenants {
			y.put(fmt.Sprint("t", n), 1, Limits{RatePerS: ptr(1e6)})
		}
		for n := range tenants { // all have been at work once
			y.ask(fmt.Sprint("t", n), 1, Request{})
			y.end(fmt.Sprint("t", n), 1, Request{})
		}
		y.now += 2 * idleAfter
		y.ask("t0", 1, Request{}) // those that have come to rest leave at the next reckoning, once
		y.end("t0", 1, Request{})
		y.Looks = 0
		for n := range 1000 {
			y.now += 10 * ms
			y.ask("t0", 1, Request{})
			if y.end("t0", 1, Request{}); n%25 == 0 {
				y.Quotas(y.now)
			}
		}
		return y.Looks
	}
	if one, all := looks(1), looks(1000); all != one {
		t.Errorf("%d looks beside a thousand, %d alone", all, one)
	}
}

// Advice to come back has chance in it, so that those turned away at one moment don't come back at one moment.
func TestAdviceSpreads(t *testing.T) {
	y := newYard(100, 1)
	y.put("t", 1, Limits{RatePerS: ptr(1.0)})
	y.ask("t", 1, Request{})
	least, most, seen := time.Hour, time.Duration(0), map[time.Duration]bool{}
	for range 200 {
		v := y.Admit(y.now, y.seats["t"], Request{})
		least, most, seen[v.RetryAfter] = min(least, v.RetryAfter), max(most, v.RetryAfter), true
	}
	if least < 750*ms || most > 1500*ms || most-least < 500*ms || len(seen) < 150 {
		t.Error(least, most, len(seen))
	}
}

// Shares by weight against what defines them: nobody has more than it wants, all that is wanted and there is given, and who is
// left wanting has as much for its weight as anybody.
func TestMaxMin(t *testing.T) {
	chance := rand.New(rand.NewPCG(7, 7))
	for range 2000 {
		wants := make([]Claim, 1+chance.IntN(12))
		amount, wanted := 100*chance.Float64(), 0.0
		for i := range wants {
			wants[i] = Claim{math.Pow(10, 4*chance.Float64()-2), 50 * chance.Float64() * float64(chance.IntN(2))}
			wanted += wants[i].Demand
		}
		given, best := 0.0, 0.0
		shares := MaxMin(amount, wants)
		for i, s := range shares {
			given += s
			best = max(best, s/wants[i].Weight)
			if s > wants[i].Demand+1e-9 {
				t.Fatal("more than wanted: ", wants, shares)
			}
		}
		if math.Abs(given-min(amount, wanted)) > 1e-6 {
			t.Fatal(given, amount, wanted)
		}
		for i, s := range shares {
			if s < wants[i].Demand-1e-9 && s/wants[i].Weight < best-1e-6*best-1e-9 {
				t.Fatal("left wanting with less than another: ", wants, shares)
			}
		}
	}
}

// Several schedulers keep a limit together, each its part.
func TestParts(t *testing.T) {
	in := 0
	for range 4 {
		y := newYard(1000, 4)
		y.put("t", 1, Limits{Concurrency: ptr(10)})
		for range 20 {
			if v := y.Admit(y.now, y.seats["t"], Request{}); v.Kind == None {
				in++
			}
		}
	}
	if in < 10 || in > 10+4-1 {
		t.Error(in, "in hand at four schedulers, 10 allowed")
	}
}

// What a tenant's own limits turn away does not make it one that shares the room: others keep theirs.
func TestTurnedAwayAreNotAtWork(t *testing.T) {
	y := newYard(40, 1)
	y.put("calm", 1, Limits{})
	y.put("loud", 1, Limits{RatePerS: ptr(0.1), RequestBytes: ptr(1)})
	y.ask("calm", 1, Request{})
	y.ask("loud", 1, Request{})
	y.end("loud", 1, Request{})
	y.now += 2 * idleAfter
	if got := y.ask("loud", 100, Request{}) + ", " + y.ask("loud", 100, Request{Bytes: 2}); got != "100 rate, back, 100 request_size" {
		t.Error(got)
	}
	y.reckon(y.now)
	if got := y.Usage(y.seats["calm"]).ShareInFlight; y.Active() != 1 || got != 40 {
		t.Error(y.Active(), "at work; the share of the other: ", got)
	}
}
