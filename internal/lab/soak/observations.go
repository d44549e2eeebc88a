package soak

import (
	"sync"
	"time"
)

// observations holds what the peers of the schedulers have seen. Its lock also guards the fields of
// the requests and attempts.
type observations struct {
	mu           sync.Mutex
	requests     map[string]*request             // by ID
	order        []*request                      // oldest first
	stateChanges map[string][]stateChange        // by worker UID, oldest first
	updatesSent  map[int]map[string][]updateSent // by scheduler number and worker UID
	starts       map[string][]time.Time          // by worker UID
	violations   []Violation
}

// stateChange is a change of a worker's entry in the endpoint list.
type stateChange struct {
	state string
	at    time.Time
}

// updateSent is an entry of the endpoint list that was sent to a scheduler.
type updateSent struct {
	state  string
	bootMS int64
	at     time.Time
}

// request is a client's request, with what was observed of it.
type request struct {
	observed  *observations
	id        string
	class     requestClass
	scheduler *scheduler
	budget    time.Duration
	work      time.Duration

	sentAt         time.Time // the last time, if it was sent again because its connection was closed; zero: not sent
	disconnectedAt time.Time // zero: its client did not disconnect
	answeredAt     time.Time // when the client got the answer or gave up
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
	budget         time.Duration // that the scheduler sent with it
	provedNotRunAt time.Time     // zero: it may have run
	endedAt        time.Time     // when it ended or was cancelled; zero: neither, as far as the worker knows
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
	o.violations = append(o.violations, Violation{Rule: rule, Subject: subject, Detail: detail})
	o.mu.Unlock()
}

func (o *observations) addRequest(req *request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	req.observed = o
	o.requests[req.id] = req
	o.order = append(o.order, req)
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
	updatesByWorker := o.updatesSent[scheduler]
	if updatesByWorker == nil {
		updatesByWorker = map[string][]updateSent{}
		o.updatesSent[scheduler] = updatesByWorker
	}
	for _, e := range endpoints {
		updatesByWorker[e.UID] = append(updatesByWorker[e.UID], updateSent{state: e.State, bootMS: e.BootMS, at: at})
	}
}

// addAttempt records an attempt that a worker received. If no client has sent a request with that
// ID, it records a violation and returns nil.
func (o *observations) addAttempt(id string, w *worker, budget time.Duration, at time.Time) *attempt {
	o.mu.Lock()
	defer o.mu.Unlock()
	req := o.requests[id]
	if req == nil {
		o.violations = append(o.violations, Violation{Rule: "A4 request", Subject: id, Detail: "no client has sent it"})
		return nil
	}
	a := &attempt{request: req, worker: w, receivedAt: at, budget: budget}
	req.attempts = append(req.attempts, a)
	return a
}

// attemptCancelled records that a scheduler has cancelled a request's attempts at a worker, which
// end with that.
func (o *observations) attemptCancelled(id, uid string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	req := o.requests[id]
	if req == nil {
		return
	}
	for _, a := range req.attempts {
		if a.worker.uid == uid && a.endedAt.IsZero() {
			a.endedAt = time.Now()
		}
	}
}

// markNotRun records that the scheduler is being told that the attempt has not run and never will.
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

func (req *request) markSent(at time.Time) {
	req.observed.mu.Lock()
	req.sentAt = at
	req.observed.mu.Unlock()
}

// clearSent marks the request as not sent: the connection was closed before the request was read.
func (req *request) clearSent() {
	req.observed.mu.Lock()
	req.sentAt = time.Time{}
	req.observed.mu.Unlock()
}

func (req *request) markDisconnected(at time.Time) {
	req.observed.mu.Lock()
	req.disconnectedAt = at
	req.observed.mu.Unlock()
}

func (req *request) markAnswered(at time.Time, status int, body string) {
	req.observed.mu.Lock()
	req.answeredAt = at
	req.status = status
	req.body = body
	req.observed.mu.Unlock()
}

func (req *request) markUnanswered(at time.Time, reason string) {
	req.observed.mu.Lock()
	req.answeredAt = at
	req.failure = reason
	req.observed.mu.Unlock()
}
