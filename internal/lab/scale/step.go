package scale

import (
	"math"
	"time"
)

// Step is the result of one step of a sweep. With several schedulers, processor times, starts and most
// rates are means over them. Iterations, decisions, memory and descriptors are those of the worst
// scheduler. Outcomes, panics and the rate of changed entries are totals.
type Step struct {
	Value                       float64 `json:"value"` // of the key that is varied
	Workers                     int     `json:"workers"`
	Schedulers                  int     `json:"schedulers"`
	TotalSchedulers             int     `json:"told"`        // schedulers according to the settings
	TargetInFlight              int     `json:"in_hand_aim"` // target number of requests in flight, of each scheduler
	TargetStartsPerSecond       float64 `json:"starts_per_second_aim"`
	TargetReplacementsPerSecond float64 `json:"changes_per_second_aim"`

	Seconds                   float64 `json:"seconds"`
	Starts                    float64 `json:"starts"` // runs started by workers
	StartsPerS                float64 `json:"starts_per_second"`
	InFlight                  float64 `json:"in_hand"`            // requests in flight, mean of the start and the end of the window
	CPUPercent                float64 `json:"core_percent"`       // processor time, in percent of one core
	SystemCPUPercent          float64 `json:"system_percent"`     // the part of CPUPercent spent in the kernel
	IdleCPUPercent            float64 `json:"idle_core_percent"`  // the same as CPUPercent before any load; -1: not measured
	CPUMicrosPerStart         float64 `json:"us_per_start"`       // processor time of a start; -1: there were no starts
	WorstIterationMS          float64 `json:"worst_turn_ms"`      // longest iteration of the event loop in the window; 0: not reported
	WorstIterationEverMS      float64 `json:"worst_turn_ever_ms"` // since the start of the scheduler
	DecisionP99MS             float64 `json:"decided_p99_ms"`     // time of a decision, since the start of the scheduler
	DecisionMaxMS             float64 `json:"decided_worst_ms"`   // the longest, since the start of the scheduler
	RSS                       float64 `json:"rss_mb"`
	Peak                      float64 `json:"peak_mb"` // highest RSS
	Heap                      float64 `json:"heap_mb"`
	Allocations               float64 `json:"allocations_per_second"`
	Descriptors               int     `json:"descriptors"`
	ControlBytesPerSecond     float64 `json:"control_bytes_per_second"` // health checks, cancellations and gossip, with packet headers
	HealthChecksPerSecond     float64 `json:"probes_per_second"`
	CancelsPerS               float64 `json:"cancels_per_second"`
	HealthCheckBytesPerSecond float64 `json:"probe_bytes_per_second"` // of HTTP, in both directions
	GossipMessagesPerSecond   float64 `json:"messages_per_second"`    // gossip sent and received
	GossipBytesPerSecond      float64 `json:"message_bytes_per_second"`
	CallbacksPerSecond        float64 `json:"news_per_second"` // callbacks
	ListBytes                 float64 `json:"list_bytes_per_second"`
	ChangesPerS               float64 `json:"entries_changed_per_second"`
	DialsPerSecond            float64 `json:"dialled_per_second"` // connections that the scheduler opened to workers

	Offered          int64   `json:"Offered"`
	Succeeded        int64   `json:"Succeeded"`
	Throttled        int64   `json:"Throttled"`
	Errored          int64   `json:"Errored"`
	ConnectionErrors int64   `json:"Broken"`     // invocations whose connection failed
	CallbacksFailed  int64   `json:"NewsFailed"` // callbacks without a successful answer
	Unexpected       int64   `json:"Strange"`    // calls and messages that no scheduler should send
	Panics           int     `json:"Panics"`
	MaxLatenessMS    float64 `json:"clients_late_most_ms"` // from the scheduled time of an arrival to its sending

	Course []Moment `json:"course"` // of the window, one every sampleInterval
}

