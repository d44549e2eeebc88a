package dispatch

import (
	"testing"
	"time"
)

// A view that is brought up to the last refresh epoch when it is read equals the one that its
// worker would have published in that epoch, whatever has happened in between. A check that is
// skipped before dueAt would have had no effect.
func TestViewsAreCurrent(t *testing.T) {
	for seed := range int64(6) {
		config := randomConfig(seed)
		s := newSimulation(seed, 30, config)
		s.arrivalRate = 20
		s.aroundHandle = func(do func()) {
			do()
			scheduler := &s.dispatcher.scheduler
			for index, entry := range scheduler.views {
				if entry == nil || scheduler.epoch.number == 0 || !entry.tracked || entry.epoch >= scheduler.epoch.number {
					continue
				}
				if scheduler.now >= entry.dueAt && entry.dueAt < scheduler.epoch.at {
					t.Fatalf("seed %d, %v: a worker was due at %v and was not checked", seed, s.now, entry.dueAt)
				}
				worker := s.dispatcher.records[index].worker
				savedView := worker.workerView
				savedStats := worker.stats
				worker.stats = scheduler.epoch.workerStats
				worker.estimate(scheduler.epoch.at)
				want := worker.workerView
				worker.workerView = savedView
				worker.stats = savedStats
				want.estimatePace(scheduler.epoch.kindPace, scheduler.epoch.workerStats)
				if got := *scheduler.currentView(index); got != want {
					t.Fatalf("seed %d, %v: got view %+v, want %+v", seed, s.now, got, want)
				}
			}
		}
		s.start()
		s.run(5 * time.Second)
	}
}
