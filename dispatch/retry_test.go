package dispatch

import (
	"fmt"
	"time"
)

// What may have run goes out again only as its effect class allows; what has not run always may.
func Example_effects() {
	for op, name := range []string{"idempotent", "deduplicated by zone", "non-idempotent"} {
		for r, what := range []string{"", "failed", "full", "timed out", "unreachable", "broken off", "cancelled"} {
			if r == 0 {
				continue
			}
			p := start(shop(), ready('a', 1), ready('b', 2), ready('c', 1))
			p.quiet = true
			p.at(10*ms, free('a', 4), free('b', 3), free('c', 2))
			p.at(20*ms, job(1, op, 0.2))
			p.at(120*ms, p.end(1, 0, Result(r)))
			p.tell(name + ", " + what)
		}
	}
	// Output:
	// idempotent, failed: 1 to a; worker ejected worker=a reason="fails attempts"; 1 to b
	// idempotent, full: 1 to a; 1 to b
	// idempotent, timed out: 1 to a; 1 to b
	// idempotent, unreachable: 1 to a; 1 to b
	// idempotent, broken off: 1 to a; 1 to b
	// idempotent, cancelled: 1 to a; 1 to b
	// deduplicated by zone, failed: 1 to a; worker ejected worker=a reason="fails attempts"; 1 to c
	// deduplicated by zone, full: 1 to a; 1 to b
	// deduplicated by zone, timed out: 1 to a; 1 to c
	// deduplicated by zone, unreachable: 1 to a; 1 to b
	// deduplicated by zone, broken off: 1 to a; 1 to c
	// deduplicated by zone, cancelled: 1 to a; 1 to c
	// non-idempotent, failed: 1 to a; worker ejected worker=a reason="fails attempts"; 1 errored
	// non-idempotent, full: 1 to a; 1 to b
	// non-idempotent, timed out: 1 to a; 1 errored
	// non-idempotent, unreachable: 1 to a; 1 to b
	// non-idempotent, broken off: 1 to a; 1 errored
	// non-idempotent, cancelled: 1 to a; 1 errored
}

// Many schedulers turn clients away at one moment; each tells its own time to come back, up to what is allowed.
func Example_adviceHasChance() {
	told := map[time.Duration]bool{}
	for seed := range int64(80) {
		d := New(shop(), seed)
		d.Handle(0, []Event{EndpointUpdate{Kind: FullUpdate}, job(1, 2, 0.1)})
		for _, action := range d.Handle(time.Second, []Event{TimerFired{}}) {
			if a, is := action.(Throttle); is && a.RetryAfter >= 750*ms && a.RetryAfter <= 1250*ms {
				told[a.RetryAfter.Round(10*ms)] = true
			}
		}
	}
	fmt.Println("80 schedulers tell more than 30 times, 0.75 to 1.25 s:", len(told) > 30)
	// Output:
	// 80 schedulers tell more than 30 times, 0.75 to 1.25 s: true
}

// What can't be in time any more is answered at once, what is out is waited for till the client timeout, and a client
// that left is let go.
func Example_finalAnswers() {
	p := start(shop(), ready('a', 0))
	p.at(10*ms, free('a', 1), job(1, 2, 5))
	p.at(20*ms, free('a', 0), job(2, 0, 0.1), job(3, 0, 1))
	p.until(1200 * ms)
	p.at(1210*ms, ClientDisconnected{Invocation: 1})
	p.at(1220*ms, p.end(1, 0, Cancelled))
	p.at(9*time.Second, free('a', 1), job(5, 1, 8))
	p.until(9*time.Second + 2*tickInterval)
	p.at(14*time.Second, p.end(5, 0, TimedOut))
	p.at(15*time.Second, p.end(5, 0, TimedOut), ClientDisconnected{Invocation: 5}, Outcome{Invocation: 99, Worker: id('z')})
	// Output:
	// 10ms 1 to a
	// 420ms 2 throttled, back after 750ms to 1.25s
	// 1.21s 1 cancels forward 0
	// 1.22s 3 throttled, back after 750ms to 1.25s
	// 9s 5 to a
	// 14s 5 errored
}

