package soak

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	socketSlack = 50 * time.Millisecond // of the rules, on sockets
	heldUp      = 150 * time.Millisecond
	// busy is how late this process may see things, as it shares the machine with all schedulers.
	busy      = 150 * time.Millisecond
	goneAfter = 100 * time.Millisecond // an attempt may begin so long after its client has left
	lostAfter = 500*time.Millisecond + busy
	toldSlack = 150 * time.Millisecond // of the deadline that an attempt tells
)

// judge holds what was seen against the rules.
func (b *books) judge(p *play, r *Report) {
	for _, s := range p.schedulers {
		r.Finds = append(r.Finds, s.faults()...)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, q := range b.order {
		r.Attempts += len(q.attempts)
		if !q.left.IsZero() {
			r.Leaves++
		}
		b.judgeAnswer(q)
		for n, a := range q.attempts {
			b.judgeClient(a)
			b.judgeRepeat(q, n)
			b.judgeDrain(p, a)
		}
	}
	for _, w := range p.workers {
		b.judgeCold(p, w)
	}
	r.Finds = append(r.Finds, b.finds...)
}

func (b *books) broken(rule string, q *request, format string, args ...any) {
	b.finds = append(b.finds, Find{rule, fmt.Sprintf("%s at n%d", q.id, q.scheduler.number), fmt.Sprintf(format, args...)})
}

func rounded(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// judgeAnswer: one final answer in time, that of a worker, and a refusal only where asking again is harmless.
func (b *books) judgeAnswer(q *request) {
	if !q.left.IsZero() || q.last.IsZero() {
		return
	}
	end, took := q.answered, q.answered.Sub(q.last)
	excused := q.scheduler.away(q.last, end)
	held := q.scheduler.frozen(q.last.Add(-busy), end)
	switch {
	case q.failure != "" && held > heldUp: // a process that stands still for longer can't answer in time
	case q.failure != "" && !excused:
		b.broken("A1 answer", q, "%s after %v of %v, %d attempts", q.failure, rounded(took), q.budget, len(q.attempts))
	case q.failure != "":
	case q.status == 200 && q.body != made(q.id):
		b.broken("A4 result", q, "got %q", q.body)
	case q.status == 409 || q.status == 400 || q.status == 404:
		b.broken("A2 read", q, "answered %d", q.status)
	case took > q.budget+socketSlack+busy+held:
		b.broken("A1 late", q, "answered %d after %v of %v", q.status, rounded(took), q.budget)
	case q.status == 503 || q.status == 429:
		b.judgeRefusal(q)
	}
}

func (b *books) judgeRefusal(q *request) {
	for _, a := range q.attempts {
		if a.neverRan.IsZero() && q.class.effect != "read_like" && q.class.scope != "all" {
			b.broken("A5 refusal", q, "refused, and %s may have run it", a.worker.uid)
		}
	}
}

// judgeClient: no attempt after the client has left or has its answer, and the deadline told is what is left.
func (b *books) judgeClient(a *attempt) {
	q := a.request
	if late := a.begun.Sub(q.left); !q.left.IsZero() && late > goneAfter+busy {
		b.broken("A3 left", q, "sent to %s %v after its client had left", a.worker.uid, rounded(late))
	}
	if late := a.begun.Sub(q.answered); !q.answered.IsZero() && q.failure == "" && late > goneAfter+busy {
		b.broken("A3 answered", q, "sent to %s %v after its answer", a.worker.uid, rounded(late))
	}
	if left := q.last.Add(q.budget).Sub(a.begun); !q.last.IsZero() && a.budget > left+toldSlack+busy+q.scheduler.frozen(q.last, a.begun) {
		b.broken("E1 deadline", q, "%s was told %v and %v was left", a.worker.uid, rounded(a.budget), rounded(left))
	}
}

// judgeRepeat: what the effect class, the window, the group and the limit on copies allow.
func (b *books) judgeRepeat(q *request, n int) {
	a := q.attempts[n]
	var first *attempt // that may have run
	for _, before := range q.attempts[:n] {
		unproven := before.neverRan.IsZero() || before.neverRan.After(a.begun)
		if first == nil && unproven {
			first = before
		}
		if before.over.IsZero() || before.over.After(a.begun.Add(busy)) {
			if before.worker == a.worker {
				b.broken("B3 one worker", q, "sent to %s again %v later, with the first one out", a.worker.uid, rounded(a.begun.Sub(before.begun)))
			}
		}
	}
	if first == nil {
		return
	}
	switch q.class.effect {
	case "non_idempotent":
		b.broken("B1 once", q, "sent to %s %v after %s may have run it", a.worker.uid, rounded(a.begun.Sub(first.begun)), first.worker.uid)
	case "idempotency_key":
		if first.worker.zone != a.worker.zone {
			b.broken("B2 group", q, "sent to %s, outside the zone of %s", a.worker.uid, first.worker.uid)
		}
		if after := a.begun.Sub(first.begun); after > dedupWindow+socketSlack {
			b.broken("B2 window", q, "sent to %s %v after %s", a.worker.uid, rounded(after), first.worker.uid)
		}
	}
}

// judgeDrain: nothing goes to a worker that is told to drain, or counts as told.
func (b *books) judgeDrain(p *play, a *attempt) {
	uid, s := a.worker.uid, a.scheduler
	changes := b.changes[uid]
	for n, c := range changes {
		if c.state == ready || c.at.After(a.begun) {
			continue
		}
		back := slices.IndexFunc(changes[n:], func(later change) bool { return later.state == ready })
		if back >= 0 && !a.begun.Before(changes[n+back].at) {
			continue // it is back
		}
		told := b.toldOf(p, s.number, uid, c)
		late := a.begun.Sub(told) - grace - socketSlack - busy - s.frozen(told, a.begun)
		if late > 0 {
			b.broken("C1 drain", a.request, "sent to %s %v after it was told as %s", uid, rounded(a.begun.Sub(told)), c.state)
		}
	}
}

// toldOf is when a scheduler counts as told of a change.
func (b *books) toldOf(p *play, scheduler int, uid string, c change) time.Time {
	told := p.list.deemed(c.at)
	for _, t := range b.tellings[scheduler][uid] {
		if t.state != ready && t.at.After(c.at) && t.at.Before(told) {
			told = t.at
		}
	}
	return told
}

// judgeCold: what a worker that has just started got from schedulers that knew, in any span, is what it bears.
func (b *books) judgeCold(p *play, w *worker) {
	var all []*attempt
	for _, q := range b.order {
		for _, a := range q.attempts {
			if a.worker == w {
				all = append(all, a)
			}
		}
	}
	for _, start := range b.starts[w.uid] {
		worst, bound, at := 0.0, 0.0, time.Time{}
		for _, last := range all {
			if last.begun.Before(start) || last.begun.After(start.Add(warmAfter)) {
				continue
			}
			sum, knew := 0.0, 0.0
			for _, a := range all {
				if a.begun.Before(start) || a.begun.After(last.begun) || a.begun.Before(last.begun.Add(-fallSpan)) {
					continue
				}
				load := float64(a.work) / float64(meanWork)
				sum += load
				if b.knew(a.scheduler.number, w.uid, start, a.begun) {
					knew += load
				}
			}
			most := coldBound(last.begun.Sub(start))
			if knew > 2*sum/3 && sum-most > worst-bound {
				worst, bound, at = sum, most, last.begun
			}
		}
		if worst > bound && bound > 0 {
			b.finds = append(b.finds, Find{"D1 cold", w.uid, fmt.Sprintf("got %.1f requests of mean work in a span, %v after its start, and bears %.1f",
				worst, rounded(at.Sub(start)), bound)})
		}
	}
}

// coldBound is what a cold worker bears in a span, in requests of mean work.
func coldBound(age time.Duration) float64 {
	calls := fallMultiple * fallSpan.Seconds() * slots * warmth(age) / meanWork.Seconds()
	if calls < 30 {
		return calls + 3*math.Sqrt(calls) + 3
	}
	return calls + 2*math.Sqrt(calls) + 2
}

// knew tells whether a scheduler had been told of a worker's start.
func (b *books) knew(scheduler int, uid string, start, at time.Time) bool {
	for _, t := range b.tellings[scheduler][uid] {
		if t.boot != 0 && t.at.After(start) && t.at.Before(at) {
			return true
		}
	}
	return false
}
