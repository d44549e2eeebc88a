package model

import (
	"time"

	"stoatweir/internal/lab/eventqueue"
	"stoatweir/internal/lab/scenario"
)

// Entry is what the list says of a machine.
type Entry struct {
	Machine   int
	Standing  Standing
	StartedAt time.Duration
}

// List is the service that tells schedulers of workers. It learns of changes late, and has room for so many calls.
type List struct {
	// Changed is called with each entry that changes, Died when all watches end.
	Changed func(now time.Duration, rev int)
	Died    func(now time.Duration)
	Calls   int

	s       scenario.Scenario
	fleet   *Fleet
	log     []Entry // by version: the entry that it brought
	entries []Entry // by machine, as they stand
	listed  []bool
	coming  eventqueue.Agenda[Entry] // changes on their way
	late    time.Duration
	slower  float64
	dead    int
	busy    time.Duration // until when all calls taken so far are through
	judge   *Judge
}

func newList(s scenario.Scenario, f *Fleet) *List {
	l := &List{s: s, fleet: f, slower: 1, judge: f.judge, Changed: func(time.Duration, int) {}, Died: func(time.Duration) {}}
	for _, m := range f.Machines {
		l.enter(Entry{m.index, Ready, m.StartedAt})
	}
	return l
}

func (l *List) enter(e Entry) {
	for len(l.entries) <= e.Machine {
		l.entries, l.listed = append(l.entries, Entry{}), append(l.listed, false)
	}
	l.entries[e.Machine], l.listed[e.Machine] = e, true
	l.log = append(l.log, e)
}

// change is told by the fleet the moment something changes.
func (l *List) change(now time.Duration, machine int, silently bool) {
	m := l.fleet.Machines[machine]
	e := Entry{machine, m.Standing, m.StartedAt}
	after := l.s.List.Notice.D()
	if m.down || m.silent > 0 {
		e.Standing = Gone
	}
	if silently {
		after = l.s.List.SilentNotice.D()
	}
	l.coming.Put(now+after+l.late, e)
}

func (l *List) next() time.Duration { return l.coming.Next(Never) }

func (l *List) step(now time.Duration) {
	c := l.coming.Pop()
	// What has changed again meanwhile is on its way too, but a machine that was back before anybody noticed has never
	// been away.
	if m := l.fleet.Machines[c.Machine]; c.Standing == Gone && m.Standing != Gone && !m.down && m.silent == 0 {
		return
	}
	if c.Machine < len(l.entries) && l.listed[c.Machine] && l.entries[c.Machine] == c {
		return
	}
	l.enter(c)
	l.judge.turned(now, c)
	if l.dead == 0 {
		l.Changed(now, len(l.log))
	}
}

// Rev is the present version.
func (l *List) Rev() int { return len(l.log) }

// Dead tells whether it answers nobody.
func (l *List) Dead() bool { return l.dead > 0 }

// Since gives what has changed after a version, each machine once, in the order of the changes.
func (l *List) Since(rev int) (entries []Entry) {
	last := map[int]int{}
	for at := max(0, rev); at < len(l.log); at++ {
		last[l.log[at].Machine] = at
	}
	for at := max(0, rev); at < len(l.log); at++ {
		if last[l.log[at].Machine] == at {
			entries = append(entries, l.log[at])
		}
	}
	return entries
}

// Whole is the list as it stands.
func (l *List) Whole() (entries []Entry) {
	for i, e := range l.entries {
		if l.listed[i] && e.Standing != Gone {
			entries = append(entries, e)
		}
	}
	return entries
}

// callMost is how long a call may wait in the queue.
const callMost = 3 * time.Second

// Call takes a call in: when its answer goes out, and whether it is one.
func (l *List) Call(now time.Duration) (at time.Duration, answered bool) {
	l.Calls++
	if l.dead > 0 {
		return now + l.s.List.Call.D(), false
	}
	each := time.Duration(l.slower / l.s.List.CallsPerS * float64(time.Second))
	if l.busy = max(l.busy, now); l.busy-now+each > callMost {
		return now + callMost, false
	}
	l.busy += each
	return l.busy + l.s.List.Call.D(), true
}
