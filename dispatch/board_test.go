package dispatch

import (
	"testing"
	"time"
)

// What a scheduler does beside its invocations does not grow with the workers that have its work: 950 with 1,800 invocations
// in hand read no more notes than 60 with 130.
func TestNotesDoNotGrowWithFleet(t *testing.T) {
	reads := func(workers int) (n int) {
		w := cost(workers)
		for at := range w.d.list {
			in := &w.d.meet(at).inbox
			read := in.read
			in.read = func(note any) { n++; read(note) }
		}
		w.play(w.now + 10*time.Second)
		return n
	}
	if few, many := reads(60), reads(950); many > few*5/4 {
		t.Errorf("workers read %d notes at 60, %d at 950", few, many)
	}
}

// A card that is brought up to the last round when it is read is the one that its worker would show then, whatever has
// come in between; and what nextDue passes over would have had no result.
func TestCardsAreCurrent(t *testing.T) {
	for seed := range int64(6) {
		dep := varied(seed)
		w := newWorld(seed, 30, dep)
		w.rate = 20
		w.handled = func(_ int, do func()) {
			do()
			k := &w.d.desk
			for at, s := range k.board {
				if s == nil || k.round.beat == 0 || !s.watched || s.beat >= k.round.beat {
					continue
				}
				if k.now >= s.due && s.due < k.round.at {
					t.Fatalf("seed %d, %v: something was due at %v and was not looked at", seed, w.now, s.due)
				}
				actor := w.d.list[at].worker
				was, all := actor.card, actor.all
				actor.all = k.round.view
				actor.estimate(k.round.at)
				want := actor.card
				actor.card, actor.all = was, all
				want.showPace(k.round.paced, k.round.view)
				if got := *k.current(at); got != want {
					t.Fatalf("seed %d, %v: card %+v, want %+v", seed, w.now, got, want)
				}
			}
		}
		w.begin()
		w.play(5 * time.Second)
	}
}
