package soak

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// checkDrain: no attempt goes to a worker that drains or is gone once the scheduler has been
// notified, or counts as notified.
func (o *observations) checkDrain(h *harness, a *attempt) {
	uid := a.worker.uid
	s := a.request.scheduler
	changes := o.stateChanges[uid]
	for n, c := range changes {
		if c.state == stateReady || c.at.After(a.receivedAt) {
			continue
		}
		back := slices.IndexFunc(changes[n:], func(later stateChange) bool { return later.state == stateReady })
		if back >= 0 && !a.receivedAt.Before(changes[n+back].at) {
			continue // it was ready again
		}
		notified := o.notifiedOf(h, s.number, uid, c)
		late := a.receivedAt.Sub(notified) - drainGrace - socketSlack - observationSlack - s.frozenFor(notified, a.receivedAt)
		if late > 0 {
			after := a.receivedAt.Sub(notified)
			o.requestViolation("C1 drain", a.request, "sent to %s %v after the notification of %s", uid, toMillis(after), c.state)
		}
	}
}

// notifiedOf is when a scheduler was notified of a state change, or counts as notified where that
// is earlier.
func (o *observations) notifiedOf(h *harness, scheduler int, uid string, c stateChange) time.Time {
	notified := h.endpoints.countsAsNotified(c.at)
	for _, u := range o.updatesSent[scheduler][uid] {
		if u.state != stateReady && u.at.After(c.at) && u.at.Before(notified) {
			notified = u.at
		}
	}
	return notified
}

// windowLoad is what a worker got in the overload window that ends at a moment, in requests of mean
// work.
type windowLoad struct {
	at    time.Time
	load  float64
	known float64 // the part from schedulers that knew of its start
	bound float64 // what it bears
}

func (w windowLoad) excess() float64 { return w.load - w.bound }

// isKnown says whether most of the load came from schedulers that knew of the worker's start.
func (w windowLoad) isKnown() bool { return w.known > 2*w.load/3 }

// checkSlowStart: a worker that has just started gets no more in any window than it bears, where
// most of it is from schedulers that knew.
func (o *observations) checkSlowStart(w *worker) {
	attempts := o.attemptsAt(w)
	for _, start := range o.starts[w.uid] {
		var worst windowLoad
		for _, last := range attempts {
			if last.receivedAt.Before(start) || last.receivedAt.After(start.Add(slowStartDuration)) {
				continue
			}
			window := o.loadBefore(last.receivedAt, start, attempts)
			if window.isKnown() && window.excess() > worst.excess() {
				worst = window
			}
		}
		if worst.excess() > 0 && worst.bound > 0 {
			o.violations = append(o.violations, Violation{
				Rule:    "D1 cold",
				Request: w.uid,
				Detail: fmt.Sprintf("got %.1f requests of mean work in a span, %v after its start, and bears %.1f",
					worst.load, toMillis(worst.at.Sub(start)), worst.bound),
			})
		}
	}
}

func (o *observations) attemptsAt(w *worker) (attempts []*attempt) {
	for _, q := range o.order {
		for _, a := range q.attempts {
			if a.worker == w {
				attempts = append(attempts, a)
			}
		}
	}
	return attempts
}

// loadBefore is the load of the window that ends at a moment, of a worker's attempts since its start.
func (o *observations) loadBefore(end, start time.Time, attempts []*attempt) windowLoad {
	window := windowLoad{at: end, bound: slowStartBound(end.Sub(start))}
	for _, a := range attempts {
		if a.receivedAt.Before(start) || a.receivedAt.After(end) || a.receivedAt.Before(end.Add(-overloadWindow)) {
			continue
		}
		load := float64(a.request.work) / float64(meanWork)
		window.load += load
		if o.knewOfStart(a, start) {
			window.known += load
		}
	}
	return window
}

const fewRequests = 30 // below these a bound gets more slack, in requests of mean work

// slowStartBound is what a worker of an age bears in an overload window, in requests of mean work.
func slowStartBound(age time.Duration) float64 {
	requests := overloadFactor * overloadWindow.Seconds() * slots * capacityAt(age) / meanWork.Seconds()
	if requests < fewRequests {
		return requests + 3*math.Sqrt(requests) + 3
	}
	return requests + 2*math.Sqrt(requests) + 2
}

// knewOfStart says whether an attempt's scheduler had been sent the start of its worker by then.
func (o *observations) knewOfStart(a *attempt, start time.Time) bool {
	for _, u := range o.updatesSent[a.request.scheduler.number][a.worker.uid] {
		if u.bootMS != 0 && u.at.After(start) && u.at.Before(a.receivedAt) {
			return true
		}
	}
	return false
}
