package main

import (
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/tenants"
	"stoatweir/internal/workers"
)

// trackedRequest is a request for as long as the dispatcher may speak of it.
type trackedRequest struct {
	*workers.Invocation
	// operation is its index in the deployment, which reloads keep while the request is tracked.
	operation int
	// attempts is how many were made; they are numbered from 0.
	attempts int
	// inFlight is how many of these have no outcome yet.
	inFlight int
	// account is the tenant's; nil: the request is no tenant's, or was migrated.
	account *tenants.Account
	// sentAt is when each attempt was made, if account is set.
	sentAt []time.Duration
}

// effect is an operation's effect class.
func (s *service) effect(operation int) dispatch.Effect {
	return s.deployment.Dispatch.Operations[operation].Effect
}

// trackRequest begins to track a request that a client has sent.
func (s *service) trackRequest(invocation *workers.Invocation, operation int) {
	invocation.Effect = s.effect(operation)
	s.requests[invocation.Number] = &trackedRequest{
		Invocation: invocation,
		operation:  operation,
		account:    s.tenancy.accountFor(invocation.ID),
	}
	s.workers.Invariants.RequestAdmitted(invocation.Number, s.requestLimits(invocation, operation))
}

// recordOutcome counts attempts in flight.
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

// releaseIfDone stops tracking a request when its client has its answer and no attempt is in flight.
func (s *service) releaseIfDone(id dispatch.InvocationID) {
	request := s.requests[id]
	if request == nil || request.inFlight > 0 || s.clients.AwaitsAnswer(id) {
		return
	}
	delete(s.requests, id)
	s.clients.ReleaseID(request.ID, request.attempts > 0)
}

// execute carries out what the dispatcher has decided.
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
		s.log.WithFields(logFields(a)).Info(a.Message)
	}
}

// forward makes the next attempt of a request.
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
