package soak

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// checkDrain checks that an attempt wasn't sent to a draining or removed worker later than drainGrace
// after the scheduler was notified of that, or counted as notified.
func (o *observations) checkDrain(h *harness, a *attempt) {
	uid := a.worker.uid
	s := a.request.scheduler
	changes := o.stateChanges[uid]
	for n, c := range changes {
		if c.state == stateReady || c.at.After(a.receivedAt) {
			continue
		}
		readyAgain := slices.IndexFunc(changes[n:], func(later stateChange) bool { return later.state == stateReady })
		if readyAgain >= 0 && !a.receivedAt.Before(changes[n+readyAgain].at) {
			continue // the worker was ready again
		}
		notifiedAt := o.notifiedAt(h, s.number, uid, c)
		late := a.receivedAt.Sub(notifiedAt) - drainGrace - socketSlack - observationSlack - s.frozenFor(notifiedAt, a.receivedAt)
		if late > 0 {
			after := a.receivedAt.Sub(notifiedAt)
			o.addRequestViolation("C1 drain", a.request, "sent to %s %v after the notification of %s", uid, roundToMillis(after), c.state)
		}
	}
}

// notifiedAt returns when a scheduler was notified of a state change, or counts as notified if that
// is earlier.
func (o *observations) notifiedAt(h *harness, scheduler int, uid string, c stateChange) time.Time {
	notifiedAt := h.endpoints.notificationDeadline(c.at)
	for _, u := range o.updatesSent[scheduler][uid] {
		if u.state != stateReady && u.at.After(c.at) && u.at.Before(notifiedAt) {
			notifiedAt = u.at
		}
	}
	return notifiedAt
}

// windowLoad is what a worker was sent in the overload window that ends at a given time, in requests
// of mean work.
type windowLoad struct {
	at           time.Time // end of the window
	load         float64
	informedLoad float64 // the part from schedulers that knew of the worker's start
	limit        float64 // what the worker can bear
}

func (w windowLoad) excess() float64 { return w.load - w.limit }

// isMostlyInformed reports whether more than two thirds of the load came from schedulers that knew of
// the worker's start.
func (w windowLoad) isMostlyInformed() bool { return w.informedLoad > 2*w.load/3 }

// checkSlowStart checks that a worker that has just started is sent no more in any window than it can
// bear. Only windows count whose load came mostly from schedulers that knew of the start.
func (o *observations) checkSlowStart(w *worker) {
	attempts := o.attemptsAt(w)
	for _, start := range o.starts[w.uid] {
		var worst windowLoad
		for _, last := range attempts {
			if last.receivedAt.Before(start) || last.receivedAt.After(start.Add(slowStartDuration)) {
				continue
			}
			window := o.loadInWindow(last.receivedAt, start, attempts)
			if window.isMostlyInformed() && window.excess() > worst.excess() {
				worst = window
			}
		}
		if worst.excess() > 0 && worst.limit > 0 {
			o.violations = append(o.violations, Violation{
				Rule:    "D1 cold",
				Subject: w.uid,
				Detail: fmt.Sprintf("was sent %.1f requests of mean work in a window, %v after its start, and can bear %.1f",
					worst.load, roundToMillis(worst.at.Sub(start)), worst.limit),
			})
		}
	}
}

// attemptsAt returns all attempts that a worker received.
func (o *observations) attemptsAt(w *worker) (attempts []*attempt) {
	for _, req := range o.order {
		for _, a := range req.attempts {
			if a.worker == w {
				attempts = append(attempts, a)
			}
		}
	}
	return attempts
}

// loadInWindow returns the load in the window that ends at end, of a worker's attempts since start.
func (o *observations) loadInWindow(end, start time.Time, attempts []*attempt) windowLoad {
	window := windowLoad{at: end, limit: slowStartLimit(end.Sub(start))}
	for _, a := range attempts {
		if a.receivedAt.Before(start) || a.receivedAt.After(end) || a.receivedAt.Before(end.Add(-overloadWindow)) {
			continue
		}
		load := float64(a.request.work) / float64(meanWork)
		window.load += load
		if o.knewOfStart(a, start) {
			window.informedLoad += load
		}
	}
	return window
}

const smallLoad = 30 // in requests of mean work; a limit below this gets more slack

// slowStartLimit returns what a worker of a given age can bear in an overload window, in requests of
// mean work.
func slowStartLimit(age time.Duration) float64 {
	requests := overloadFactor * overloadWindow.Seconds() * slots * capacityAt(age) / meanWork.Seconds()
	if requests < smallLoad {
		return requests + 3*math.Sqrt(requests) + 3
	}
	return requests + 2*math.Sqrt(requests) + 2
}

// knewOfStart reports whether the attempt's scheduler had been sent the worker's start time before the
// worker received the attempt.
func (o *observations) knewOfStart(a *attempt, start time.Time) bool {
	for _, u := range o.updatesSent[a.request.scheduler.number][a.worker.uid] {
		if u.bootMS != 0 && u.at.After(start) && u.at.Before(a.receivedAt) {
			return true
		}
	}
	return false
}
