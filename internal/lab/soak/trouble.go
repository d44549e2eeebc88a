package soak

import (
	"fmt"
	"math/rand"
	"slices"
	"syscall"
	"time"
)

// trouble is one kind of event. play carries it out and undoes it, and may take its time.
type trouble struct {
	name string
	play func(p *play, rng *rand.Rand) (on string)
}

// troubles are all kinds, in one order for any seed.
var troubles = []trouble{
	{"stop", func(p *play, rng *rand.Rand) string {
		return p.someSchedulers(rng, 0.25, func(s *scheduler, _ *rand.Rand) {
			s.stop(p)
			time.Sleep(50 * time.Millisecond)
			s.begin(p)
		})
	}},
	{"kill", func(p *play, rng *rand.Rand) string {
		return p.someSchedulers(rng, 0.3, func(s *scheduler, _ *rand.Rand) { s.kill(); s.begin(p) })
	}},
	{"reload", func(p *play, rng *rand.Rand) string {
		return p.someSchedulers(rng, 0.6, func(s *scheduler, rng *rand.Rand) {
			for range 1 + rng.Intn(3) {
				s.variant++
				if s.configure(p, p.list.doors[s.number].proxy.addr()) == nil {
					s.signal(syscall.SIGHUP)
				}
				time.Sleep(time.Duration(rng.Intn(60)) * time.Millisecond)
			}
		})
	}},
	{"move", func(p *play, rng *rand.Rand) string {
		return p.someSchedulers(rng, 0.5, func(s *scheduler, rng *rand.Rand) {
			d := p.list.doors[s.number]
			if s.configure(p, d.listener.Addr().String()) == nil {
				s.signal(syscall.SIGHUP)
			}
			time.Sleep(time.Duration(rng.Intn(1200)) * time.Millisecond)
			if s.configure(p, d.proxy.addr()) == nil {
				s.signal(syscall.SIGHUP)
			}
		})
	}},
	{"replace", func(p *play, rng *rand.Rand) string {
		return p.someSchedulers(rng, 0.2, func(s *scheduler, _ *rand.Rand) { s.replace(p) })
	}},
	{"pause", func(p *play, rng *rand.Rand) string {
		return p.someSchedulers(rng, 0.5, func(s *scheduler, rng *rand.Rand) {
			for range 4 {
				s.freeze(time.Duration(rng.Intn(int(heldUp))))
				time.Sleep(time.Duration(rng.Intn(150)) * time.Millisecond)
			}
		})
	}},
	{"freeze", func(p *play, rng *rand.Rand) string {
		return p.someSchedulers(rng, 0.15, func(s *scheduler, rng *rand.Rand) {
			s.freeze(time.Second + time.Duration(rng.Intn(1500))*time.Millisecond)
		})
	}},
	{"drain", func(p *play, rng *rand.Rand) string {
		return p.someWorkers(rng, 0.25, func(w *worker, rng *rand.Rand) {
			p.list.put(w.entry(draining, w.boot()))
			p.list.publish()
			time.Sleep(time.Duration(800+rng.Intn(1500)) * time.Millisecond)
			p.list.put(w.entry(gone, w.boot()))
			p.list.publish()
			time.Sleep(300 * time.Millisecond)
			w.restart()
		})
	}},
	{"restart", func(p *play, rng *rand.Rand) string {
		return p.someWorkers(rng, 0.3, func(w *worker, _ *rand.Rand) { w.restart() })
	}},
	{"hang", func(p *play, rng *rand.Rand) string {
		return p.someWorkers(rng, 0.25, func(w *worker, rng *rand.Rand) {
			w.set(func() { w.hangs = true })
			time.Sleep(time.Duration(500+rng.Intn(1500)) * time.Millisecond)
			w.set(func() { w.hangs = false })
		})
	}},
	{"vanish", func(p *play, rng *rand.Rand) string {
		return p.someWorkers(rng, 0.2, func(w *worker, rng *rand.Rand) {
			w.proxy.set(freeze)
			time.Sleep(time.Duration(300+rng.Intn(1500)) * time.Millisecond)
			w.proxy.set(pass)
		})
	}},
	{"reset", func(p *play, rng *rand.Rand) string {
		return p.someWorkers(rng, 0.6, func(w *worker, rng *rand.Rand) {
			for range 3 {
				w.proxy.reset()
				time.Sleep(time.Duration(rng.Intn(200)) * time.Millisecond)
			}
		})
	}},
	{"refuse", func(p *play, rng *rand.Rand) string {
		return p.someWorkers(rng, 0.3, func(w *worker, rng *rand.Rand) {
			w.proxy.set(refuse)
			w.proxy.reset()
			time.Sleep(time.Duration(200+rng.Intn(600)) * time.Millisecond)
			w.proxy.set(pass)
		})
	}},
	{"late", func(p *play, rng *rand.Rand) string {
		return p.someWorkers(rng, 0.5, func(w *worker, _ *rand.Rand) {
			w.proxy.set(late)
			w.proxy.reset()
			time.Sleep(time.Second)
			w.proxy.set(pass)
		})
	}},
	{"odd", func(p *play, rng *rand.Rand) string {
		return p.someWorkers(rng, 0.6, func(w *worker, _ *rand.Rand) {
			w.set(func() { w.odd = 0.5 })
			time.Sleep(time.Second)
			w.set(func() { w.odd = 0.06 })
		})
	}},
	{"list down", func(p *play, rng *rand.Rand) string {
		p.list.outage(func() { p.list.setDown(true) }, func() { p.list.setDown(false) }, time.Duration(500+rng.Intn(2500))*time.Millisecond)
		return "all"
	}},
	{"list silent", func(p *play, rng *rand.Rand) string {
		set := func(m mode) func() {
			return func() {
				for _, d := range p.list.doors {
					d.proxy.set(m)
				}
			}
		}
		p.list.outage(set(freeze), set(pass), time.Duration(500+rng.Intn(4000))*time.Millisecond)
		return "all"
	}},
	{"list slow", func(p *play, rng *rand.Rand) string {
		p.list.outage(func() { p.list.setSlow(time.Duration(200+rng.Intn(1500)) * time.Millisecond) }, func() { p.list.setSlow(0) }, 2*time.Second)
		return "all"
	}},
	{"watches reset", func(p *play, _ *rand.Rand) string {
		for _, d := range p.list.doors {
			d.proxy.reset()
		}
		return "all"
	}},
	{"leave", func(p *play, rng *rand.Rand) string {
		p.setLoad(func() { p.leaving = 0.6 })
		time.Sleep(time.Second)
		p.setLoad(func() { p.leaving = 0.05 })
		return "clients"
	}},
	{"burst", func(p *play, _ *rand.Rand) string {
		p.setLoad(func() { p.patience = 0.4 })
		time.Sleep(time.Second)
		p.setLoad(func() { p.patience = 1 })
		return "clients"
	}},
	{"bad clients", func(p *play, rng *rand.Rand) string {
		return p.someSchedulers(rng, 0.5, func(s *scheduler, rng *rand.Rand) {
			for range 8 {
				one := rand.New(rand.NewSource(rng.Int63()))
				p.troubles.Add(1)
				go func() { defer p.troubles.Done(); p.misbehave(s, one) }()
			}
		})
	}},
	{"clock", func(p *play, rng *rand.Rand) string {
		by := time.Duration(1+rng.Intn(3600)) * time.Second
		if rng.Intn(2) == 0 {
			by = -by
		}
		p.stepClock(by)
		return fmt.Sprint("all, by ", by)
	}},
	{"calls fail", func(p *play, rng *rand.Rand) string {
		return p.someSchedulers(rng, 0.4, func(s *scheduler, rng *rand.Rand) {
			p.setFaults(s, Faults{Connect: connectErrors[rng.Intn(len(connectErrors))], Accept: acceptErrors[rng.Intn(len(acceptErrors))], Interrupted: 0.3})
			time.Sleep(time.Duration(300+rng.Intn(900)) * time.Millisecond)
			p.setFaults(s, Faults{})
		})
	}},
}

