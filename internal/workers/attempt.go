package workers

import (
	"slices"
	"strconv"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/conn"
	"stoatweir/internal/http1"
	"stoatweir/internal/invariant"
)

const (
	// cancelTimeout is how long a worker may take to answer a cancel.
	cancelTimeout = time.Second
	// lateResponseTimeout is how long the 202 of an attempt may follow the callback that ended it.
	lateResponseTimeout = time.Second
	// minTimeLeft is the least time left to the client that is sent to a worker: the unit of the
	// X-Budget header.
	minTimeLeft = time.Millisecond
	// timeBudgetDecimals is the number of decimals of the X-Budget header, which is in seconds.
	timeBudgetDecimals = 3
)

// attemptKey identifies an attempt as the dispatcher does.
type attemptKey struct {
	invocation dispatch.InvocationID
	number     int
}

// callbackKey identifies an attempt as callbacks do: the call id alone could be that of a hedged
// request elsewhere.
type callbackKey struct {
	callID    string
	workerUID string
}

// attempt is one send of an invocation to a worker.
type attempt struct {
	invocation       *Invocation
	number           int
	worker           *worker
	exchange         *exchange // nil once the worker has answered
	written          bool      // some of it may have been written
	sameWorkerBefore bool      // its worker had the invocation before: a callback may be late and of that attempt
	accepted         bool      // by a 202: the connection is free, the worker's slot is not
	started          bool      // its worker has reported so
	timeout          *conn.Timer
}

func (a *attempt) key() attemptKey {
	return attemptKey{invocation: a.invocation.Number, number: a.number}
}

func (a *attempt) callbackKey() callbackKey {
	return callbackKey{callID: a.invocation.ID, workerUID: a.worker.uid}
}

// Forward begins an attempt, whose end is reported as an event. No byte of it is written from
// notAfter on, by the loop's clock; 0: the client timeout alone bounds it.
func (t *Transport) Forward(inv *Invocation, number int, to dispatch.WorkerID, notAfter time.Duration) {
	w := t.workersByID[to]
	if w == nil || !t.AwaitsAnswer(inv.Number) {
		t.OnEvent(dispatch.Outcome{
			Invocation: inv.Number,
			Worker:     to,
			Attempt:    number,
			Result:     conn.NotSent.Result(),
			Answered:   !t.AwaitsAnswer(inv.Number),
		})
		return
	}
	a := &attempt{invocation: inv, number: number, worker: w}
	t.Counts.Sent++
	t.track(a)
	a.exchange = t.newAttemptExchange(a, invariant.Attempt{
		Request:     inv.Number,
		Number:      number,
		Chosen:      a.target(),
		NotAfter:    notAfter,
		MinTimeLeft: minTimeLeft,
	})
	t.startExchange(w, a.exchange)
}

// target returns the attempt's worker as the endpoint list has it now.
func (a *attempt) target() invariant.Target {
	return invariant.Target{UID: a.worker.uid, Endpoint: a.worker.endpoint}
}

// track enters an attempt that is in flight from now on, and bounds it by the client timeout.
func (t *Transport) track(a *attempt) {
	t.attempts[a.key()] = a
	t.attemptsByCallback[a.callbackKey()] = a
	a.timeout = t.loop.After(a.invocation.Deadline-t.loop.Now(), func() { t.endAttempt(a, conn.TimedOut, nil) })
}

// untrack removes an attempt that is no longer in flight here.
func (t *Transport) untrack(a *attempt) {
	delete(t.attempts, a.key())
	delete(t.attemptsByCallback, a.callbackKey())
	a.timeout.Stop()
}

// newAttemptExchange returns the exchange that carries an attempt; check describes the attempt as
// it was decided.
func (t *Transport) newAttemptExchange(a *attempt, check invariant.Attempt) *exchange {
	return &exchange{
		needsProofNotRun: a.invocation.needsProofNotRun(),
		buildRequest:     func() conn.Outgoing { return t.buildAttempt(a, check) },
		onFirstByte: func() {
			check.Current = a.target()
			t.Invariants.AttemptStarted(check)
			a.written = true
			a.sameWorkerBefore = slices.Contains(a.invocation.attemptedOn, a.worker)
			a.invocation.attemptedOn = append(a.invocation.attemptedOn, a.worker)
		},
		onWritten: t.OnWritten,
		onDone:    func(m *http1.Message, reason conn.CloseReason) { t.handleAttemptResponse(a, m, reason) },
	}
}