// Moment is the progress of a window up to one sample. Usage is that of the first scheduler.
type Moment struct {
	Seconds          float64 `json:"seconds"`
	Starts           int64   `json:"starts"`
	Changes          int64   `json:"entries_changed"`
	CPUSeconds       float64 `json:"cpu_seconds"`
	RSS              float64 `json:"rss_mb"`
	Heap             float64 `json:"heap_mb"`
	Collections      int64   `json:"collections"`
	WorstIterationMS float64 `json:"worst_turn_10s_ms"` // -1: not reported
}

// Sizes of the headers of a packet.
const (
	udpHeaderBytes = 28 // IPv4 and UDP
	tcpHeaderBytes = 52 // IPv4 and TCP with time stamps
)

// notMeasured marks a figure that was not measured.
const notMeasured = -1

// window is the part of a measurement that is reported as rates.
type window struct {
	first      sample
	last       sample
	schedulers float64
	seconds    float64
}

// rate returns the increase of a counter per second and scheduler.
func (w window) rate(first, last int64) float64 {
	return float64(last-first) / w.schedulers / w.seconds
}

// step computes the figures of a step from its samples.
func (m *measurement) step() Step {
	s := m.scenario
	w := window{first: m.windowStart, last: m.windowEnd, schedulers: float64(s.Schedulers),
		seconds: m.windowEnd.at.Sub(m.windowStart.at).Seconds()}
	step := Step{
		Workers:                     s.Workers,
		Schedulers:                  s.Schedulers,
		TotalSchedulers:             s.TotalSchedulers,
		TargetInFlight:              s.InFlight,
		TargetStartsPerSecond:       s.Starts,
		TargetReplacementsPerSecond: s.ReplacementsPerSecond,
		Seconds:                     w.seconds,
		IdleCPUPercent:              notMeasured,
		CPUMicrosPerStart:           notMeasured,
		WorstIterationMS:            milliseconds(m.worstIteration),
	}
	step.addTraffic(w)
	step.addUsage(w)
	for n := range m.windowEnd.counts {
		step.addCounts(w, m.windowStart.counts[n], m.windowEnd.counts[n])
	}
	step.addOutcomes(w)
	if s.Idle > 0 {
		idleCPU := cpuBetween(m.idleStart, m.idleEnd)
		step.IdleCPUPercent = 100 * idleCPU / w.schedulers / m.idleEnd.at.Sub(m.idleStart.at).Seconds()
	}
	for _, now := range append(m.duringWindow, m.windowEnd) {
		step.Course = append(step.Course, newMoment(m.windowStart, now))
	}
	return step
}

// addTraffic adds the traffic that workers and emulated schedulers have counted.
func (step *Step) addTraffic(w window) {
	a := w.first.workers
	b := w.last.workers
	step.Starts = float64(b.Starts-a.Starts) / w.schedulers
	step.StartsPerS = step.Starts / w.seconds
	step.CallbacksPerSecond = w.rate(a.Callbacks, b.Callbacks)
	step.HealthChecksPerSecond = w.rate(a.HealthChecks, b.HealthChecks)
	step.CancelsPerS = w.rate(a.Cancels, b.Cancels)
	step.HealthCheckBytesPerSecond = w.rate(a.HealthCheckBytes, b.HealthCheckBytes)
	step.ListBytes = w.rate(a.ListBytes, b.ListBytes)
	step.ChangesPerS = float64(b.EntryChanges-a.EntryChanges) / w.seconds
	before := w.first.emulatedSchedulers
	after := w.last.emulatedSchedulers
	step.GossipMessagesPerSecond = w.rate(before.MessagesIn+before.MessagesOut, after.MessagesIn+after.MessagesOut)
	step.GossipBytesPerSecond = w.rate(before.MessageBytesIn+before.MessageBytesOut, after.MessageBytesIn+after.MessageBytesOut)
	step.ControlBytesPerSecond = step.HealthCheckBytesPerSecond + 2*tcpHeaderBytes*step.HealthChecksPerSecond + step.GossipBytesPerSecond +
		udpHeaderBytes*step.GossipMessagesPerSecond +
		w.rate(a.CancelBytes, b.CancelBytes) + 2*tcpHeaderBytes*step.CancelsPerS
}

