package simwire

import (
	"fmt"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/settings"
)

// eventWriter encodes the events of a batch.
type eventWriter struct{ frameWriter }

func newEventWriter() eventWriter {
	w := eventWriter{frameWriter{headerSize: batchHeaderSize}}
	w.reset()
	return w
}

func (w *eventWriter) begin(code eventCode, scheduler uint32) { w.record(uint8(code), scheduler) }

// event encodes one event of an instance that was started at startedAt. The protocol has no record for
// the acceptance of an attempt, which is omitted because nothing depends on it. Any other event without
// a record is an error.
func (w *eventWriter) event(scheduler uint32, startedAt time.Duration, report settings.Report, event dispatch.Event) error {
	switch e := event.(type) {
	case dispatch.EndpointUpdate:
		w.endpointUpdate(scheduler, startedAt, e)
	case dispatch.Arrival:
		w.arrival(scheduler, e)
	case dispatch.AttemptProgress:
		w.attemptProgress(scheduler, e)
	case dispatch.Outcome:
		w.outcome(scheduler, report, e)
	case dispatch.ClientDisconnected:
		w.begin(eventWithdrawn, scheduler)
		w.invocation(e.Invocation)
	case dispatch.HealthCheckResult:
		w.begin(eventHealth, scheduler)
		w.worker(e.Worker)
		w.u16(statusByResult[e.Result])
		w.f64(e.Latency.Seconds())
		w.load(e.Load, report)
	case dispatch.TimerFired:
		w.begin(eventTickDue, scheduler)
		w.u64(noToken)
	default:
		return fmt.Errorf("the protocol has no event for %T", event)
	}
	return nil
}

func (w *eventWriter) endpointUpdate(scheduler uint32, startedAt time.Duration, update dispatch.EndpointUpdate) {
	w.begin(eventDirectoryUpdate, scheduler)
	w.u64(0) // version of the list
	w.u8(formByUpdateKind[update.Kind])
	w.u32(uint32(len(update.Endpoints)))
	for _, endpoint := range update.Endpoints {
		w.worker(endpoint.Worker)
		w.u8(uint8(endpoint.Zone))
		w.u8(uint8(endpoint.Kind))
		w.u16(uint16(endpoint.Cell))
		w.u8(codeByEndpointState[endpoint.State])
		w.f32(fullRating)
		w.f64(workerStart(endpoint, startedAt))
	}
}

// workerStart returns the start time of a worker by the clock of the run, in seconds, or
// startedBeforeRun if it is unknown.
func workerStart(endpoint dispatch.Endpoint, startedAt time.Duration) float64 {
	if !endpoint.StartKnown {
		return startedBeforeRun
	}
	clock := (endpoint.StartedAt + startedAt).Seconds()
	if clock == startedBeforeRun {
		return nearZeroStartSeconds
	}
	return clock
}

func (w *eventWriter) arrival(scheduler uint32, a dispatch.Arrival) {
	w.begin(eventInbound, scheduler)
	w.invocation(a.Invocation)
	w.u16(uint16(a.Operation))
	w.u16(uint16(a.Tenant))
	w.u64(0) // key
	w.f64(a.Budget.Seconds())
	w.f64(a.Hint)
	w.f32(a.Slots)
	w.f32(0) // memory
	flags := uint16(0)
	if a.Hint > 0 {
		flags |= hintValid
	}
	w.u16(flags)
}

func (w *eventWriter) attemptProgress(scheduler uint32, p dispatch.AttemptProgress) {
	if p.Accepted {
		return // the protocol has no record for it
	}
	w.begin(eventHeartbeat, scheduler)
	w.invocation(p.Invocation)
	w.u8(uint8(p.Attempt))
	w.worker(p.Worker)
	if p.Started {
		w.u8(heartbeatStarted)
	} else {
		w.u8(heartbeatProgress)
	}
	w.f32(p.Done)
}

func (w *eventWriter) outcome(scheduler uint32, report settings.Report, o dispatch.Outcome) {
	w.begin(eventCompleted, scheduler)
	w.invocation(o.Invocation)
	w.u8(uint8(o.Attempt))
	w.u16(statusByResult[o.Result])
	w.f64(0) // elapsed time
	w.u8(0)  // note
	w.flag(o.Answered)
	w.worker(o.Worker)
	w.load(o.Load, report)
}
