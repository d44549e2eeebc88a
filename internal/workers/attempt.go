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
	// cancelTimeout bounds the wait for a worker's response to a cancel request.
	cancelTimeout = time.Second
	// lateResponseTimeout bounds the wait for the 202 response of an attempt that a callback has
	// already ended.
	lateResponseTimeout = time.Second
	// minTimeLeft is the shortest time left until the client timeout with which an attempt is sent.
	// It is the resolution of the X-Budget header.
	minTimeLeft = time.Millisecond
	// timeBudgetDecimals is the number of decimal places of the X-Budget header, whose value is in
	// seconds.
	timeBudgetDecimals = 3
)

// attemptKey identifies an attempt by the dispatcher's identifiers: the invocation and the
// attempt's number within it.
type attemptKey struct {
	invocation dispatch.InvocationID
	number     int
}

// callbackKey identifies an attempt by the identifiers that a callback carries. The call ID alone
// is not enough: hedged attempts of one invocation at different workers share it.
type callbackKey struct {
	callID    string
	workerUID string
}

// attempt is one try to run an invocation at a worker.
type attempt struct {
	invocation  *Invocation
	number      int
	worker      *worker
	exchange    *exchange   // nil once it is done, and for an attempt that another process sent
	sendStarted bool        // some of the request may have been written
	accepted    bool        // the worker has responded 202: the connection is free again, the worker's slot is not
	started     bool        // a callback has reported that the work has started
	timeout     *conn.Timer // fires at the client timeout
}

func (a *attempt) key() attemptKey {
	return attemptKey{invocation: a.invocation.Number, number: a.number}
}

func (a *attempt) callbackKey() callbackKey {
	return callbackKey{callID: a.invocation.ID, workerUID: a.worker.uid}
}

// Forward starts an attempt. Its end is reported through OnEvent. No byte of it is written at or
// after notAfter, by the loop's clock; 0 means that only the client timeout bounds it.
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
		SendBefore:  notAfter,
		MinTimeLeft: minTimeLeft,
	})
	t.startExchange(w, a.exchange)
}

// target returns the attempt's worker with its current entry in the endpoint list.
func (a *attempt) target() invariant.Target {
	return invariant.Target{UID: a.worker.uid, Endpoint: a.worker.endpoint}
}

// track registers an attempt as in flight and starts its client timeout.
func (t *Transport) track(a *attempt) {
	t.attempts[a.key()] = a
	t.attemptsByCallback[a.callbackKey()] = a
	a.timeout = t.loop.After(a.invocation.Deadline-t.loop.Now(), func() { t.endAttempt(a, conn.TimedOut, nil) })
}

// untrack removes an attempt that this process no longer has in flight.
func (t *Transport) untrack(a *attempt) {
	delete(t.attempts, a.key())
	delete(t.attemptsByCallback, a.callbackKey())
	a.timeout.Stop()
}

// newAttemptExchange returns the exchange that carries an attempt. check describes the attempt as
// the dispatcher decided it.
func (t *Transport) newAttemptExchange(a *attempt, check invariant.Attempt) *exchange {
	return &exchange{
		isAttempt:        true,
		needsProofNotRun: a.invocation.needsProofNotRun(),
		buildRequest:     func() conn.Outgoing { return t.buildAttempt(a, check) },
		onFirstByte: func() {
			check.Current = a.target()
			t.Invariants.AttemptStarted(check)
			a.sendStarted = true
			a.invocation.written = append(a.invocation.written, writtenAttempt{number: a.number, worker: a.worker})
		},
		onWritten: t.OnWritten,
		onDone:    func(response *http1.Message, reason conn.CloseReason) { t.handleAttemptResponse(a, response, reason) },
	}
}

// buildAttempt builds the request of an attempt immediately before it is sent, with the time left
// until the client timeout in its X-Budget header.
func (t *Transport) buildAttempt(a *attempt, check invariant.Attempt) conn.Outgoing {
	inv := a.invocation
	timeLeft := (inv.Deadline - t.loop.Clock()).Seconds()
	timeBudget := http1.Field{Name: "X-Budget", Value: strconv.FormatFloat(timeLeft, 'f', timeBudgetDecimals, 64)}
	fields := append(slices.Clip(inv.HeaderFields), timeBudget)
	return conn.Outgoing{
		Bytes:        http1.EncodeRequest(inv.Method, inv.Target, a.worker.address, inv.Body, fields...),
		Deadline:     earlier(inv.Deadline, check.SendBefore),
		CheckAllowed: func() conn.CloseReason { return t.checkSend(a, check) },
	}
}

