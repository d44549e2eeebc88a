package dispatch

import (
	"fmt"
	"time"
)

// A worker that fails what it gets is set aside, comes back after answered probes, and gets one at a time at first.
func Example_setAside() {
	p := start(shop(), ready('a', 0))
	p.at(10*ms, free('a', 4), job(1, 2, 0.2))
	p.at(20*ms, p.end(1, 0, Failed))
	p.at(300*ms, free('a', 4), job(2, 2, 0.3), job(3, 1, 0.3), job(4, 0, 0.3))
	p.at(400*ms, free('a', 4))
	p.at(530*ms, free('a', 4))
	p.at(550*ms, p.end(3, 0, Succeeded))
	p.at(570*ms, p.end(4, 0, Failed))
	// Output:
	// 10ms 1 to a
	// 20ms worker ejected worker=a reason="fails attempts"
	// 20ms 1 errored
	// 530ms worker reinstated on probation worker=a
	// 530ms 3 to a
	// 550ms 4 to a
	// 570ms worker ejected worker=a reason="fails attempts"
}

// A hung worker that still answers probes: suspicion asks, then silence beyond what waiting explains decides. What sits
// there goes elsewhere, and when it comes back after probes, new work is to show how it does.
func Example_hang() {
	dep := shop()
	dep.ProgressInterval = 500 * ms
	p := start(dep, ready('a', 0), ready('b', 1))
	p.at(10*ms, free('a', 2), free('b', 2), job(1, 0, 0.5), job(2, 2, 0.5))
	for range 10 {
		p.until(p.now + 480*ms)
		p.at(p.now+20*ms, AttemptProgress{Invocation: 2, Worker: id('a'), Done: 0.1}, free('b', 2))
	}
	p.at(p.now+10*ms, free('a', 0), job(3, 1, 0.2), job(4, 1, 0.2))
	p.until(p.now + 14*tickInterval)
	// Output:
	// 10ms 2 to a
	// 10ms 1 to b
	// 3.83s worker ejected worker=b reason="no sign of progress"
	// 4.51s worker reinstated on probation worker=b
	// 5.02s 3 to b
	// 5.02s 4 to a
}

// Probes that go unanswered from a worker without another sign of life.
func Example_vanished() {
	p := start(shop(), ready('a', 0), ready('b', 1))
	p.at(10*ms, free('a', 2), free('b', 2), job(1, 0, 0.3), job(2, 2, 0.3))
	p.at(200*ms, HealthCheckResult{Worker: id('a'), Result: TimedOut, Latency: 150 * ms})
	p.at(210*ms, p.end(1, 0, Succeeded))
	// Output:
	// 10ms 2 to a
	// 10ms 1 to b
	// 200ms worker ejected worker=a reason="health checks unanswered"
}

// Broken connections and probes that fail at once may be the network's doing: the worker is asked again at once, and set
// aside when that fails too, or when all that it gets breaks. What could not connect is not tried there again at once.
func Example_brokenNetwork() {
	p := start(shop(), ready('a', 0), ready('b', 1))
	p.probes = true
	refused := HealthCheckResult{Worker: id('a'), Result: Unreachable}
	p.at(10*ms, free('a', 9), free('b', 2), job(1, 0, 0.3), job(2, 0, 0.3))
	p.probes = false
	p.at(40*ms, p.end(1, 0, ReusedConnectionBroken), HealthCheckResult{Worker: id('a'), Result: ReusedConnectionBroken})
	p.at(50*ms, p.end(2, 0, ConnectionBroken))
	p.at(60*ms, refused)
	p.at(70*ms, free('a', 9))
	p.at(80*ms, job(3, 2, 0.3))
	p.at(90*ms, p.end(3, 0, Unreachable))
	p.at(100*ms, refused)
	p.at(120*ms, refused)
	// Output:
	// 10ms probes a
	// 10ms probes b
	// 10ms 1 to a
	// 10ms 2 to a
	// 40ms 1 to b
	// 50ms 2 to b
	// 80ms 3 to a
	// 100ms 3 to b
	// 120ms worker ejected worker=a reason="health checks unanswered"
}

// The worker that is avoided is counted while it is, and while it is listed.
func Example_avoided() {
	p := start(shop(), ready('a', 0), ready('b', 0))
	p.quiet = true
	p.at(10*ms, job(1, 0, 0.1))
	p.at(20*ms, p.end(1, 0, Failed))
	fmt.Println(p.d.Ejected(), p.lines)
	gone := ready('b', 0)
	gone.State = Gone
	p.at(30*ms, EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{gone}})
	fmt.Println(p.d.Ejected())
	p.at(time.Second, TimerFired{})
	// Output:
	// 1 [1 to b worker ejected worker=b reason="fails attempts" 1 to a]
	// 0
}
