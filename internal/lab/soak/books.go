package soak

import (
	"sync"
	"time"
)

// books are what the peers have seen.
type books struct {
	mu       sync.Mutex
	requests map[string]*request
	order    []*request
	changes  map[string][]change          // of workers, by uid, oldest first
	tellings map[int]map[string][]telling // by scheduler and uid
	starts   map[string][]time.Time       // of workers
	finds    []Find
}

// change is one of a worker's entry in the list.
type change struct {
	state string
	at    time.Time
}

// telling is one that was written to a scheduler.
type telling struct {
	state string
	boot  int64
	at    time.Time
}

// request is what is known of one.
type request struct {
	books     *books
	id        string
	class     class
	scheduler *scheduler
	budget    time.Duration
	work      time.Duration

	last     time.Time // it was handed in, for the last time where its connection had ended
	left     time.Time // zero: its client stayed
	answered time.Time
	status   int
	body     string
	failure  string // why there was no answer
	attempts []*attempt
}

// attempt is one at a worker.
type attempt struct {
	*request
	worker   *worker
	begun    time.Time
	budget   time.Duration // that the worker was told; below 0: none
	neverRan time.Time     // it is known since then; zero: it may have
	over     time.Time     // it has ended, or been given up; zero: not that the worker knows
}

func newBooks() *books {
	return &books{requests: map[string]*request{}, changes: map[string][]change{}, tellings: map[int]map[string][]telling{},
		starts: map[string][]time.Time{}}
}

func (b *books) find(rule, request, detail string) {
	b.mu.Lock()
	b.finds = append(b.finds, Find{rule, request, detail})
	b.mu.Unlock()
}

func (b *books) request(id string, c class, s *scheduler, budget, work time.Duration) *request {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := &request{books: b, id: id, class: c, scheduler: s, budget: budget, work: work}
	b.requests[id], b.order = r, append(b.order, r)
	return r
}

func (b *books) started(uid string, at time.Time) {
	b.mu.Lock()
	b.starts[uid] = append(b.starts[uid], at)
	b.mu.Unlock()
}

func (b *books) listed(e entry) {
	b.mu.Lock()
	b.changes[e.UID] = append(b.changes[e.UID], change{e.State, time.Now()})
	b.mu.Unlock()
}

func (b *books) told(scheduler int, entries []entry, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	of := b.tellings[scheduler]
	if of == nil {
		of = map[string][]telling{}
		b.tellings[scheduler] = of
	}
	for _, e := range entries {
		of[e.UID] = append(of[e.UID], telling{e.State, e.BootMS, at})
	}
}

// attempt enters one that came from a scheduler at a moment; nil: no client has sent that id.
func (b *books) attempt(id string, w *worker, budget float64, came time.Time) *attempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.requests[id]
	if r == nil {
		b.finds = append(b.finds, Find{"A4 request", id, "no client has sent it"})
		return nil
	}
	a := &attempt{request: r, worker: w, begun: came, budget: time.Duration(budget * float64(time.Second))}
	r.attempts = append(r.attempts, a)
	return a
}

// given enters that a scheduler has given an attempt up.
func (b *books) given(id, uid string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.requests[id]; r != nil {
		for _, a := range r.attempts {
			if a.worker.uid == uid && a.over.IsZero() {
				a.over = time.Now()
			}
		}
	}
}

func (a *attempt) never() {
	a.books.mu.Lock()
	a.neverRan = time.Now()
	a.over = a.neverRan
	a.books.mu.Unlock()
}

func (a *attempt) ended() {
	a.books.mu.Lock()
	if a.over.IsZero() {
		a.over = time.Now()
	}
	a.books.mu.Unlock()
}

func (r *request) sent(at time.Time) {
	r.books.mu.Lock()
	r.last = at
	r.books.mu.Unlock()
}

func (r *request) again() {
	r.books.mu.Lock()
	r.last = time.Time{}
	r.books.mu.Unlock()
}

func (r *request) leave(at time.Time) {
	r.books.mu.Lock()
	r.left = at
	r.books.mu.Unlock()
}

func (r *request) answer(at time.Time, status int, body string) {
	r.books.mu.Lock()
	r.answered, r.status, r.body = at, status, body
	r.books.mu.Unlock()
}

func (r *request) unanswered(at time.Time, why string) {
	r.books.mu.Lock()
	r.answered, r.failure = at, why
	r.books.mu.Unlock()
}
