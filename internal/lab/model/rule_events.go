package model

import (
	"time"

	"stoatweir/internal/lab/scenario"
)

// RequestReceived records that a scheduler has received a request, and closes the records of
// expired requests.
func (c *RuleChecker) RequestReceived(now time.Duration, scheduler int, request *Request) {
	r := &requestRecord{
		request:    request,
		scheduler:  scheduler,
		answeredAt: notAnswered,
		expiresAt:  request.Deadline + recordRetention,
	}
	r.addHistory(now, "scheduler %d receives %s, retry %d, %v before the deadline", scheduler, c.scenario.Operations[request.Operation].Name,
		request.Retry, (request.Deadline - now).Round(time.Millisecond))
	c.open[request.ID] = r
	c.expiryQueue = append(c.expiryQueue, r)
	c.expire(now)
}

// AttemptSent checks an attempt when it leaves its scheduler or, if the driver cannot observe that,
// arrives at its machine.
func (c *RuleChecker) AttemptSent(now time.Duration, scheduler int, request *Request, number, machine int) {
	r := c.open[request.ID]
	c.checkReady(now, scheduler, request, r, number, machine)
	if r == nil {
		c.addViolation(OneAnswer, now, scheduler, nil, "forward %d of request %d was sent long after the request's deadline", number, request.ID)
		return
	}
	r.addHistory(now, "forward %d to machine %d", number, machine)
	if r.answeredAt != notAnswered && now > r.answeredAt+c.scenario.Rules.AnswerSlack.D() {
		c.addViolation(OneAnswer, now, scheduler, r, "forward %d was sent %v after the final answer", number,
			(now - r.answeredAt).Round(time.Millisecond))
	}
	c.checkLimits(now, r, number)
	c.checkEffect(now, r, number, machine)
	r.attempts = append(r.attempts, attemptRecord{number: number, machine: machine, sentAt: now, inFlight: true})
}

// checkReady checks that the scheduler has not known for longer than the grace period that the machine
// is draining or gone. The scheduler counts as knowing of it once it has received the change, or DeemedDelay
// after the list has changed.
func (c *RuleChecker) checkReady(now time.Duration, scheduler int, request *Request, r *requestRecord, number, machine int) {
	knownSince := Never
	if since, known := c.notReadyKnownSince[scheduler][machine]; known {
		knownSince = since
	}
	if machine < len(c.notReadySince) && c.notReadySince[machine] > 0 {
		knownSince = min(knownSince, c.notReadySince[machine]+c.scenario.Discovery.DeemedDelay.D())
	}
	if knownSince == Never {
		return
	}
	grace := c.scenario.Rules.StopSendingWithin.D() + c.scenario.Rules.AnswerSlack.D()
	if now > knownSince+grace {
		c.addViolation(NoSendToDraining, now, scheduler, r,
			"machine %d received forward %d of request %d, %v after the scheduler is deemed to know that it is draining or gone",
			machine, number, request.ID, (now - knownSince).Round(time.Millisecond))
	}
}

// checkLimits checks the number of attempts of the request, in total and in flight, before one more
// is sent.
func (c *RuleChecker) checkLimits(now time.Duration, r *requestRecord, number int) {
	maxInFlight := 1
	if c.scenario.Limits.HedgedRequests {
		maxInFlight = 2
	}
	inFlight := 0
	for _, a := range r.attempts {
		if a.inFlight {
			inFlight++
		}
	}
	if len(r.attempts) >= c.scenario.Limits.MaxForwards {
		c.addViolation(OneEffect, now, r.scheduler, r, "forward %d (counted from 0): only %d forwards are allowed",
			number, c.scenario.Limits.MaxForwards)
	}
	if inFlight >= maxInFlight {
		c.addViolation(OneEffect, now, r.scheduler, r, "forward %d: %d attempts are already in flight, and at most %d are allowed",
			number, inFlight, maxInFlight)
	}
}

// checkEffect checks that the operation's effect class allows one more attempt after one that may
// have run.
func (c *RuleChecker) checkEffect(now time.Duration, r *requestRecord, number, machine int) {
	first := r.firstThatMayHaveRun()
	if first == nil {
		return
	}
	o := c.scenario.Operations[r.request.Operation]
	switch {
	case o.Effect == scenario.Idempotent:
	case o.Effect == scenario.NonIdempotent:
		c.addViolation(OneEffect, now, r.scheduler, r, "forward %d of a non-idempotent operation, although forward %d may have run",
			number, first.number)
	case now > first.sentAt+o.Window.D():
		c.addViolation(OneEffect, now, r.scheduler, r, "forward %d, %v after one that may have run: duplicates are detected only for %v",
			number, (now - first.sentAt).Round(time.Millisecond), o.Window.D())
	case o.Scope == scenario.ScopeZone && c.machine(machine).Zone != c.machine(first.machine).Zone:
		c.addViolation(OneEffect, now, r.scheduler, r, "forward %d goes to another zone than an earlier one that may have run", number)
	}
}

