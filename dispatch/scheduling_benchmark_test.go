package dispatch

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// cost plays one of fifteen schedulers of a fleet: 48 starts a second whatever its size, running times that grow with it
// (so that each worker always has some 23 slots taken by all), reports of what is free, no trouble.
func cost(workers int) *world { return costOf(workers, 0.4) }

// costOf has others take a part of all slots on average.
func costOf(workers int, share float64) *world {
	dep := shop()
	dep.Schedulers, dep.Index, dep.NotifiesStart, dep.ProgressInterval = 15, 3, true, 0
	dep.Operations = dep.Operations[:1]
	dep.Operations[0].LatencyObjective, dep.Operations[0].Stretch = 4*time.Second, 3
	w := newWorld(1, workers, dep)
	w.trouble, w.rate, w.hint, w.share = 0, 48, 5900.0/48*float64(workers)/3800, share
	for _, a := range w.workers {
		a.slots, a.speed = 8, 1 // of twenty-four; the others' part comes and goes
	}
	w.begin()
	// In hand from the start what a long time of such arrivals would leave, then the first meetings are not counted.
	filling := time.Duration(0)
	if more := 5900 * float64(workers) / 3800 / 20; more > w.rate {
		w.every(seconds(1/more), func() {
			if w.now < 20*time.Second {
				w.arrive()
			}
		})
		filling = 20 * time.Second
	}
	w.play(filling + 10*time.Second)
	return w
}

// measure gives the processor time, allocations and worst turn of the module alone over a span.
type measured struct {
	spent, worst time.Duration
	starts       int
	turns        int
	over         int // turns over 2 ms
	allocations  uint64
	heap         uint64
}

func (w *world) measure(span time.Duration) (m measured) {
	w.seen = func(_ time.Duration, a Action) {
		if _, is := a.(Forward); is {
			m.starts++
		}
	}
	var before, after runtime.MemStats
	w.handled = func(_ int, do func()) {
		began := time.Now()
		do()
		took := time.Since(began)
		m.turns++
		if m.spent += took; took > m.worst {
			m.worst = took
		}
		if took > 2*ms {
			m.over++
		}
	}
	runtime.ReadMemStats(&before)
	w.play(w.now + span)
	runtime.ReadMemStats(&after)
	m.allocations = after.Mallocs - before.Mallocs
	// The module's heap is what is freed when only it is let go.
	runtime.GC()
	runtime.ReadMemStats(&before)
	w.d = nil
	runtime.GC()
	runtime.ReadMemStats(&after)
	m.heap = before.HeapAlloc - after.HeapAlloc
	return m
}

func report(b *testing.B, w *world) {
	const span = 100
	m, out := w.measure(span*time.Second), 0
	for _, c := range w.invs {
		for _, t := range c.tries {
			if t.out {
				out++
			}
		}
	}
	b.ReportMetric(float64(out), "in-hand")
	b.ReportMetric(float64(m.spent.Microseconds())/float64(m.starts), "us/start")
	b.ReportMetric(m.spent.Seconds()*100/span, "%core")
	b.ReportMetric(float64(m.worst.Microseconds())/1000, "worst-ms")
	b.ReportMetric(float64(m.over), "turns>2ms")
	b.ReportMetric(float64(m.allocations)/span, "allocs/s")
	b.ReportMetric(float64(m.heap)/1e6, "heap-MB")
	b.ReportMetric(float64(m.turns)/span, "turns/s")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkStart tells what a start costs as the fleet grows: go test ./dispatch -run - -bench Start -benchtime 1x. The
// allocations are those of the module and of the world around it, which has the same at each size.
func BenchmarkStart(b *testing.B) {
	for _, workers := range []int{60, 240, 950, 3800} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) { report(b, cost(workers)) })
	}
}

// BenchmarkFull is the same where work is held again and again, as there is room at few workers.
func BenchmarkFull(b *testing.B) {
	for _, workers := range []int{60, 240, 950, 3800} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) { report(b, costOf(workers, 0.9)) })
	}
}

// BenchmarkStorm has 3,800 workers with, at once or each alone: 20 replacements a second, a whole list each second, 250
// that return cold, reports that are frozen.
func BenchmarkStorm(b *testing.B) {
	replace := func(w *world) {
		w.every(50*ms, func() {
			old := w.workers[w.rng.Intn(len(w.workers))]
			for old.State == Gone {
				old = w.workers[w.rng.Intn(len(w.workers))]
			}
			old.State = Gone
			a := w.join()
			a.slots, a.speed, a.StartKnown, a.StartedAt = 8, 1, true, w.now
			w.handle(EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{old.Endpoint, a.Endpoint}})
		})
	}
	whole := func(w *world) { w.every(time.Second, func() { w.handle(w.whole()) }) }
	cold := func(w *world) {
		w.then(time.Second, func() {
			var delta []Endpoint
			for _, a := range w.workers[:250] {
				a.StartKnown, a.StartedAt, a.Incarnation, a.inHand = true, w.now, w.rng.Uint64(), 0
				delta = append(delta, a.Endpoint)
			}
			w.handle(EndpointUpdate{Kind: DeltaUpdate, Endpoints: delta})
		})
	}
	frozen := func(w *world) {
		for _, a := range w.workers {
			a.frozen = true
		}
	}
	for _, c := range []struct {
		name string
		do   []func(*world)
	}{{"replaced", []func(*world){replace}}, {"whole", []func(*world){whole}}, {"cold", []func(*world){cold}},
		{"frozen", []func(*world){frozen}}, {"all", []func(*world){replace, whole, cold, frozen}}} {
		b.Run(c.name, func(b *testing.B) {
			w := cost(3800)
			for _, do := range c.do {
				do(w)
			}
			report(b, w)
		})
	}
}
