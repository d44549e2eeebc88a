package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// This file keeps the board, where the desk sees each worker. It decides nothing. A worker's card depends on its book, on
// the time and on what was learned of all workers. The book changes by notes; the other two change for all at each beat.
// Handing them to each worker made a beat as dear as the fleet is large: now a beat only writes a round down, and a card is
// brought up to the last round that it had part in when somebody reads it, or before its book changes.

// round is what one beat brought.
type round struct {
	beat int
	at   time.Duration
	view
	paced map[int]float64 // is not written to any more
}

// seat is one worker's on the board.
type seat struct {
	card
	beat            int // of the round that the card is from
	watched, pooled bool
}

// look is desk to worker, by way of the door when a round begins: something may be due.
type look struct{}

// asked is door to desk: who is to be asked in a round. Who has something due besides goes first, as ever.
type asked struct {
	at int
	ask
}

// entry is a worker's on the board.
func (k *desk) entry(at int) *seat {
	if more := at + 1 - len(k.board); more > 0 {
		k.board = append(k.board, make([]*seat, more)...)
	}
	if k.board[at] == nil {
		k.board[at] = &seat{card: card{seen: -1}}
	}
	return k.board[at]
}

// current is a worker's card as of the last round that it had part in: those with work of ours in each, all others of the
// pool in those where something was held.
func (k *desk) current(at int) *card {
	if at >= len(k.board) || k.board[at] == nil {
		return nil
	}
	s := k.board[at]
	r := &k.everyone
	if s.watched {
		r = &k.round
	} else if !s.pooled {
		return &s.card
	}
	if s.beat < r.beat {
		w := k.door.list[at].worker
		w.all = r.view
		w.estimate(r.at)
		s.beat, s.card = r.beat, w.card
		s.showPace(r.paced, r.view)
	}
	return &s.card
}

// anew brings all cards up to date before something changes that all depend on; then all look at the time once.
func (k *desk) anew() {
	for at, s := range k.board {
		if k.current(at); s != nil {
			s.due = 0
		}
	}
}

// enter puts a card on the board. The pool is in the order in which its workers were last asked.
func (k *desk) enter(n *card) {
	old := k.entry(n.at)
	joins, leaves := n.open && (n.seen > old.seen || !old.open), !n.open && old.open
	if n.busy && !old.watched {
		k.busy, old.watched = append(k.busy, n.at), true
	}
	if old.card, old.beat = *n, k.beats; joins || leaves {
		k.pool, old.pooled = slices.DeleteFunc(k.pool, func(at int) bool { return at == n.at }), joins
	}
	if joins {
		k.pool = append(k.pool, n.at)
	}
}

// leave takes the one at a place out of the pool, with its card as it is now: no more rounds reach it there.
func (k *desk) leave(place int) {
	k.current(k.pool[place])
	k.board[k.pool[place]].pooled = false
	k.pool = slices.Delete(k.pool, place, place+1)
}

// begin writes a round down. Only those look at the time for whom something is due, and the first, so that the pool is
// brought to its size; nothing would come of it for the others.
func (k *desk) begin() {
	busy := k.busy[:0]
	for _, at := range k.busy {
		if s := k.board[at]; s.card.busy {
			busy = append(busy, at)
		} else {
			s.watched = false
		}
	}
	k.busy, k.beats = busy, k.beats+1
	k.round = round{k.beats, k.now, k.all, k.paced}
	all := len(k.held) > 0
	if all {
		k.everyone = k.round
	}
	wake := func(at int) {
		w := k.door.list[at].worker
		if w.put(look{}); all && k.board[at].watched && k.board[at].pooled {
			w.put(look{})
		}
		k.ask(at)
	}
	for n, at := range k.busy {
		if n == 0 || k.board[at].due <= k.now || k.isAsked(at) {
			wake(at)
		}
	}
	if all && (len(k.toAsk) > 0 || len(k.busy) == 0) {
		for n, at := range k.pool {
			if !k.board[at].watched && (n == 0 && len(k.busy) == 0 || k.isAsked(at)) {
				wake(at)
			}
		}
	}
	for len(k.toAsk) > 0 {
		k.ask(k.toAsk[0].at)
	}
}

func (k *desk) isAsked(at int) bool {
	for _, a := range k.toAsk {
		if a.at == at {
			return true
		}
	}
	return false
}

// ask hands over what a round asks of a worker.
func (k *desk) ask(at int) {
	rest := k.toAsk[:0]
	for _, a := range k.toAsk {
		if a.at == at {
			k.door.meet(at).put(a.ask)
		} else {
			rest = append(rest, a)
		}
	}
	k.toAsk = rest
}

// never is later than all that happens.
const never = time.Duration(math.MaxInt64)

// nextDue is the earliest time at which looking at the time may have a result; it may be too early, never too late.
func (w *worker) nextDue() time.Duration {
	next := never
	if w.recheck {
		next = w.probedAt + beat
	}
	if w.aside {
		return min(next, max(w.asideTill, w.probedAt+asideFirst/2))
	}
	for i := range w.errands {
		e := &w.errands[i]
		if e.end != 0 || e.lost {
			continue
		}
		if w.tellsTaken && !e.taken {
			next = min(next, e.sent+patience)
		}
		due := e.sent
		switch {
		case w.progress > 0 && e.began > 0 && w.lastSign > e.heard+w.progress+patience:
			return 0
		case w.tellsStart && e.began == 0:
			if begin := e.sent + 2*beat; w.now < begin+beat {
				next = min(next, begin)
			}
		case w.progress > 0:
			due = max(due, e.heard) + w.progress
		default:
			due += seconds(4 * e.work * max(1, w.pace))
		}
		next = min(next, max(due, w.lastSign)+patience)
	}
	return next
}

// showPace sets what the desk takes for a worker's pace: its reports may show that it is slow, long before the few finishes
// of thin traffic do.
func (c *card) showPace(paced map[int]float64, all view) {
	if c.pace == 0 {
		c.pace = cmp.Or(paced[c.kind], 1) * max(1, c.service/max(all.service, c.service/8, 1e-6)/2)
	}
	c.pace /= c.warmth
}

// show posts a copy of the card as it is now. Copies are used again, as there are thousands a second.
func (w *worker) show() {
	w.estimate(w.now)
	w.due = w.nextDue()
	var c *card
	if n := len(w.copies); n > 0 {
		c, w.copies = w.copies[n-1], w.copies[:n-1]
	} else {
		c = new(card)
	}
	*c = w.card
	w.desk.put(c)
}

// setPaced leaves the rounds that were written down as they are.
func (k *desk) setPaced(kind int, pace float64) {
	k.paced = maps.Clone(k.paced)
	k.paced[kind] = pace
}

// ask has a worker asked, in a round when its turn in that comes.
func (d *Dispatcher) ask(at int, w wanted, a ask) {
	if w.round {
		d.desk.put(asked{at, a})
	} else {
		d.meet(at).put(a)
	}
}