// What a worker would not have goes to one more: if that takes it the first worker is at fault, if not the invocation.
func Example_unfit() {
	p := start(shop(), ready('a', 0), ready('b', 0), ready('c', 0))
	p.at(10*ms, free('a', 3), free('b', 2), free('c', 1))
	p.at(20*ms, job(1, 0, 0.2))
	p.at(30*ms, p.end(1, 0, BadRequest))
	p.at(40*ms, p.end(1, 1, BadRequest))
	p.at(50*ms, job(2, 0, 0.2))
	p.at(60*ms, p.end(2, 0, BadRequest))
	p.at(70*ms, p.end(2, 1, Succeeded))
	p.at(80*ms, job(3, 2, 0.2))
	p.at(90*ms, p.end(3, 0, BadRequest))
	// Output:
	// 20ms 1 to a
	// 30ms 1 to b
	// 40ms 1 errored
	// 50ms 2 to a
	// 60ms 2 to c
	// 70ms worker ejected worker=a reason="rejects what others accept"
	// 80ms 3 to c
	// 90ms 3 errored
}

// One that has begun and of which nothing is heard, while its worker tells of others, is lost there: it goes elsewhere.
func Example_lostAnswer() {
	dep := shop()
	dep.NotifiesStart, dep.ProgressInterval = true, time.Second
	p := start(dep, ready('a', 0), ready('b', 1))
	p.at(10*ms, free('a', 3), free('b', 1), job(1, 0, 2), job(2, 0, 2))
	p.at(20*ms, AttemptProgress{Invocation: 1, Worker: id('a'), Started: true}, AttemptProgress{Invocation: 2, Worker: id('a'), Started: true})
	p.at(1020*ms, AttemptProgress{Invocation: 2, Worker: id('a'), Done: 0.4})
	p.until(2000 * ms)
	p.at(2020*ms, AttemptProgress{Invocation: 2, Worker: id('a'), Done: 0.8})
	p.until(2100 * ms)
	// Output:
	// 10ms 1 to a
	// 10ms 2 to a
	// 2.02s 1 to b
}

// What is lost at a worker holds no slot there any more: its report says that two of three are free, and two are sent.
func Example_lostAnswerFreesItsSlot() {
	dep := shop()
	dep.NotifiesStart, dep.ProgressInterval, dep.Limits.MaxInFlight = true, time.Second, 1
	p := start(dep, ready('a', 0))
	p.at(10*ms, free('a', 3), job(1, 2, 2), job(2, 0, 2))
	p.at(20*ms, AttemptProgress{Invocation: 1, Worker: id('a'), Started: true}, AttemptProgress{Invocation: 2, Worker: id('a'), Started: true})
	p.at(1020*ms, AttemptProgress{Invocation: 2, Worker: id('a'), Done: 0.4})
	p.until(2000 * ms)
	p.at(2020*ms, AttemptProgress{Invocation: 2, Worker: id('a'), Done: 0.8})
	p.until(2100 * ms)
	p.at(2110*ms, free('a', 2), job(3, 0, 2), job(4, 0, 2))
	p.at(2120*ms, free('a', 2))
	// Output:
	// 10ms 1 to a
	// 10ms 2 to a
	// 2.11s 3 to a
	// 2.11s 4 to a
}

// Where workers say that they have taken a forward, one without that word counts as stuck: its connection may have fallen
// silent, though other work there goes on. What may run only once is waited for. One that was taken waits in a queue.
func Example_notTaken() {
	dep := shop()
	dep.NotifiesAccepted, dep.NotifiesStart = true, true
	p := start(dep, ready('a', 0), ready('b', 0))
	p.quiet = true
	p.at(10*ms, free('a', 8), free('b', 8))
	p.at(20*ms, job(1, 0, 1), job(2, 2, 1), job(3, 0, 1))
	p.tell("sent")
	p.at(30*ms, AttemptProgress{Invocation: 3, Worker: p.went[3][0], Accepted: true})
	for n := range 40 {
		p.at(40*ms+time.Duration(n)*tickInterval, TimerFired{}, AttemptProgress{Invocation: 3, Worker: p.went[3][0], Started: true})
	}
	p.tell("0.8 s later")
	p.at(900*ms, p.end(1, 1, Succeeded), p.end(2, 0, Succeeded))
	p.tell("answers")
	// Output:
	// sent: 2 to b; 1 to a; 3 to a
	// 0.8 s later: 1 to b
	// answers: 1 cancels forward 0
}
