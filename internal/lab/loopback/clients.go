package loopback

import (
	"time"

	"stoatweir/internal/lab/load"
	"stoatweir/internal/lab/model"
)

const (
	sendOvertime     = time.Second      // after its deadline, in which a client waits for an answer
	attemptKeptAfter = 10 * time.Second // after its deadline, in which workers may still be sent an attempt
)

// clientAttempt is a client's attempt at a scheduler, and what has reached workers of it.
type clientAttempt struct {
	job       *model.Request
	scheduler int
	attempts  []*model.Attempt // of the scheduler at workers
	results   map[string]bool  // that workers made
	wireID    string           // its id as workers were sent it
}

// scheduleArrival plans the next invocation.
func (r *run) scheduleArrival() {
	j, more := r.source.Next()
	if !more {
		r.exhausted = true
		return
	}
	r.at(j.At, func(time.Duration) {
		r.model.Statistics.InvocationOffered(&j)
		r.unfinished++
		r.lastDeadline = max(r.lastDeadline, j.Deadline)
		r.send(&j)
		r.scheduleArrival()
	})
}

// route chooses a scheduler for a client's attempt, as the front end does: among those of a zone
// that are not known to be gone. Nil: there is none.
func (r *run) route(now time.Duration, j *model.Request) *scheduler {
	isGone := func(n int) bool { return !r.schedulers[n].up && now >= r.schedulers[n].noticed }
	n := r.model.Clients.Route(j, isGone)
	if n < 0 {
		return nil
	}
	return r.schedulers[n]
}

// send sends a client's attempt in a goroutine of its own: nothing that it waits for may delay the
// next one.
func (r *run) send(j *model.Request) {
	now := r.now()
	r.model.Statistics.Requests++
	s := r.route(now, j)
	if s == nil {
		r.attemptEnded(now, j, load.Answer{Reply: model.NoScheduler})
		return
	}
	c := &clientAttempt{job: j, scheduler: s.number, results: map[string]bool{}}
	r.attempts[j.ID] = c
	r.model.Rules.RequestReceived(now, s.number, j)
	within := j.Deadline + sendOvertime - now
	if j.DisconnectAt > now {
		within = min(within, j.DisconnectAt-now)
		r.at(j.DisconnectAt, func(now time.Duration) { r.model.Rules.ClientDisconnected(now, j) })
	}
	r.at(j.Deadline+r.scenario.Rules.AnswerSlack.D(), func(now time.Duration) {
		r.attemptEnded(now, j, load.Answer{Reply: model.Unanswered})
	})
	r.at(j.Deadline+attemptKeptAfter, func(time.Duration) { delete(r.attempts, j.ID) })
	r.audit.RequestSent(j.At, now)
	r.sending.Go(func() {
		a := r.sender.Send(r.ctx, s.address, j, j.Deadline-r.now(), within)
		r.post(func(now time.Duration) { r.answered(now, c, a) })
	})
}

// answered takes what a client got for an attempt.
func (r *run) answered(now time.Duration, c *clientAttempt, a load.Answer) {
	j := c.job
	switch a.Reply {
	case model.NoScheduler: // the scheduler has never read it
		r.model.Rules.ClientDisconnected(now, j)
	case model.Unanswered:
	default:
		r.model.Rules.RequestAnswered(now, c.scheduler, j, a.Reply)
		if a.Reply == model.Succeeded && !c.results[a.Body] {
			r.model.Rules.ResultCorrupted(now, c.scheduler, j, a.Body)
		}
	}
	if a.Reply == model.Unanswered && j.DisconnectAt > 0 && now >= j.DisconnectAt {
		a.Reply = model.Disconnected
	}
	r.attemptEnded(now, j, a)
}

// attemptEnded ends a client's attempt, once. The client may retry.
func (r *run) attemptEnded(now time.Duration, j *model.Request, a load.Answer) {
	if !r.model.Clients.FirstReply(j) {
		return
	}
	if next, retries := r.model.Clients.Retry(now, j, a.Reply, a.RetryAfter); retries {
		r.at(next.At, func(time.Duration) { r.send(&next) })
		return
	}
	r.unfinished--
	r.model.Statistics.InvocationEnded(now, j, a.Reply)
}
