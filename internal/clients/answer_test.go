package clients

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/accounting"
	"stoatweir/internal/workers"
)

// One final answer each, with the worker's result as it was given, or a refusal that says when to come back.
func Example_oneFinalAnswer() {
	loop, server, addr, closeListener := newTestServer(10)
	defer closeListener()
	take := server.OnEvent
	server.OnEvent = func(e dispatch.Event) {
		take(e)
		switch a := e.(dispatch.Arrival); a.Invocation {
		case 1:
			server.Deliver(a.Invocation, "result")
			server.Deliver(a.Invocation, "again")
			server.Fail(a.Invocation)
		case 2:
			server.Throttle(a.Invocation, 500*time.Millisecond)
		case 3:
			server.Fail(a.Invocation)
		}
		fmt.Println("owed:", server.InFlight())
	}
	closing := strings.Replace(requestText, "X-Call-Id", "Connection: close\r\nX-Call-Id", 1)
	roundTrip(loop, addr, closing)
	roundTrip(loop, addr, strings.Replace(closing, "9b1f", "9b20", 1))
	server.ReleaseID("9b1f", false)
	roundTrip(loop, addr, strings.NewReplacer("250000", "lots", "slots=2", "slots=-2", "2.500", "900", "X-Caller: oak", "X-Odd: 1").Replace(closing))
	fmt.Printf("%+v %+v\n", server.Counts, server.Ledger.Totals(0, 0).Classes)
	// Output:
	// job 9b1f POST /render/7f3a?x=1 [{X-Call-Id 9b1f}] body
	// inv 1: operation 0 tenant 1 slots 2 hint 0.25 budget 2.5s
	// owed: 0
	// "200 OK\r\nConnection: close\r\nContent-Length: 6\r\n\r\nresult"
	// job 9b20 POST /render/7f3a?x=1 [{X-Call-Id 9b20}] body
	// inv 2: operation 0 tenant 1 slots 2 hint 0.25 budget 2.5s
	// owed: 0
	// "503 Service Unavailable\r\nRetry-After: 0.5\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// job 9b1f POST /render/7f3a?x=1 [{X-Call-Id 9b1f}] body
	// inv 3: operation 0 tenant 0 slots 1 hint 0 budget 5s
	// owed: 0
	// "500 Internal Server Error\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// {Connections:3 Overdue:0 Malformed:0 Crowded:0 Silent:0} [{Name:render Admitted:3 Completed:[1 1 1 0 0]} {Name:sale Admitted:0 Completed:[0 0 0 0 0]}]
}

// Whatever becomes of invocations, in any order: what was taken in has succeeded, been declined, aborted, abandoned, or is
// outstanding, and the ledger says of each what its client was told.
func TestLedgerBalancesOverRandomHistories(t *testing.T) {
	for seed := range int64(20) {
		loop, server, addr, closeListener := newTestServer(3)
		server.OnEvent, server.OnRequest = func(dispatch.Event) {}, func(*workers.Invocation, int) {}
		rng, told := rand.New(rand.NewSource(seed)), make(chan int, 100)
		asked, gone := 0, 0
		heard := map[int]int{}
		step := func() bool {
			for len(told) > 0 {
				heard[<-told]++
			}
			answered := 0
			for _, n := range heard {
				answered += n
			}
			f := server.Ledger.Totals(0, 0)
			sum := f.Outstanding
			for _, n := range f.Classes[0].Completed {
				sum += n
			}
			if sum != f.Classes[0].Admitted || f.Outstanding != server.InFlight() {
				t.Fatalf("seed %d: %+v with %d in hand", seed, f, server.InFlight())
			}
			if rest := server.Unanswered(); len(rest) > 0 {
				inv := rest[rng.Intn(len(rest))]
				switch rng.Intn(6) {
				case 0:
					server.Deliver(inv, "made")
				case 1:
					server.Throttle(inv, 0)
				case 2:
					server.Fail(inv)
				}
			}
			if asked < 40 && rng.Intn(2) == 0 {
				leaves := rng.Intn(8) == 0
				if asked++; leaves {
					gone++
				}
				go submit(addr, fmt.Sprint("id", asked), leaves, told)
			}
			return asked == 40 && answered == asked && server.InFlight() == 0 && !server.Busy()
		}
		loop.After(0, func() {})
		runUntil(loop, "all answers", func() bool { loop.After(100*time.Microsecond, func() {}); return step() })
		ended := server.Ledger.Totals(0, 0).Classes[0].Completed
		// Some of those that left had their answer on the way.
		more, sound := ended[accounting.Abandoned], true
		for status, how := range map[int]accounting.Disposition{200: accounting.Succeeded, 503: accounting.Declined, 500: accounting.Aborted} {
			more += ended[how] - heard[status]
			sound = sound && ended[how] >= heard[status]
		}
		if !sound || more > gone {
			t.Errorf("seed %d: %v, clients heard %v and %d left", seed, ended, heard, gone)
		}
		closeListener()
	}
}