func (r *requestRecord) firstThatMayHaveRun() *attemptRecord {
	for i := range r.attempts {
		if !r.attempts[i].neverRan {
			return &r.attempts[i]
		}
	}
	return nil
}

// AttemptEnded records that an attempt has ended, as far as its scheduler can know, and whether its
// end proves that it has not run.
func (c *RuleChecker) AttemptEnded(now time.Duration, request *Request, number int, neverRan bool, cause string) {
	r := c.open[request.ID]
	if r == nil {
		return
	}
	r.addHistory(now, "forward %d: %s", number, cause)
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.number == number {
			a.inFlight = false
			a.neverRan = a.neverRan || neverRan
		}
	}
}

// RequestAnswered checks a final answer that a scheduler sends to a client.
func (c *RuleChecker) RequestAnswered(now time.Duration, scheduler int, request *Request, reply Reply) {
	r := c.open[request.ID]
	if r == nil {
		c.addViolation(OneAnswer, now, scheduler, nil, "request %d was answered long after its deadline", request.ID)
		return
	}
	r.addHistory(now, "final answer to the client: %s", reply)
	late := now - request.Deadline
	switch {
	case r.answeredAt != notAnswered:
		c.addViolation(OneAnswer, now, scheduler, r, "a second final answer")
		return
	case late > c.scenario.Rules.AnswerSlack.D() && !r.answerNotOwed:
		c.addViolation(OneAnswer, now, scheduler, r, "the final answer was sent %v after the client timeout",
			late.Round(time.Millisecond))
	}
	r.answeredAt = now
}

// ResultCorrupted records that a client received a result that no worker produced for its request.
func (c *RuleChecker) ResultCorrupted(now time.Duration, scheduler int, request *Request, body string) {
	c.addViolation(OneAnswer, now, scheduler, c.open[request.ID],
		"the client received a result that no worker produced for its request: %.80q", body)
}

// ClientDisconnected records that a client has disconnected, so that its request needs no answer.
func (c *RuleChecker) ClientDisconnected(now time.Duration, request *Request) {
	if r := c.open[request.ID]; r != nil {
		r.addHistory(now, "the client disconnects")
		r.answerNotOwed = true
	}
}

// SchedulerKilled records that a scheduler was killed: its unanswered requests need no answer, and
// it no longer knows the state of any machine.
func (c *RuleChecker) SchedulerKilled(now time.Duration, scheduler int) {
	for _, r := range c.expiryQueue {
		if r.scheduler == scheduler && r.answeredAt == notAnswered {
			r.addHistory(now, "the scheduler is killed")
			r.answerNotOwed = true
		}
	}
	c.notReadyKnownSince[scheduler] = map[int]time.Duration{}
}

// EndpointReceived records that a scheduler has received the state of a machine in an endpoint
// update.
func (c *RuleChecker) EndpointReceived(now time.Duration, scheduler, machine int, state MachineState) {
	knownSince := c.notReadyKnownSince[scheduler]
	if state == Ready {
		delete(knownSince, machine)
		return
	}
	if _, known := knownSince[machine]; !known {
		knownSince[machine] = now
	}
}

// endpointChanged records that the endpoint list has a new state of a machine.
func (c *RuleChecker) endpointChanged(now time.Duration, e Endpoint) {
	for len(c.notReadySince) <= e.Machine {
		c.notReadySince = append(c.notReadySince, 0)
	}
	if e.State == Ready {
		c.notReadySince[e.Machine] = 0
	} else if c.notReadySince[e.Machine] == 0 {
		c.notReadySince[e.Machine] = max(now, minNotReadySince)
	}
}

// recordOverload records that a warming machine has received more work within the overload window
// than it can handle. work and limit are in slot seconds.
func (c *RuleChecker) recordOverload(now time.Duration, m *Machine, a *Attempt, work, limit float64) {
	c.addViolation(NoOverload, now, a.Scheduler, c.open[a.Request.ID],
		"machine %d, started %v before, received %.2f slot seconds of work and can handle %.2f: its process exits",
		m.index, (now - m.StartedAt).Round(time.Millisecond), work, limit)
}
