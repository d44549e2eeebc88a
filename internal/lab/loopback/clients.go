package loopback

import (
	"time"

	"stoatweir/internal/lab/load"
	"stoatweir/internal/lab/model"
)

const (
	answerGrace      = time.Second      // a client waits for an answer for this long after the deadline
	requestRetention = 10 * time.Second // workers may be sent attempts of a request for this long after its deadline
)

// clientRequest is a request that a client has sent to a scheduler, and what workers have seen of it.
type clientRequest struct {
	request   *model.Request
	scheduler int
	attempts  []*model.Attempt // those that workers have received
	results   map[string]bool  // results that workers have made for it
	wireID    string           // the request's ID as the scheduler sent it to workers
}

// scheduleArrival sets a timer for the next invocation.
func (r *run) scheduleArrival() {
	req, more := r.source.Next()
	if !more {
		r.exhausted = true
		return
	}
	r.setTimer(req.At, func(time.Duration) {
		r.model.Statistics.InvocationOffered(&req)
		r.unfinished++
		r.lastDeadline = max(r.lastDeadline, req.Deadline)
		r.send(&req)
		r.scheduleArrival()
	})
}

// route selects a scheduler for a client's request, as the front end does: one of a zone's that are
// not known to be down. It returns nil if there is none.
func (r *run) route(now time.Duration, req *model.Request) *scheduler {
	isKnownDown := func(n int) bool { return !r.schedulers[n].up && now >= r.schedulers[n].knownDownAt }
	n := r.model.Clients.Route(req, isKnownDown)
	if n < 0 {
		return nil
	}
	return r.schedulers[n]
}

// send sends a client's request in a new goroutine, so that waiting for its answer doesn't delay the
// next request.
func (r *run) send(req *model.Request) {
	now := r.now()
	r.model.Statistics.Requests++
	s := r.route(now, req)
	if s == nil {
		r.requestEnded(now, req, load.Answer{Reply: model.NoScheduler})
		return
	}
	sent := &clientRequest{request: req, scheduler: s.number, results: map[string]bool{}}
	r.requests[req.ID] = sent
	r.model.Rules.RequestReceived(now, s.number, req)
	timeout := req.Deadline + answerGrace - now
	if req.DisconnectAt > now {
		timeout = min(timeout, req.DisconnectAt-now)
		r.setTimer(req.DisconnectAt, func(now time.Duration) { r.model.Rules.ClientDisconnected(now, req) })
	}
	r.setTimer(req.Deadline+r.scenario.Rules.AnswerSlack.D(), func(now time.Duration) {
		r.requestEnded(now, req, load.Answer{Reply: model.Unanswered})
	})
	r.setTimer(req.Deadline+requestRetention, func(time.Duration) { delete(r.requests, req.ID) })
	r.audit.RequestSent(req.At, now)
	r.sending.Go(func() {
		a := r.sender.Send(r.ctx, s.address, req, req.Deadline-r.now(), timeout)
		r.post(func(now time.Duration) { r.requestAnswered(now, sent, a) })
	})
}

// requestAnswered handles the outcome of a client's request.
func (r *run) requestAnswered(now time.Duration, sent *clientRequest, a load.Answer) {
	req := sent.request
	switch a.Reply {
	case model.NoScheduler: // the scheduler has not read the request
		r.model.Rules.ClientDisconnected(now, req)
	case model.Unanswered:
	default:
		r.model.Rules.RequestAnswered(now, sent.scheduler, req, a.Reply)
		if a.Reply == model.Succeeded && !sent.results[a.Body] {
			r.model.Rules.ResultCorrupted(now, sent.scheduler, req, a.Body)
		}
	}
	if a.Reply == model.Unanswered && req.DisconnectAt > 0 && now >= req.DisconnectAt {
		a.Reply = model.Disconnected
	}
	r.requestEnded(now, req, a)
}

// requestEnded ends a client's request, or does nothing if it has ended already. The client may retry.
func (r *run) requestEnded(now time.Duration, req *model.Request, a load.Answer) {
	if !r.model.Clients.FirstReply(req) {
		return
	}
	if next, retries := r.model.Clients.Retry(now, req, a.Reply, a.RetryAfter); retries {
		r.setTimer(next.At, func(time.Duration) { r.send(&next) })
		return
	}
	r.unfinished--
	r.model.Statistics.InvocationEnded(now, req, a.Reply)
}
