package dispatch

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// newLoadedSimulation returns a running simulation of one of fifteen schedulers, without faults. The
// workers send load reports. There are 48 arrivals a second for any number of workers, and running
// times grow with that number, so that all schedulers together always take about 23 slots of each
// worker.
func newLoadedSimulation(workers int) *simulation { return newLoadedSimulationWithShare(workers, 0.4) }

// newLoadedSimulationWithShare is newLoadedSimulation with the average part of all slots that other
// schedulers take.
func newLoadedSimulationWithShare(workers int, share float64) *simulation {
	config := testConfig()
	config.Schedulers = 15
	config.SchedulerIndex = 3
	config.WorkersReportStart = true
	config.ProgressInterval = 0
	config.Operations = config.Operations[:1]
	config.Operations[0].LatencyObjective = 4 * time.Second
	config.Operations[0].Stretch = 3
	s := newSimulation(1, workers, config)
	s.faults = 0
	s.arrivalRate = 48
	s.meanHint = 5900.0 / 48 * float64(workers) / 3800
	s.otherLoad = share
	for _, worker := range s.workers {
		worker.slots = 8 // of twenty-four; the part that other schedulers take varies
		worker.pace = 1
	}
	s.start()
	// Before measuring, extra arrivals bring the invocations in flight to the level that a long run
	// would reach, and the first samples come in.
	filling := time.Duration(0)
	if extraRate := 5900 * float64(workers) / 3800 / 20; extraRate > s.arrivalRate {
		s.repeat(seconds(1/extraRate), func() {
			if s.now < 20*time.Second {
				s.newArrival()
			}
		})
		filling = 20 * time.Second
	}
	s.run(filling + 10*time.Second)
	return s
}

// measurement holds the costs of a simulation over a span. The times and the heap are those of the
// dispatcher alone; the allocations include the simulation around it.
type measurement struct {
	handleTime    time.Duration // in all calls of Handle
	longestHandle time.Duration
	forwards      int
	handles       int // calls of Handle
	longHandles   int // calls of Handle that took over 2 ms
	allocations   uint64
	heap          uint64 // bytes
}

// measure runs the simulation for a span and measures it. It drops the dispatcher, so the simulation
// cannot be continued afterwards.
func (s *simulation) measure(span time.Duration) (m measurement) {
	s.onAction = func(_ time.Duration, a Action) {
		if _, isForward := a.(Forward); isForward {
			m.forwards++
		}
	}
	var before, after runtime.MemStats
	s.aroundHandle = func(do func()) {
		startedAt := time.Now()
		do()
		elapsed := time.Since(startedAt)
		m.handles++
		m.handleTime += elapsed
		m.longestHandle = max(m.longestHandle, elapsed)
		if elapsed > 2*ms {
			m.longHandles++
		}
	}
	runtime.ReadMemStats(&before)
	s.run(s.now + span)
	runtime.ReadMemStats(&after)
	m.allocations = after.Mallocs - before.Mallocs
	// The dispatcher's heap is the memory that is freed when only it is dropped.
	runtime.GC()
	runtime.ReadMemStats(&before)
	s.dispatcher = nil
	runtime.GC()
	runtime.ReadMemStats(&after)
	m.heap = before.HeapAlloc - after.HeapAlloc
	return m
}

// reportMeasurement measures 100 s of a simulation and reports the results.
func reportMeasurement(b *testing.B, s *simulation) {
	const span = 100 // seconds
	m := s.measure(span * time.Second)
	inFlight := 0
	for _, c := range s.clients {
		for _, attempt := range c.attempts {
			if attempt.inFlight {
				inFlight++
			}
		}
	}
	b.ReportMetric(float64(inFlight), "in-hand")
	b.ReportMetric(float64(m.handleTime.Microseconds())/float64(m.forwards), "us/start")
	b.ReportMetric(m.handleTime.Seconds()*100/span, "%core")
	b.ReportMetric(float64(m.longestHandle.Microseconds())/1000, "worst-ms")
	b.ReportMetric(float64(m.longHandles), "turns>2ms")
	b.ReportMetric(float64(m.allocations)/span, "allocs/s")
	b.ReportMetric(float64(m.heap)/1e6, "heap-MB")
	b.ReportMetric(float64(m.handles)/span, "turns/s")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkStart measures the cost of a forward as the number of workers grows: go test ./dispatch
// -run - -bench Start -benchtime 1x. The allocations include those of the simulation around the
// dispatcher, which are the same at each size.
func BenchmarkStart(b *testing.B) {
	for _, workers := range []int{60, 240, 950, 3800} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) { reportMeasurement(b, newLoadedSimulation(workers)) })
	}
}

// BenchmarkFull measures the same as BenchmarkStart while few workers have capacity, so that work is
// queued repeatedly.
func BenchmarkFull(b *testing.B) {
	for _, workers := range []int{60, 240, 950, 3800} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) { reportMeasurement(b, newLoadedSimulationWithShare(workers, 0.9)) })
	}
}

// BenchmarkStorm measures 3,800 workers under each of these loads, and under all at once: 20
// replacements of workers a second, a full update each second, 250 workers that restart, frozen
// load reports.
func BenchmarkStorm(b *testing.B) {
	replacements := func(s *simulation) {
		s.repeat(50*ms, func() {
			replaced := s.workers[s.rng.Intn(len(s.workers))]
			for replaced.State == Gone {
				replaced = s.workers[s.rng.Intn(len(s.workers))]
			}
			replaced.State = Gone
			added := s.addWorker()
			added.slots = 8
			added.pace = 1
			added.StartKnown = true
			added.StartedAt = s.now
			s.handle(EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{replaced.Endpoint, added.Endpoint}})
		})
	}
	fullUpdates := func(s *simulation) { s.repeat(time.Second, func() { s.handle(s.fullUpdate()) }) }
	restarts := func(s *simulation) {
		s.after(time.Second, func() {
			var delta []Endpoint
			for _, worker := range s.workers[:250] {
				worker.StartKnown = true
				worker.StartedAt = s.now
				worker.Incarnation = s.rng.Uint64()
				worker.inFlight = 0
				delta = append(delta, worker.Endpoint)
			}
			s.handle(EndpointUpdate{Kind: DeltaUpdate, Endpoints: delta})
		})
	}
	freezeReports := func(s *simulation) {
		for _, worker := range s.workers {
			worker.reportsFrozen = true
		}
	}
	type load func(*simulation)
	cases := []struct {
		name  string
		loads []load
	}{
		{name: "replaced", loads: []load{replacements}},
		{name: "full", loads: []load{fullUpdates}},
		{name: "restarted", loads: []load{restarts}},
		{name: "frozen", loads: []load{freezeReports}},
		{name: "all", loads: []load{replacements, fullUpdates, restarts, freezeReports}},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			s := newLoadedSimulation(3800)
			for _, begin := range c.loads {
				begin(s)
			}
			reportMeasurement(b, s)
		})
	}
}
