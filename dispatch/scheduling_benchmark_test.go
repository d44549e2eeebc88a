package dispatch

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// cost plays one of fifteen schedulers of a fleet: 48 starts a second whatever its size, running times that grow with it
// (so that each worker always has some 23 slots taken by all), reports of what is free, no trouble.
func newLoadedSimulation(workers int) *simulation { return newLoadedSimulationWithShare(workers, 0.4) }

// costOf has others take a part of all slots on average.
func newLoadedSimulationWithShare(workers int, share float64) *simulation {
	config := testConfig()
	config.Schedulers, config.Index, config.NotifiesStart, config.ProgressInterval = 15, 3, true, 0
	config.Operations = config.Operations[:1]
	config.Operations[0].LatencyObjective, config.Operations[0].Stretch = 4*time.Second, 3
	s := newSimulation(1, workers, config)
	s.faults, s.arrivalRate, s.meanHint, s.otherLoad = 0, 48, 5900.0/48*float64(workers)/3800, share
	for _, a := range s.workers {
		a.slots, a.pace = 8, 1 // of twenty-four; the others' part comes and goes
	}
	s.start()
	// In hand from the start what a long time of such arrivals would leave, then the first meetings are not counted.
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

// measure gives the processor time, allocations and worst turn of the module alone over a span.
type measurement struct {
	handleTime, longestHandle time.Duration
	forwards                  int
	handles                   int
	longHandles               int // turns over 2 ms
	allocations               uint64
	heap                      uint64
}

func (s *simulation) measure(span time.Duration) (m measurement) {
	s.onAction = func(_ time.Duration, a Action) {
		if _, isForward := a.(Forward); isForward {
			m.forwards++
		}
	}
	var before, after runtime.MemStats
	s.aroundHandle = func(_ int, do func()) {
		startedAt := time.Now()
		do()
		elapsed := time.Since(startedAt)
		m.handles++
		if m.handleTime += elapsed; elapsed > m.longestHandle {
			m.longestHandle = elapsed
		}
		if elapsed > 2*ms {
			m.longHandles++
		}
	}
	runtime.ReadMemStats(&before)
	s.run(s.now + span)
	runtime.ReadMemStats(&after)
	m.allocations = after.Mallocs - before.Mallocs
	// The module's heap is what is freed when only it is let go.
	runtime.GC()
	runtime.ReadMemStats(&before)
	s.dispatcher = nil
	runtime.GC()
	runtime.ReadMemStats(&after)
	m.heap = before.HeapAlloc - after.HeapAlloc
	return m
}

func reportMeasurement(b *testing.B, s *simulation) {
	const span = 100
	m, inFlight := s.measure(span*time.Second), 0
	for _, c := range s.clients {
		for _, t := range c.attempts {
			if t.inFlight {
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

// BenchmarkStart tells what a start costs as the fleet grows: go test ./dispatch -run - -bench Start -benchtime 1x. The
// allocations are those of the module and of the world around it, which has the same at each size.
func BenchmarkStart(b *testing.B) {
	for _, workers := range []int{60, 240, 950, 3800} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) { reportMeasurement(b, newLoadedSimulation(workers)) })
	}
}

// BenchmarkFull is the same where work is held again and again, as there is room at few workers.
func BenchmarkFull(b *testing.B) {
	for _, workers := range []int{60, 240, 950, 3800} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) { reportMeasurement(b, newLoadedSimulationWithShare(workers, 0.9)) })
	}
}

// BenchmarkStorm has 3,800 workers with, at once or each alone: 20 replacements a second, a whole list each second, 250
// that return cold, reports that are frozen.
func BenchmarkStorm(b *testing.B) {
	replacements := func(s *simulation) {
		s.repeat(50*ms, func() {
			replaced := s.workers[s.rng.Intn(len(s.workers))]
			for replaced.State == Gone {
				replaced = s.workers[s.rng.Intn(len(s.workers))]
			}
			replaced.State = Gone
			a := s.addWorker()
			a.slots, a.pace, a.StartKnown, a.StartedAt = 8, 1, true, s.now
			s.handle(EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{replaced.Endpoint, a.Endpoint}})
		})
	}
	fullUpdates := func(s *simulation) { s.repeat(time.Second, func() { s.handle(s.fullUpdate()) }) }
	restarts := func(s *simulation) {
		s.after(time.Second, func() {
			var delta []Endpoint
			for _, a := range s.workers[:250] {
				a.StartKnown, a.StartedAt, a.Incarnation, a.inFlight = true, s.now, s.rng.Uint64(), 0
				delta = append(delta, a.Endpoint)
			}
			s.handle(EndpointUpdate{Kind: DeltaUpdate, Endpoints: delta})
		})
	}
	freezeReports := func(s *simulation) {
		for _, a := range s.workers {
			a.reportsFrozen = true
		}
	}
	for _, c := range []struct {
		name string
		do   []func(*simulation)
	}{{"replaced", []func(*simulation){replacements}}, {"whole", []func(*simulation){fullUpdates}}, {"cold", []func(*simulation){restarts}},
		{"frozen", []func(*simulation){freezeReports}}, {"all", []func(*simulation){replacements, fullUpdates, restarts, freezeReports}}} {
		b.Run(c.name, func(b *testing.B) {
			s := newLoadedSimulation(3800)
			for _, do := range c.do {
				do(s)
			}
			reportMeasurement(b, s)
		})
	}
}
