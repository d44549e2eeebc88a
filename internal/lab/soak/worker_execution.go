package soak

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"
)

const (
	maxCallbackAttempts = 10                     // attempts to deliver one callback
	callbackRetryDelay  = 100 * time.Millisecond // pause between two attempts
	lostResponseWait    = 150 * time.Millisecond // time after which a callback whose response was lost is repeated
)

// callbackState is the state of an attempt in a worker's callback to the scheduler.
type callbackState string

const (
	stateStarted  callbackState = "started"
	stateDone     callbackState = "done"
	stateReturned callbackState = "returned"
	stateFailed   callbackState = "failed"
)

// execute runs an attempt once there is a slot, and notifies its scheduler, unless the incarnation has
// ended.
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
	if w.releaseSlot(incarnation) {
		a.markEnded()
		w.notify(a, stateDone)
	}
}

// acquireSlot waits for a slot and reports whether it got one. It doesn't if the incarnation has ended,
// or after longestTimeout, when no client waits for the result any more.
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
	granted := make(chan struct{})
	w.waiting = append(w.waiting, granted)
	w.mu.Unlock()
	select {
	case <-granted:
		return true
	case <-time.After(longestTimeout):
		go w.releaseAbandonedSlot(granted, incarnation)
		return false
	}
}

// releaseAbandonedSlot waits until a place in the queue whose request was abandoned is granted a slot,
// and releases that slot.
func (w *worker) releaseAbandonedSlot(granted <-chan struct{}, incarnation int) {
	select {
	case <-granted:
		w.releaseSlot(incarnation)
	case <-w.harness.ctx.Done():
	}
}

// releaseSlot hands a slot to the next request in the queue, or frees it. It reports whether the
// result may be sent: not if the incarnation that had the slot has ended, or the worker hangs.
func (w *worker) releaseSlot(incarnation int) bool {
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

// resultOf returns the result that a worker makes for a request.
func resultOf(id string) string { return "made " + id }

// workerCallback is the JSON body of a callback.
type workerCallback struct {
	ID     string        `json:"id"`
	From   string        `json:"from"`
	State  callbackState `json:"state"`
	Result string        `json:"result,omitempty"`
}

func newCallbackClient() *http.Client {
	return &http.Client{
		Timeout:   callbackTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleCallbackConns, IdleConnTimeout: callbackTimeout},
	}
}

// notify sends a callback to the attempt's scheduler until it receives the response that accepts it,
// at most maxCallbackAttempts times.
func (w *worker) notify(a *attempt, state callbackState) {
	callback := workerCallback{ID: a.request.id, From: w.uid, State: state}
	if state == stateDone {
		callback.Result = resultOf(a.request.id)
	}
	text, err := json.Marshal(callback)
	if err != nil {
		return
	}
	for range maxCallbackAttempts {
		wait := callbackRetryDelay
		if w.postCallback(a.request.scheduler, text) {
			if !w.drawLostResponse() {
				return
			}
			wait = lostResponseWait
		}
		select {
		case <-time.After(wait):
		case <-w.harness.ctx.Done():
			return
		}
	}
}

// postCallback sends a callback once, and reports whether the scheduler accepted it.
func (w *worker) postCallback(s *scheduler, text []byte) bool {
	response, err := w.client.Post("http://"+s.address+"/_jobs/news", "application/json", bytes.NewReader(text))
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK || response.StatusCode == http.StatusNoContent
}
