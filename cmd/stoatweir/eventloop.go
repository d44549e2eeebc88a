package main

import (
	"maps"
	"runtime/debug"
	"slices"
	"time"

	"stoatweir/dispatch"
)

const (
	// restartDelay is the time before the next turn of the event loop after the dispatcher was restarted: whatever made it
	// panic may still be so.
	restartDelay = 20 * time.Millisecond

	// reasonRestarted is the reason of answers to requests whose dispatcher has panicked. It is on the wire.
	reasonRestarted = "the decisions start anew"
	// reasonTimeToStopOver is the reason of answers to requests that a stop leaves no time for. It is on the wire.
	reasonTimeToStopOver = "the time to stop is over"
)

// loopTask is a function that runs on the event loop; somebody waits for it.
type loopTask func()

// Run implements conn.Task.
func (t loopTask) Run() { t() }

// Notify queues an event for the next decision. It implements takeover.Dispatcher.
func (s *service) Notify(event dispatch.Event) { s.events = append(s.events, event) }

// Decide calls the dispatcher for as long as there are events; what it orders can cause further ones. It ends each turn of
// the event loop, and implements takeover.Dispatcher.
func (s *service) Decide() {
	s.schedulePublishing()
	for len(s.events) > 0 {
		events := s.events
		s.events = nil
		s.lastDecision = max(s.loop.Now(), s.lastDecision+1)
		began := time.Now()
		actions, ok := s.callDispatcher(s.lastDecision, events)
		if !ok {
			s.restartDispatcher()
			return
		}
		s.decisionLatency.RecordValue(time.Since(began).Microseconds())
		for _, event := range events {
			s.recordOutcome(event)
		}
		for _, action := range actions {
			s.execute(action)
		}
	}
}

// callDispatcher hands events to the dispatcher, and reports whether it has returned. A fault in it must not end the
// process with all requests in flight.
func (s *service) callDispatcher(now time.Duration, events []dispatch.Event) (actions []dispatch.Action, ok bool) {
	defer func() {
		if cause := recover(); cause != nil {
			s.recordPanic(cause)
		}
	}()
	return s.dispatcher.Handle(now, events), true
}

// recordPanic counts and logs a panic that was recovered.
func (s *service) recordPanic(cause any) {
	s.panics++
	s.log.WithField("panic", cause).WithField("stack", string(debug.Stack())).Error("panic recovered")
}

// restartDispatcher replaces the dispatcher by one that knows the endpoint list and nothing else. Requests that the old one
// decided on are answered, and their attempts are cancelled.
func (s *service) restartDispatcher() {
	s.log.WithField("in_flight", s.clients.InFlight()).Error("dispatcher restarted")
	s.failRemaining(reasonRestarted)
	for _, id := range slices.Sorted(maps.Keys(s.requests)) {
		request := s.requests[id]
		for attempt := range request.attempts {
			s.workers.Cancel(id, attempt)
		}
		s.clients.ReleaseID(request.ID, request.attempts > 0)
	}
	s.requests = map[dispatch.InvocationID]*trackedRequest{}
	s.seed++
	s.dispatcher = dispatch.New(s.deployment.Dispatch, s.seed)
	s.events = []dispatch.Event{s.workers.Endpoints()}
	if s.tenancy != nil {
		s.tenancy.admission.Republish()
		s.tenancy.updateQuotas()
	}
	s.endpoints.Watch() // the new dispatcher takes its first list for a sign that the watch is established
	s.loop.After(restartDelay, func() {})
}

// failRemaining answers all requests in flight. One that was never sent may be repeated whatever its operation.
func (s *service) failRemaining(reason string) {
	s.reasonOverride = reason
	defer func() { s.reasonOverride = "" }()
	for _, id := range s.clients.Unanswered() {
		request := s.requests[id]
		if request != nil && request.attempts == 0 {
			s.clients.Throttle(id, 0)
		} else {
			s.clients.Fail(id)
		}
		s.Notify(dispatch.ClientDisconnected{Invocation: id})
	}
}
