package main

import (
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/tenants"
	"stoatweir/internal/workers"
)

// trackedRequest is the state of a request that dispatcher actions may still refer to.
type trackedRequest struct {
	*workers.Invocation
	// operation is the operation's index in the deployment. Reloads don't reassign it while the
	// request is tracked.
	operation int
	// attempts is the number of attempts made so far. Attempts are numbered from 0.
	attempts int
	// inFlight is the number of attempts without an outcome.
	inFlight int
	// account is the tenant's account. It is nil if no tenants are served or the request was
	// migrated from another process.
	account *tenants.Account
	// sentAt holds the event-loop time of each attempt, by attempt number. It is only filled if
	// account is set.
	sentAt []time.Duration
}

// effect returns the effect class of an operation.
func (s *service) effect(operation int) dispatch.Effect {
	return s.deployment.Dispatch.Operations[operation].Effect
}

// trackRequest starts tracking a request received from a client.
func (s *service) trackRequest(invocation *workers.Invocation, operation int) {
	invocation.Effect = s.effect(operation)
	s.requests[invocation.Number] = &trackedRequest{
		Invocation: invocation,
		operation:  operation,
		account:    s.tenancy.accountFor(invocation.ID),
	}
	s.workers.Invariants.RequestAdmitted(invocation.Number, s.requestLimits(invocation, operation))
}

// recordOutcome updates the number of attempts in flight after an attempt outcome, and stops
// tracking the request once nothing is left of it.
func (s *service) recordOutcome(event dispatch.Event) {
	id, _ := event.About()
	request := s.requests[id]
	if request == nil {
		return
	}
	if outcome, ok := event.(dispatch.Outcome); ok {
		request.inFlight--
		s.tenancy.attemptEnded(request, outcome)
	}
	s.releaseIfDone(id)
}

// releaseIfDone stops tracking a request once its client has been answered and no attempt is in
// flight.
func (s *service) releaseIfDone(id dispatch.InvocationID) {
	request := s.requests[id]
	if request == nil || request.inFlight > 0 || s.clients.AwaitsAnswer(id) {
		return
	}
	delete(s.requests, id)
	s.clients.ReleaseID(request.ID, request.attempts > 0)
}

// execute carries out an action of the dispatcher.
func (s *service) execute(action dispatch.Action) {
	switch a := action.(type) {
	case dispatch.Forward:
		s.forward(a)
	case dispatch.Throttle:
		s.clients.Throttle(a.Invocation, a.RetryAfter)
		s.releaseIfDone(a.Invocation)
	case dispatch.Fail:
		s.clients.Fail(a.Invocation)
		s.releaseIfDone(a.Invocation)
	case dispatch.Cancel:
		s.workers.Cancel(a.Invocation, a.Attempt)
	case dispatch.HealthCheck:
		s.workers.HealthCheck(a.Worker)
	case dispatch.SetTimer:
		s.dispatchTimer.Stop()
		s.dispatchTimer = s.loop.After(a.At-s.loop.Now(), func() { s.Notify(dispatch.TimerFired{}) })
	case dispatch.SendGossip:
		if s.gossip != nil {
			s.gossip.Send(a.To, a.Entries)
		}
	case dispatch.WatchEndpoints:
		s.endpoints.Watch()
	case dispatch.Log:
		s.log.WithFields(logFieldsOf(a)).Info(a.Message)
	}
}

// forward starts the next attempt of a request.
func (s *service) forward(a dispatch.Forward) {
	request := s.requests[a.Invocation]
	if request == nil {
		return
	}
	number := request.attempts
	request.attempts++
	request.inFlight++
	if request.account != nil {
		request.sentAt = append(request.sentAt, s.loop.Now())
	}
	s.workers.Forward(request.Invocation, number, a.Worker, a.NotAfter)
}
