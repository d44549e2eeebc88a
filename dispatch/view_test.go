package dispatch

import (
	"testing"
	"time"
)

// A card that is brought up to the last round when it is read is the one that its worker would show then, whatever has
// come in between; and what nextDue passes over would have had no result.
func TestCardsAreCurrent(t *testing.T) {
	for seed := range int64(6) {
		dep := varied(seed)
		w := newWorld(seed, 30, dep)
		w.rate = 20
		w.handled = func(_ int, do func()) {
			do()
			k := &w.d.scheduler
			for at, s := range k.views {
				if s == nil || k.epoch.number == 0 || !s.tracked || s.epoch >= k.epoch.number {
					continue
				}
				if k.now >= s.dueAt && s.dueAt < k.epoch.at {
					t.Fatalf("seed %d, %v: something was due at %v and was not looked at", seed, w.now, s.dueAt)
				}
				actor := w.d.records[at].worker
				was, all := actor.workerView, actor.fleet
				actor.fleet = k.epoch.fleetStats
				actor.estimate(k.epoch.at)
				want := actor.workerView
				actor.workerView, actor.fleet = was, all
				want.estimatePace(k.epoch.kindPace, k.epoch.fleetStats)
				if got := *k.currentView(at); got != want {
					t.Fatalf("seed %d, %v: card %+v, want %+v", seed, w.now, got, want)
				}
			}
		}
		w.begin()
		w.play(5 * time.Second)
	}
}
