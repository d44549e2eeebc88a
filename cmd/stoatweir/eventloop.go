package main

import (
	"maps"
	"runtime/debug"
	"slices"
	"time"

	"stoatweir/dispatch"
)

const (
	// dispatcherRestartDelay is the time until the next event-loop iteration after the dispatcher
	// was restarted. The cause of the panic may persist, so the dispatcher is not called again at
	// once.
	dispatcherRestartDelay = 20 * time.Millisecond

	// reasonRestarted is the reason given in answers to requests whose dispatcher has panicked.
	// Clients see it on the wire.
	reasonRestarted = "the decisions start anew"
	// reasonStopTimeOver is the reason given in answers to requests that could not be completed
	// before the process has to exit. Clients see it on the wire.
	reasonStopTimeOver = "the time to stop is over"
)

// loopTask is a function that other goroutines post to run on the event loop.
type loopTask func()

// Run implements conn.Task.
func (t loopTask) Run() { t() }

// Notify queues an event for the next decision. It implements takeover.Dispatcher.
func (s *service) Notify(event dispatch.Event) { s.events = append(s.events, event) }

// Decide calls the dispatcher until no events are queued; executing its actions can queue further
// ones. It runs at the end of each event-loop iteration, and implements takeover.Dispatcher.
func (s *service) Decide() {
	s.schedulePublishing()
	for len(s.events) > 0 {
		events := s.events
		s.events = nil
		s.lastDecision = max(s.loop.Now(), s.lastDecision+1)
		start := time.Now()
		actions, ok := s.callDispatcher(s.lastDecision, events)
		if !ok {
			s.restartDispatcher()
			return
		}
		s.decisionLatency.RecordValue(time.Since(start).Microseconds())
		for _, event := range events {
			s.recordOutcome(event)
		}
		for _, action := range actions {
			s.execute(action)
		}
	}
}

// callDispatcher passes events to the dispatcher and reports whether it returned without a panic. A
// panic is recovered, as it must not end the process and lose all requests in flight.
func (s *service) callDispatcher(now time.Duration, events []dispatch.Event) (actions []dispatch.Action, ok bool) {
	defer func() {
		if cause := recover(); cause != nil {
			s.recordPanic(cause)
		}
	}()
	return s.dispatcher.Handle(now, events), true
}

// recordPanic counts and logs a recovered panic.
func (s *service) recordPanic(cause any) {
	s.panics++
	s.log.WithField("panic", cause).WithField("stack", string(debug.Stack())).Error("panic recovered")
}

// restartDispatcher replaces the dispatcher by a new one that knows only the endpoint list. All
// requests of the old one are answered, and their attempts are cancelled.
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
	s.endpoints.Watch() // the new dispatcher takes its first endpoint list as a sign that the watch is established
	s.loop.After(dispatcherRestartDelay, func() {})
}

// failRemaining answers all requests in flight. A request that was never sent to a worker is
// throttled rather than failed: it can safely be repeated whatever its operation.
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
