package clients

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/accounting"
	"stoatweir/internal/invariant"
	"stoatweir/internal/workers"
)

// Each invocation gets one final answer: its worker's unchanged result, a rejection with the time
// to wait before a retry, or an error.
func Example_oneFinalAnswer() {
	loop, server, addr, closeListener := newTestServer(10)
	defer closeListener()
	printEvent := server.OnEvent
	server.OnEvent = func(e dispatch.Event) {
		printEvent(e)
		a := e.(dispatch.Arrival)
		switch a.Invocation {
		case 1:
			server.Deliver(a.Invocation, "result")
			server.Deliver(a.Invocation, "again")
			server.Fail(a.Invocation)
		case 2:
			server.Throttle(a.Invocation, 500*time.Millisecond)
		case 3:
			server.Fail(a.Invocation)
		}
		fmt.Println("unanswered:", server.InFlight())
	}
	closing := strings.Replace(requestText, "X-Call-Id", "Connection: close\r\nX-Call-Id", 1)
	roundTrip(loop, addr, closing)
	roundTrip(loop, addr, strings.Replace(closing, "9b1f", "9b20", 1))
	server.ReleaseID("9b1f", false)
	unreadable := strings.NewReplacer("250000", "lots", "slots=2", "slots=-2", "2.500", "900", "X-Caller: oak", "X-Odd: 1")
	roundTrip(loop, addr, unreadable.Replace(closing))
	fmt.Printf("%+v %+v\n", server.Counts, server.Ledger.Totals(0, 0).Classes)
	// Output:
	// request 9b1f POST /render/7f3a?x=1 [{X-Call-Id 9b1f}] body
	// invocation 1: operation 0 tenant 1 slots 2 hint 0.25 budget 2.5s
	// unanswered: 0
	// "200 OK\r\nConnection: close\r\nContent-Length: 6\r\n\r\nresult"
	// request 9b20 POST /render/7f3a?x=1 [{X-Call-Id 9b20}] body
	// invocation 2: operation 0 tenant 1 slots 2 hint 0.25 budget 2.5s
	// unanswered: 0
	// "503 Service Unavailable\r\nRetry-After: 0.5\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// request 9b1f POST /render/7f3a?x=1 [{X-Call-Id 9b1f}] body
	// invocation 3: operation 0 tenant 0 slots 1 hint 0 budget 5s
	// unanswered: 0
	// "500 Internal Server Error\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// {Connections:3 Overdue:0 Malformed:0 Shed:0 ReadTimeouts:0} [{Name:render Admitted:3 Completed:[1 1 1 0 0]} {Name:sale Admitted:0 Completed:[0 0 0 0 0]}]
}

// Whatever happens to invocations, and in whatever order, each admitted one has one disposition or
// is outstanding, and its disposition in the ledger matches the answer that its client got.
func TestLedgerBalancesOverRandomHistories(t *testing.T) {
	for seed := range int64(20) {
		loop, server, addr, closeListener := newTestServer(3)
		ignoreEvents(server)
		rng := rand.New(rand.NewSource(seed))
		statuses := make(chan int, 100)
		sent := 0
		disconnected := 0
		answers := map[int]int{}
		step := func() bool {
			for len(statuses) > 0 {
				answers[<-statuses]++
			}
			answered := 0
			for _, n := range answers {
				answered += n
			}
			totals := server.Ledger.Totals(0, 0)
			sum := totals.Outstanding
			for _, n := range totals.Classes[0].Completed {
				sum += n
			}
			if sum != totals.Classes[0].Admitted || totals.Outstanding != server.InFlight() {
				t.Fatalf("seed %d: ledger totals %+v do not balance with %d in flight", seed, totals, server.InFlight())
			}
			if waiting := server.Unanswered(); len(waiting) > 0 {
				inv := waiting[rng.Intn(len(waiting))]
				switch rng.Intn(6) {
				case 0:
					server.Deliver(inv, "made")
				case 1:
					server.Throttle(inv, 0)
				case 2:
					server.Fail(inv)
				}
			}
			if sent < 40 && rng.Intn(2) == 0 {
				disconnects := rng.Intn(8) == 0
				sent++
				if disconnects {
					disconnected++
				}
				go submit(addr, fmt.Sprint("id", sent), disconnects, statuses)
			}
			return sent == 40 && answered == sent && server.InFlight() == 0 && !server.Busy()
		}
		loop.After(0, func() {})
		runUntil(loop, "all answers", func() bool {
			loop.After(100*time.Microsecond, func() {})
			return step()
		})
		completed := server.Ledger.Totals(0, 0).Classes[0].Completed
		// Clients that disconnected may have missed an answer in transit.
		unanswered := completed[accounting.Abandoned]
		consistent := true
		for status, disposition := range map[int]accounting.Disposition{
			200: accounting.Succeeded,
			503: accounting.Declined,
			500: accounting.Aborted,
		} {
			unanswered += completed[disposition] - answers[status]
			consistent = consistent && completed[disposition] >= answers[status]
		}
		if !consistent || unanswered > disconnected {
			t.Errorf("seed %d: dispositions %v do not match the answers by status %v with %d clients disconnected",
				seed, completed, answers, disconnected)
		}
		closeListener()
	}
}

// If an invocation may have run, its rejection is replaced by an error, which leaves that open.
func Example_rejectionAfterPossibleRun() {
	loop, server, addr, closeListener := newTestServer(10)
	defer closeListener()
	server.Invariants = invariant.New(loop.Clock)
	server.Invariants.OnViolation = func(invariant.Violation) { fmt.Println("violation") }
	server.Reason = func(inv dispatch.InvocationID) string { return fmt.Sprint("reason ", inv) }
	server.OnRequest = func(invocation *workers.Invocation, _ int) {
		limits := invariant.RequestLimits{ID: invocation.ID, Effect: dispatch.NonIdempotent, Deadline: invocation.Deadline}
		server.Invariants.RequestAdmitted(invocation.Number, limits)
	}
	server.OnEvent = func(e dispatch.Event) {
		inv := e.(dispatch.Arrival).Invocation
		if inv == 2 {
			server.Invariants.AttemptStarted(invariant.Attempt{Request: inv})
		}
		server.Throttle(inv, 500*time.Millisecond)
		server.Throttle(inv, 500*time.Millisecond)
	}
	closing := strings.Replace(requestText, "X-Call-Id", "Connection: close\r\nX-Call-Id", 1)
	roundTrip(loop, addr, closing)
	roundTrip(loop, addr, strings.Replace(closing, "9b1f", "9b20", 1))
	fmt.Println(server.Ledger.Totals(0, 0).Classes[0].Completed)
	history := server.Invariants.HistoryByID("9b20")
	fmt.Println(strings.HasSuffix(history[len(history)-1].Event, ": reason 2"))
	// Output:
	// "503 Service Unavailable\r\nRetry-After: 0.5\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// violation
	// "500 Internal Server Error\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// [0 1 1 0 0]
	// true
}