// playTroubles begins crossings of two or three troubles each until the span is over.
func (p *play) playTroubles() {
	kinds := troubles
	if p.pushed() { // when a change counts as told behind a move is another rule, which the books don't know
		kinds = slices.DeleteFunc(slices.Clone(kinds), func(t trouble) bool { return t.name == "move" })
	}
	if len(p.Only) > 0 {
		kinds = slices.DeleteFunc(slices.Clone(kinds), func(t trouble) bool { return !slices.Contains(p.Only, t.name) })
	}
	for end := time.Now().Add(p.Span); time.Now().Before(end); {
		order := p.rng.Perm(len(kinds))
		for _, n := range order[:min(len(order), 2+p.rng.Intn(2))] {
			t, rng := kinds[n], rand.New(rand.NewSource(p.rng.Int63()))
			wait := time.Duration(p.rng.Int63n(int64(together)))
			p.troubles.Add(1)
			go func() {
				defer p.troubles.Done()
				time.Sleep(wait)
				at := p.now()
				on := t.play(p, rng)
				p.mu.Lock()
				p.played = append(p.played, Played{at.Round(time.Millisecond), t.name, on})
				p.mu.Unlock()
			}()
		}
		time.Sleep(between + time.Duration(p.rng.Int63n(int64(between))))
	}
}

func (p *play) setLoad(change func()) {
	p.mu.Lock()
	change()
	p.mu.Unlock()
}

// someSchedulers does something to a part of the schedulers at once. One that is being restarted already is left alone.
func (p *play) someSchedulers(rng *rand.Rand, part float64, do func(*scheduler, *rand.Rand)) string {
	on := ""
	var all []func()
	for _, n := range rng.Perm(len(p.schedulers))[:max(1, int(part*float64(len(p.schedulers))))] {
		s, one := p.schedulers[n], rand.New(rand.NewSource(rng.Int63()))
		if s.busy.CompareAndSwap(false, true) {
			on += fmt.Sprint(" n", n)
			all = append(all, func() { defer s.busy.Store(false); do(s, one) })
		}
	}
	concurrently(all)
	return on
}

func (p *play) someWorkers(rng *rand.Rand, part float64, do func(*worker, *rand.Rand)) string {
	on := ""
	var all []func()
	for _, n := range rng.Perm(len(p.workers))[:max(1, int(part*float64(len(p.workers))))] {
		w, one := p.workers[n], rand.New(rand.NewSource(rng.Int63()))
		if w.busy.CompareAndSwap(false, true) {
			on += " " + w.uid
			all = append(all, func() { defer w.busy.Store(false); do(w, one) })
		}
	}
	concurrently(all)
	return on
}
