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
	callbackAttempts   = 10                     // calls to a scheduler with one callback
	callbackRetryAfter = 100 * time.Millisecond // pause between two of them
)

// callback is the body of a worker's callback to a scheduler.
type callback struct {
	From   string   `json:"from"`
	ID     string   `json:"id"`
	Result string   `json:"result,omitempty"`
	Share  *float64 `json:"share,omitempty"` // of its run that has passed
	State  string   `json:"state,omitempty"`
}

// callbackOf is the callback for a sign of a worker, and the end of the attempt as the rule checker
// names it; empty: it goes on.
func callbackOf(sign model.Callback, share float64, id, uid string) (c callback, end string) {
	c = callback{From: uid, ID: id}
	switch sign {
	case model.Started:
		c.State = "started"
	case model.Progress:
		c.State = "running"
		c.Share = &share
	case model.Completed:
		c.State = "done"
		c.Result = fmt.Sprintf("made %s at %s", id, uid)
		end = "done"
	case model.Failed:
		c.State = "failed"
		end = "failed"
	case model.Returned:
		c.State = "returned"
		end = "returned unstarted"
	case model.Lost:
		c.State = "lost"
		end = "lost with its process"
	}
	return c, end
}

// notifyScheduler calls a scheduler back. An attempt has ended once its scheduler has answered.
func (r *run) notifyScheduler(_ time.Duration, a *model.Attempt, sign model.Callback, share float64) {
	attempt := r.attempts[a.Request.ID]
	if attempt == nil {
		return
	}
	c, end := callbackOf(sign, share, attempt.wireID, r.model.Fleet.Machines[a.Machine].UID)
	if sign == model.Completed {
		attempt.results[c.Result] = true
	}
	s := r.schedulers[attempt.scheduler]
	r.sending.Go(func() {
		if !s.notify(c) || end == "" {
			return
		}
		r.post(func(now time.Duration) {
			r.model.Rules.AttemptEnded(now, a.Request, a.Number, sign == model.Returned, end)
		})
	})
}

// notify calls the scheduler back until it has answered, callbackAttempts times at most. False: it
// has not.
func (s *scheduler) notify(c callback) bool {
	text, err := json.Marshal(c)
	if err != nil {
		return false
	}
	for range callbackAttempts {
		if s.postCallback(text) {
			return true
		}
		select {
		case <-time.After(callbackRetryAfter):
		case <-s.run.ctx.Done():
			return false
		}
	}
	return false
}

func (s *scheduler) postCallback(text []byte) bool {
	response, err := s.client.Post("http://"+s.address+"/_jobs/news", "application/json", bytes.NewReader(text))
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK || response.StatusCode == http.StatusNoContent
}
