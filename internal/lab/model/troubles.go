package model

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"stoatweir/internal/lab/scenario"
)

// spell is a trouble with its victims.
type spell struct {
	scenario.Trouble
	machines   []int
	schedulers []int
}

// edge is a moment at which a trouble changes something.
type edge struct {
	at    time.Duration
	spell int
	do    func(now time.Duration)
}

// plan draws the victims of all troubles beforehand, each from its own chance: no decision can move them.
func (w *World) plan() {
	for i, t := range w.s.Troubles {
		rng := chance(w.s.Seed, "trouble "+t.Kind+string(rune('0'+i%10))+string(rune('a'+i/10)))
		sp := spell{Trouble: t}
		share := t.Share
		if t.Kind == scenario.Failing {
			share = t.Factor
		} else if t.Kind == scenario.ZoneLost {
			share = 1
		}
		var there []int
		for _, m := range w.Fleet.Machines {
			if t.Zone == "" || w.s.Zones[m.Zone] == t.Zone {
				there = append(there, m.index)
			}
		}
		sp.machines = some(rng, there, share)
		var all []int
		for n := range w.s.Schedulers.Count {
			if t.Zone == "" || w.s.Zones[w.s.Zone(n)] == t.Zone {
				all = append(all, n)
			}
		}
		sp.schedulers = some(rng, all, t.Share)
		w.spells = append(w.spells, sp)
		w.edgesOf(i)
	}
	slices.SortStableFunc(w.edges, func(a, b edge) int { return cmp.Compare(a.at, b.at) })
}

// some draws a share, at least one where there is any.
func some(rng *rand.Rand, of []int, share float64) []int {
	rng.Shuffle(len(of), func(i, j int) { of[i], of[j] = of[j], of[i] })
	n := int(math.Ceil(share*float64(len(of)) - 1e-9))
	return of[:min(max(n, 0), len(of))]
}

func (w *World) when(spell int, at time.Duration, do func(now time.Duration)) {
	w.edges = append(w.edges, edge{at, spell, do})
}

func (w *World) edge(e edge) { e.do(e.at) }