// earlier returns the earlier of deadline and bound; a bound of 0 is ignored.
func earlier(deadline, bound time.Duration) time.Duration {
	if bound > 0 {
		return min(deadline, bound)
	}
	return deadline
}

// handleAttemptResponse processes the response to an attempt. response is nil if there is none, and
// reason says why.
func (t *Transport) handleAttemptResponse(a *attempt, response *http1.Message, reason conn.CloseReason) {
	a.exchange = nil
	if response == nil {
		t.endAttempt(a, reason, nil)
		return
	}
	if response.Status == statusAccepted {
		a.accepted = true
		t.OnEvent(dispatch.AttemptProgress{
			Invocation: a.invocation.Number,
			Worker:     a.worker.endpoint.Worker,
			Attempt:    a.number,
			Accepted:   true,
		})
		return
	}
	reason = responseReason(response)
	if reason == conn.Succeeded {
		// Results arrive only by callback, so a response that looks like a result does not come
		// from a worker.
		reason = conn.Malformed
	}
	t.endAttempt(a, reason, t.parseLoad(a.worker, response))
}

// endAttempt ends an attempt and reports its outcome. It does nothing if the attempt has already
// ended.
func (t *Transport) endAttempt(a *attempt, reason conn.CloseReason, load *dispatch.LoadReport) {
	if t.attempts[a.key()] != a {
		return
	}
	t.untrack(a)
	if a.started && reason.ProvesNotRun() {
		reason = conn.Lost // the worker had reported that it started
	}
	stoppedLocally := reason == conn.Cancelled || reason == conn.TimedOut
	t.endExchange(a, stoppedLocally)
	if a.accepted && stoppedLocally && t.deployment.Dispatch.Limits.Cancel {
		t.sendCancel(a)
	}
	t.Invariants.AttemptEnded(a.invocation.Number, a.number, reason.String(), !reason.ProvesNotRun())
	t.Counts.AttemptsByReason[reason.String()]++
	t.OnEvent(dispatch.Outcome{
		Invocation: a.invocation.Number,
		Worker:     a.worker.endpoint.Worker,
		Attempt:    a.number,
		Result:     reason.Result(),
		Load:       load,
		Answered:   !t.AwaitsAnswer(a.invocation.Number),
	})
}

// endExchange ends the exchange of an attempt that has ended before its response arrived.
func (t *Transport) endExchange(a *attempt, stoppedLocally bool) {
	x := a.exchange
	if x == nil {
		return
	}
	if stoppedLocally || !a.sendStarted || x.connection.socket.Unsent() > 0 {
		// Before the 202, an attempt is cancelled by closing its connection. A connection that is
		// still being dialled must not send the request later, and the last byte of an attempt that
		// has ended must not be written.
		x.abort()
		return
	}
	// The final callback arrived before the 202, which may still follow.
	x.onDone = ignoreResponse
	x.timeout = t.loop.After(lateResponseTimeout, x.abort)
}

// ignoreResponse is the onDone of an exchange whose response has no effect.
func ignoreResponse(*http1.Message, conn.CloseReason) {}

// sendCancel asks the worker to stop an attempt that it has accepted. The response is ignored.
func (t *Transport) sendCancel(a *attempt) {
	t.Counts.Cancels++
	request := http1.EncodeRequest("DELETE", "/jobs/"+a.invocation.ID, a.worker.address, nil)
	x := &exchange{buildRequest: unconditional(request), onDone: ignoreResponse}
	if t.startExchange(a.worker, x) {
		x.timeout = t.loop.After(cancelTimeout, x.abort)
	}
}

// Cancel ends an attempt as cancelled. It does nothing if the attempt has already ended, as its
// outcome has then been reported.
func (t *Transport) Cancel(inv dispatch.InvocationID, number int) {
	if a := t.attempts[attemptKey{invocation: inv, number: number}]; a != nil {
		t.endAttempt(a, conn.Cancelled, nil)
	}
}
