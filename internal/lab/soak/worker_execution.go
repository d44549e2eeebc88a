package soak

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"
)

const (
	callbackAttempts   = 10                     // calls to a scheduler with one callback
	callbackRetryAfter = 100 * time.Millisecond // pause between two of them
)

// callbackState is the state of an attempt that a worker notifies its scheduler of.
type callbackState string

const (
	stateStarted  callbackState = "started"
	stateDone     callbackState = "done"
	stateReturned callbackState = "returned"
	stateFailed   callbackState = "failed"
)

// execute does the work once there is a slot, unless the incarnation has ended.
func (w *worker) execute(a *attempt, incarnation int) {
	if !w.acquireSlot(incarnation) {
		return
	}
	w.mu.Lock()
	took := a.request.work
	if w.slowStart {
		took = time.Duration(float64(took) / capacityAt(time.Since(w.started)))
	}
	w.mu.Unlock()
	w.notify(a, stateStarted)
	time.Sleep(took)
	if w.release(incarnation) {
		a.markEnded()
		w.notify(a, stateDone)
	}
}

// acquireSlot waits for a slot. False: the incarnation has ended, or nobody waits for the result
// any more.
func (w *worker) acquireSlot(incarnation int) bool {
	w.mu.Lock()
	if w.incarnation != incarnation {
		w.mu.Unlock()
		return false
	}
	if w.running < slots {
		w.running++
		w.mu.Unlock()
		return true
	}
	turn := make(chan struct{})
	w.waiting = append(w.waiting, turn)
	w.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-time.After(longestTimeout):
		go w.passTurn(turn, incarnation)
		return false
	}
}

// passTurn gives the slot back that a place in the queue gets whose request nobody waits for.
func (w *worker) passTurn(turn <-chan struct{}, incarnation int) {
	select {
	case <-turn:
		w.release(incarnation)
	case <-w.harness.ctx.Done():
	}
}

// release gives a slot to the next in the queue. False: the incarnation that had it has ended, or
// hangs.
func (w *worker) release(incarnation int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.incarnation != incarnation {
		return false
	}
	if len(w.waiting) > 0 {
		close(w.waiting[0])
		w.waiting = w.waiting[1:]
	} else {
		w.running--
	}
	return !w.hangs
}

// resultOf is the result of a request.
func resultOf(id string) string { return "made " + id }

// workerCallback is the body of a callback.
type workerCallback struct {
	ID     string        `json:"id"`
	From   string        `json:"from"`
	State  callbackState `json:"state"`
	Result string        `json:"result,omitempty"`
}

func newCallbackClient() *http.Client {
	return &http.Client{
		Timeout:   callbackTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: callbackIdle, IdleConnTimeout: callbackTimeout},
	}
}

// notify calls the scheduler back until it has answered, or for callbackAttempts.
func (w *worker) notify(a *attempt, state callbackState) {
	callback := workerCallback{ID: a.request.id, From: w.uid, State: state}
	if state == stateDone {
		callback.Result = resultOf(a.request.id)
	}
	text, err := json.Marshal(callback)
	if err != nil {
		return
	}
	for range callbackAttempts {
		if w.post(a.request.scheduler, text) {
			return
		}
		select {
		case <-time.After(callbackRetryAfter):
		case <-w.harness.ctx.Done():
			return
		}
	}
}

// post says whether a scheduler has taken a callback.
func (w *worker) post(s *scheduler, text []byte) bool {
	response, err := w.client.Post("http://"+s.address+"/_jobs/news", "application/json", bytes.NewReader(text))
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK || response.StatusCode == http.StatusNoContent
}
