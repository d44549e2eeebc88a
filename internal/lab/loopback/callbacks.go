package loopback

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"stoatweir/internal/lab/model"
)

const (
	maxCallbackAttempts = 10                     // attempts to deliver one callback
	callbackRetryDelay  = 100 * time.Millisecond // pause between two attempts
)

// callback is the JSON body of a worker's callback to a scheduler.
type callback struct {
	From   string   `json:"from"`
	ID     string   `json:"id"`
	Result string   `json:"result,omitempty"`
	Share  *float64 `json:"share,omitempty"` // part of the attempt's work that is done, from 0 to 1
	State  string   `json:"state,omitempty"`
}

// callbackOf returns the callback for an event at a worker, and the cause of the attempt's end for the
// rule checker. The cause is empty if the attempt goes on.
func callbackOf(event model.Callback, share float64, id, uid string) (c callback, cause string) {
	c = callback{From: uid, ID: id}
	switch event {
	case model.Started:
		c.State = "started"
	case model.Progress:
		c.State = "running"
		c.Share = &share
	case model.Completed:
		c.State = "done"
		c.Result = fmt.Sprintf("made %s at %s", id, uid)
		cause = "completed"
	case model.Failed:
		c.State = "failed"
		cause = "failed"
	case model.Returned:
		c.State = "returned"
		cause = "returned without having started"
	case model.Lost:
		c.State = "lost"
		cause = "lost when its process exited"
	}
	return c, cause
}

// notifyScheduler sends a callback to a scheduler. An attempt counts as ended only once its scheduler
// has accepted the callback that says so.
func (r *run) notifyScheduler(_ time.Duration, a *model.Attempt, event model.Callback, share float64) {
	sent := r.requests[a.Request.ID]
	if sent == nil {
		return
	}
	c, cause := callbackOf(event, share, sent.wireID, r.model.Cluster.Machines[a.Machine].UID)
	if event == model.Completed {
		sent.results[c.Result] = true
	}
	s := r.schedulers[sent.scheduler]
	r.sending.Go(func() {
		if !s.notify(c) || cause == "" {
			return
		}
		r.post(func(now time.Duration) {
			r.model.Rules.AttemptEnded(now, a.Request, a.Number, event == model.Returned, cause)
		})
	})
}

// notify sends a callback until the scheduler accepts it, at most maxCallbackAttempts times, and
// reports whether it did.
func (s *scheduler) notify(c callback) bool {
	text, err := json.Marshal(c)
	if err != nil {
		return false
	}
	for range maxCallbackAttempts {
		if s.postCallback(text) {
			return true
		}
		select {
		case <-time.After(callbackRetryDelay):
		case <-s.run.ctx.Done():
			return false
		}
	}
	return false
}

// postCallback sends a callback once, and reports whether the scheduler accepted it.
func (s *scheduler) postCallback(text []byte) bool {
	response, err := s.client.Post("http://"+s.address+"/_jobs/news", "application/json", bytes.NewReader(text))
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK || response.StatusCode == http.StatusNoContent
}