// buildAttempt returns the request of an attempt for sending it now.
func (t *Transport) buildAttempt(a *attempt, check invariant.Attempt) conn.Outgoing {
	inv := a.invocation
	timeLeft := (inv.Deadline - t.loop.Clock()).Seconds()
	timeBudget := http1.Field{Name: "X-Budget", Value: strconv.FormatFloat(timeLeft, 'f', timeBudgetDecimals, 64)}
	fields := append(slices.Clip(inv.Fields), timeBudget)
	return conn.Outgoing{
		Bytes:   http1.Request(inv.Method, inv.Target, a.worker.address, inv.Body, fields...),
		Until:   earlier(inv.Deadline, check.NotAfter),
		Allowed: func() conn.CloseReason { return t.checkSend(a, check) },
	}
}

// earlier returns the earlier of two times; a bound of 0 is none.
func earlier(deadline, bound time.Duration) time.Duration {
	if bound > 0 {
		return min(deadline, bound)
	}
	return deadline
}

// handleAttemptResponse takes the response to an attempt, or the reason why there is none.
func (t *Transport) handleAttemptResponse(a *attempt, m *http1.Message, reason conn.CloseReason) {
	a.exchange = nil
	if m == nil {
		t.endAttempt(a, reason, nil)
		return
	}
	if m.Status == statusAccepted {
		a.accepted = true
		t.OnEvent(dispatch.AttemptProgress{
			Invocation: a.invocation.Number,
			Worker:     a.worker.endpoint.Worker,
			Attempt:    a.number,
			Accepted:   true,
		})
		return
	}
	reason = responseReason(m)
	if reason == conn.Succeeded {
		// A result comes by callback alone: a response that looks like one is no worker's.
		reason = conn.Malformed
	}
	t.endAttempt(a, reason, t.parseLoad(a.worker, m))
}

// endAttempt ends an attempt and reports it; one that has ended before is left alone.
func (t *Transport) endAttempt(a *attempt, reason conn.CloseReason, load *dispatch.LoadReport) {
	if t.attempts[a.key()] != a {
		return
	}
	t.untrack(a)
	if a.mayHaveRun(reason) {
		reason = conn.Lost
	}
	stoppedByUs := reason == conn.Cancelled || reason == conn.TimedOut
	t.endExchange(a, stoppedByUs)
	if a.accepted && stoppedByUs && t.deployment.Dispatch.Limits.Cancel {
		t.sendCancel(a)
	}
	t.Invariants.AttemptEnded(a.invocation.Number, a.number, reason.String(), !reason.ProvesNotRun())
	t.Counts.Ended[reason.String()]++
	t.OnEvent(dispatch.Outcome{
		Invocation: a.invocation.Number,
		Worker:     a.worker.endpoint.Worker,
		Attempt:    a.number,
		Result:     reason.Result(),
		Load:       load,
		Answered:   !t.AwaitsAnswer(a.invocation.Number),
	})
}

// mayHaveRun reports whether an attempt may have run though the reason of its end says that it has
// not: its worker had started it, or may mean an earlier attempt.
func (a *attempt) mayHaveRun(reason conn.CloseReason) bool {
	if a.started && reason.ProvesNotRun() {
		return true
	}
	return reason == conn.Returned && a.sameWorkerBefore && a.invocation.needsProofNotRun()
}

// endExchange ends the exchange of an attempt that ends before its response has come.
func (t *Transport) endExchange(a *attempt, stoppedByUs bool) {
	x := a.exchange
	if x == nil {
		return
	}
	if stoppedByUs || !a.written || x.connection.socket.Unsent() > 0 {
		// Before the 202 an attempt is cancelled by closing its connection. A connection that comes
		// up now must not send it any more, and the last byte of an attempt that has ended must not
		// be written.
		x.abort()
		return
	}
	// A callback came before the 202, which may still follow.
	x.onDone = ignoreResponse
	x.timeout = t.loop.After(lateResponseTimeout, x.abort)
}

// ignoreResponse is the onDone of an exchange whose response decides nothing.
func ignoreResponse(*http1.Message, conn.CloseReason) {}

// sendCancel asks a worker to stop an attempt that it has accepted.
func (t *Transport) sendCancel(a *attempt) {
	t.Counts.Cancels++
	request := http1.Request("DELETE", "/jobs/"+a.invocation.ID, a.worker.address, nil)
	x := &exchange{buildRequest: unconditional(request), onDone: ignoreResponse}
	if t.startExchange(a.worker, x) {
		x.timeout = t.loop.After(cancelTimeout, x.abort)
	}
}

// Cancel cancels an attempt; one that has ended has had its event and is left alone.
func (t *Transport) Cancel(inv dispatch.InvocationID, number int) {
	if a := t.attempts[attemptKey{invocation: inv, number: number}]; a != nil {
		t.endAttempt(a, conn.Cancelled, nil)
	}
}