// cpuBetween returns the processor time that all schedulers used between two samples, in seconds.
func cpuBetween(first, last sample) (seconds float64) {
	for n := range last.usage {
		seconds += (last.usage[n].cpuTime - first.usage[n].cpuTime).Seconds()
	}
	return seconds
}

// addUsage adds the resource usage of the schedulers as reported by the kernel.
func (step *Step) addUsage(w window) {
	cpu := cpuBetween(w.first, w.last)
	system := 0.0
	for n, u := range w.last.usage {
		system += (u.systemTime - w.first.usage[n].systemTime).Seconds()
		step.RSS = max(step.RSS, megabytes(u.rssBytes))
		step.Peak = max(step.Peak, megabytes(u.peakRSSBytes))
		step.Descriptors = max(step.Descriptors, u.descriptors)
	}
	step.CPUPercent = 100 * cpu / w.schedulers / w.seconds
	step.SystemCPUPercent = 100 * system / w.schedulers / w.seconds
	if step.Starts > 0 {
		step.CPUMicrosPerStart = 1e6 * cpu / w.schedulers / step.Starts
	}
}

// addCounts adds the counters that one scheduler reports of itself.
func (step *Step) addCounts(w window, first, last schedulerCounts) {
	step.InFlight += (float64(first.InFlight) + float64(last.InFlight)) / 2 / w.schedulers
	step.Heap = max(step.Heap, megabytes(last.HeapBytes))
	step.Allocations += float64(last.Allocations-first.Allocations) / w.schedulers / w.seconds
	step.DialsPerSecond += float64(last.Workers.Dialled-first.Workers.Dialled) / w.schedulers / w.seconds
	step.DecisionP99MS = max(step.DecisionP99MS, float64(last.DecisionMicros["p99"])/1e3)
	step.DecisionMaxMS = max(step.DecisionMaxMS, float64(last.DecisionMicros["max"])/1e3)
	step.Panics += last.Panics
	if last.LoopIterations != nil {
		step.WorstIterationEverMS = max(step.WorstIterationEverMS, float64(last.LoopIterations.WorstMicros)/1e3)
	}
}

// addOutcomes adds the outcomes of the invocations, failed callbacks and unexpected messages.
func (step *Step) addOutcomes(w window) {
	a := w.first.clients
	b := w.last.clients
	step.Offered = b.Offered - a.Offered
	step.Succeeded = b.Succeeded - a.Succeeded
	step.Throttled = b.Throttled - a.Throttled
	step.Errored = b.Failed - a.Failed
	step.ConnectionErrors = b.ConnectionErrors - a.ConnectionErrors
	step.MaxLatenessMS = milliseconds(b.MaxLateness)
	step.CallbacksFailed = w.last.workers.CallbacksFailed - w.first.workers.CallbacksFailed
	step.Unexpected = w.last.workers.Unexpected - w.first.workers.Unexpected +
		w.last.emulatedSchedulers.Unexpected - w.first.emulatedSchedulers.Unexpected
}

// newMoment returns the progress from the first sample of a window to a later one.
func newMoment(first, now sample) Moment {
	before := first.counts[0]
	after := now.counts[0]
	return Moment{
		Seconds:          now.at.Sub(first.at).Seconds(),
		Starts:           now.workers.Starts - first.workers.Starts,
		Changes:          now.workers.EntryChanges - first.workers.EntryChanges,
		CPUSeconds:       (now.usage[0].cpuTime - first.usage[0].cpuTime).Seconds(),
		RSS:              megabytes(now.usage[0].rssBytes),
		Heap:             megabytes(after.HeapBytes),
		Collections:      after.Collections - before.Collections,
		WorstIterationMS: milliseconds(after.recentWorstIteration()),
	}
}

// milliseconds converts a duration; a negative one becomes notMeasured.
func milliseconds(d time.Duration) float64 {
	if d < 0 {
		return notMeasured
	}
	return float64(d.Microseconds()) / 1e3
}

// megabytes converts a number of bytes and rounds it to a tenth.
func megabytes(bytes int64) float64 { return math.Round(float64(bytes)/(1<<20)*10) / 10 }