// edgesOf says what a trouble changes, when.
func (w *World) edgesOf(i int) {
	sp := &w.spells[i]
	t, f := sp.Trouble, w.Fleet
	from, to := t.At.D(), t.At.D()+t.For.D()
	// while is for what holds of each machine for a time: two troubles of one kind on one machine may overlap, one inside
	// the other, and the first end must not lift both.
	while := func(on, off func(now time.Duration, m *Machine)) {
		w.when(i, from, func(now time.Duration) { f.each(now, sp.machines, on) })
		w.when(i, to, func(now time.Duration) { f.each(now, sp.machines, off) })
	}
	shares := func(of *[]float64) {
		w.when(i, from, func(time.Duration) { *of = append(*of, t.Share) })
		w.when(i, to, func(time.Duration) {
			at := slices.Index(*of, t.Share)
			*of = slices.Delete(*of, at, at+1)
		})
	}
	switch t.Kind {
	case scenario.Silent, scenario.ZoneLost:
		while(func(now time.Duration, m *Machine) {
			if m.Standing == Gone {
				return
			}
			if m.silent++; m.silent == 1 {
				f.die(now, m)
				f.changed(now, m.index, true)
			}
		}, func(now time.Duration, m *Machine) {
			if m.silent == 0 {
				return
			}
			if m.silent--; m.silent == 0 && m.Standing != Gone {
				f.start(now, m)
			}
		})
	case scenario.Hung:
		while(func(now time.Duration, m *Machine) { m.hung++ }, func(now time.Duration, m *Machine) { m.hung-- })
	case scenario.Slow:
		while(func(now time.Duration, m *Machine) { m.slow *= t.Factor }, func(now time.Duration, m *Machine) { m.slow /= t.Factor })
	case scenario.Failing:
		while(func(now time.Duration, m *Machine) { m.failing += t.Share }, func(now time.Duration, m *Machine) {
			if m.failing -= t.Share; m.failing < 1e-9 {
				m.failing = 0
			}
		})
	case scenario.Restart:
		w.when(i, from, func(now time.Duration) {
			f.each(now, sp.machines, func(now time.Duration, m *Machine) {
				if m.Standing != Gone && m.silent == 0 {
					f.die(now, m)
					f.changed(now, m.index, false)
				}
			})
		})
		w.when(i, from+t.Delay.D(), func(now time.Duration) {
			f.each(now, sp.machines, func(now time.Duration, m *Machine) {
				if m.Standing != Gone && m.silent == 0 && m.down {
					f.start(now, m)
				}
			})
		})
	case scenario.Replace:
		w.replace(i)
	case scenario.ReportsLate:
		w.when(i, from, func(time.Duration) { f.late += t.Delay.D() })
		w.when(i, to, func(time.Duration) { f.late -= t.Delay.D() })
	case scenario.ReportsAbsent:
		w.when(i, from, func(time.Duration) { f.absent++ })
		w.when(i, to, func(time.Duration) { f.absent-- })
	case scenario.ListStale:
		w.when(i, from, func(time.Duration) { w.List.late += t.Delay.D() })
		w.when(i, to, func(time.Duration) { w.List.late -= t.Delay.D() })
	case scenario.ListOverbooked:
		w.when(i, from, func(time.Duration) { w.List.slower *= t.Factor })
		w.when(i, to, func(time.Duration) { w.List.slower /= t.Factor })
	case scenario.ListDead:
		w.when(i, from, func(now time.Duration) {
			if w.List.dead++; w.List.dead == 1 {
				w.List.Died(now)
			}
		})
		w.when(i, to, func(time.Duration) { w.List.dead-- })
	case scenario.Refused:
		shares(&f.refusals)
	case scenario.Reset:
		shares(&f.broken)
	case scenario.AnswersLost:
		shares(&f.lost)
	case scenario.Killed:
		for _, n := range sp.schedulers {
			w.when(i, from, func(now time.Duration) { w.Judge.Killed(now, n); w.Kill(now, n) })
			w.when(i, from+w.s.Schedulers.Restarts.D(), func(now time.Duration) { w.Revive(now, n) })
		}
	case scenario.Storm:
		w.when(i, from, func(time.Duration) { w.Clients.storm += int(t.Factor) })
		w.when(i, to, func(time.Duration) { w.Clients.storm -= int(t.Factor) })
	}
}

func (f *Fleet) each(now time.Duration, machines []int, do func(now time.Duration, m *Machine)) {
	for _, n := range machines {
		m := f.Machines[n]
		f.settle(m, now)
		do(now, m)
		f.turn(m, now)
	}
}

// replace plans the batches: each drains while its successors start, and is gone after the trouble's delay.
func (w *World) replace(i int) {
	sp := &w.spells[i]
	t, f := sp.Trouble, w.Fleet
	batch := max(1, int(math.Ceil(t.Batch*float64(len(sp.machines)))))
	batches := (len(sp.machines) + batch - 1) / batch
	for n := range batches {
		these := sp.machines[n*batch : min(len(sp.machines), (n+1)*batch)]
		at := t.At.D() + time.Duration(float64(t.For)*float64(n)/float64(batches))
		w.when(i, at, func(now time.Duration) {
			for _, old := range these {
				m := f.Machines[old]
				m.Standing = Draining
				f.changed(now, old, false)
				next := f.add(m.Kind, m.Zone, now)
				f.changed(now, next.index, false)
			}
		})
		w.when(i, at+t.Delay.D(), func(now time.Duration) {
			f.each(now, these, func(now time.Duration, m *Machine) {
				f.die(now, m)
				m.Standing = Gone
				f.changed(now, m.index, false)
			})
		})
	}
}
