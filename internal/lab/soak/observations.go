package soak

import (
	"sync"
	"time"
)

// observations are what the peers of the schedulers have seen. The lock guards the requests and
// attempts too.
type observations struct {
	mu           sync.Mutex
	requests     map[string]*request // by call id
	order        []*request
	stateChanges map[string][]stateChange        // by worker's uid, oldest first
	updatesSent  map[int]map[string][]updateSent // by scheduler and worker's uid
	starts       map[string][]time.Time          // by worker's uid
	violations   []Violation
}

// stateChange is a change of a worker's entry in the endpoint list.
type stateChange struct {
	state string
	at    time.Time
}

// updateSent is an entry that was written to a scheduler.
type updateSent struct {
	state  string
	bootMS int64
	at     time.Time
}

// request is what is known of a client's request.
type request struct {
	observed  *observations
	id        string
	class     requestClass
	scheduler *scheduler
	budget    time.Duration
	work      time.Duration

	sentAt         time.Time // for the last time, where its connection had ended; zero: not sent
	disconnectedAt time.Time // zero: its client stayed
	answeredAt     time.Time // or when the client gave up
	status         int
	body           string
	failure        string // why there was no answer; empty: there was one
	attempts       []*attempt
}

// attempt is one attempt of a request at a worker.
type attempt struct {
	request        *request
	worker         *worker
	receivedAt     time.Time
	budget         time.Duration // that the worker was sent
	provedNotRunAt time.Time     // zero: it may have run
	endedAt        time.Time     // when it ended or was cancelled; zero: not that the worker knows
}

func newObservations() *observations {
	return &observations{
		requests:     map[string]*request{},
		stateChanges: map[string][]stateChange{},
		updatesSent:  map[int]map[string][]updateSent{},
		starts:       map[string][]time.Time{},
	}
}

func (o *observations) addViolation(rule, subject, detail string) {
	o.mu.Lock()
	o.violations = append(o.violations, Violation{Rule: rule, Request: subject, Detail: detail})
	o.mu.Unlock()
}

func (o *observations) addRequest(q *request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q.observed = o
	o.requests[q.id] = q
	o.order = append(o.order, q)
}

func (o *observations) addStart(uid string, at time.Time) {
	o.mu.Lock()
	o.starts[uid] = append(o.starts[uid], at)
	o.mu.Unlock()
}

func (o *observations) addStateChange(e endpoint) {
	o.mu.Lock()
	o.stateChanges[e.UID] = append(o.stateChanges[e.UID], stateChange{state: e.State, at: time.Now()})
	o.mu.Unlock()
}

func (o *observations) addUpdateSent(scheduler int, endpoints []endpoint, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	byWorker := o.updatesSent[scheduler]
	if byWorker == nil {
		byWorker = map[string][]updateSent{}
		o.updatesSent[scheduler] = byWorker
	}
	for _, e := range endpoints {
		byWorker[e.UID] = append(byWorker[e.UID], updateSent{state: e.State, bootMS: e.BootMS, at: at})
	}
}

// addAttempt adds an attempt that a worker received; nil: no client has sent a request of that id,
// which is a violation.
func (o *observations) addAttempt(id string, w *worker, budget time.Duration, at time.Time) *attempt {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := o.requests[id]
	if q == nil {
		o.violations = append(o.violations, Violation{Rule: "A4 request", Request: id, Detail: "no client has sent it"})
		return nil
	}
	a := &attempt{request: q, worker: w, receivedAt: at, budget: budget}
	q.attempts = append(q.attempts, a)
	return a
}

// attemptCancelled records that a scheduler has cancelled a request's attempts at a worker.
func (o *observations) attemptCancelled(id, uid string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := o.requests[id]
	if q == nil {
		return
	}
	for _, a := range q.attempts {
		if a.worker.uid == uid && a.endedAt.IsZero() {
			a.endedAt = time.Now()
		}
	}
}

// markNotRun records that the scheduler is notified that the attempt has not run and will not.
func (a *attempt) markNotRun() {
	o := a.request.observed
	o.mu.Lock()
	a.provedNotRunAt = time.Now()
	a.endedAt = a.provedNotRunAt
	o.mu.Unlock()
}

func (a *attempt) markEnded() {
	o := a.request.observed
	o.mu.Lock()
	if a.endedAt.IsZero() {
		a.endedAt = time.Now()
	}
	o.mu.Unlock()
}

func (q *request) markSent(at time.Time) {
	q.observed.mu.Lock()
	q.sentAt = at
	q.observed.mu.Unlock()
}

// clearSent takes the sending back: the connection had ended before the request was read.
func (q *request) clearSent() {
	q.observed.mu.Lock()
	q.sentAt = time.Time{}
	q.observed.mu.Unlock()
}

func (q *request) markDisconnected(at time.Time) {
	q.observed.mu.Lock()
	q.disconnectedAt = at
	q.observed.mu.Unlock()
}

func (q *request) markAnswered(at time.Time, status int, body string) {
	q.observed.mu.Lock()
	q.answeredAt = at
	q.status = status
	q.body = body
	q.observed.mu.Unlock()
}

func (q *request) markUnanswered(at time.Time, why string) {
	q.observed.mu.Lock()
	q.answeredAt = at
	q.failure = why
	q.observed.mu.Unlock()
}
