package simwire

import (
	"fmt"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/settings"
)

// eventWriter packs the events of a batch.
type eventWriter struct{ frameWriter }

func newEventWriter() eventWriter {
	w := eventWriter{frameWriter{headerSize: batchHeaderSize}}
	w.reset()
	return w
}

func (w *eventWriter) begin(code eventCode, scheduler uint32) { w.record(uint8(code), scheduler) }

// event packs one event of an instance that was started at startedAt. An event that the protocol does not have and nobody
// misses is left out; any other that it does not have is an error.
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
	for _, p := range update.Endpoints {
		w.worker(p.Worker)
		w.u8(uint8(p.Zone))
		w.u8(uint8(p.Kind))
		w.u16(uint16(p.Cell))
		w.u8(codeByEndpointState[p.State])
		w.f32(fullRating)
		w.f64(workerStart(p, startedAt))
	}
}

// workerStart is when a worker started, as a reading of the clock.
func workerStart(p dispatch.Endpoint, startedAt time.Duration) float64 {
	if !p.StartKnown {
		return longAgo
	}
	clock := (p.StartedAt + startedAt).Seconds()
	if clock == longAgo {
		return nearLongAgo
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
	marks := uint16(0)
	if a.Hint > 0 {
		marks |= hintValid
	}
	w.u16(marks)
}

func (w *eventWriter) attemptProgress(scheduler uint32, p dispatch.AttemptProgress) {
	if p.Accepted {
		return // the protocol does not have it
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
