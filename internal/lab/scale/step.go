package scale

import (
	"math"
	"time"
)

// Step is what one step of a sweep has measured. Where there are several schedulers, figures are
// the mean of them, but for the worst iteration, memory and descriptors, which are of the worst.
type Step struct {
	Value      float64 `json:"value"` // of the key that is varied
	Workers    int     `json:"workers"`
	Schedulers int     `json:"schedulers"`
	Told       int     `json:"told"`
	InHandAim  int     `json:"in_hand_aim"`
	StartsAim  float64 `json:"starts_per_second_aim"`
	Changes    float64 `json:"changes_per_second_aim"`

	Seconds      float64 `json:"seconds"`
	Starts       float64 `json:"starts"`
	StartsPerS   float64 `json:"starts_per_second"`
	InHand       float64 `json:"in_hand"`
	Core         float64 `json:"core_percent"`
	System       float64 `json:"system_percent"`    // of these, in the kernel
	IdleCore     float64 `json:"idle_core_percent"` // before any load; -1: not measured
	PerStart     float64 `json:"us_per_start"`      // processor time; -1: there were no starts
	Turn         float64 `json:"worst_turn_ms"`     // worst iteration of the loop in the window; 0: not reported
	TurnEver     float64 `json:"worst_turn_ever_ms"`
	Decided99    float64 `json:"decided_p99_ms"`   // since its start
	DecidedMost  float64 `json:"decided_worst_ms"` // the same
	RSS          float64 `json:"rss_mb"`
	Peak         float64 `json:"peak_mb"`
	Heap         float64 `json:"heap_mb"`
	Allocations  float64 `json:"allocations_per_second"`
	Descriptors  int     `json:"descriptors"`
	Control      float64 `json:"control_bytes_per_second"`
	ProbesPerS   float64 `json:"probes_per_second"`
	CancelsPerS  float64 `json:"cancels_per_second"`
	ProbeBytes   float64 `json:"probe_bytes_per_second"` // of HTTP, both ways
	MessagesPerS float64 `json:"messages_per_second"`    // out and in
	MessageBytes float64 `json:"message_bytes_per_second"`
	NewsPerS     float64 `json:"news_per_second"`
	ListBytes    float64 `json:"list_bytes_per_second"`
	ChangesPerS  float64 `json:"entries_changed_per_second"`
	DialledPerS  float64 `json:"dialled_per_second"`

	Offered    int64   `json:"Offered"`
	Succeeded  int64   `json:"Succeeded"`
	Throttled  int64   `json:"Throttled"`
	Errored    int64   `json:"Errored"`
	Broken     int64   `json:"Broken"`
	NewsFailed int64   `json:"NewsFailed"`
	Strange    int64   `json:"Strange"`
	Panics     int     `json:"Panics"`
	LateMost   float64 `json:"clients_late_most_ms"`

	Course []Moment `json:"course"` // of the window
}

// Moment is how a window went until a moment, of the first scheduler.
type Moment struct {
	Seconds     float64 `json:"seconds"`
	Starts      int64   `json:"starts"`
	Changes     int64   `json:"entries_changed"`
	CPU         float64 `json:"cpu_seconds"`
	RSS         float64 `json:"rss_mb"`
	Heap        float64 `json:"heap_mb"`
	Collections int64   `json:"collections"`
	Turn        float64 `json:"worst_turn_10s_ms"` // -1: not reported
}

// Bytes of the heads of a packet.
const (
	udpHead = 28 // IPv4 and UDP
	tcpHead = 52 // IPv4 and TCP with time stamps
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

// rate is the rate of a counter a second and scheduler.
func (w window) rate(first, last int64) float64 {
	return float64(last-first) / w.schedulers / w.seconds
}

// step reports a measurement.
func (m *measurement) step() Step {
	s := m.scenario
	w := window{first: m.first, last: m.last, schedulers: float64(s.Schedulers), seconds: m.last.at.Sub(m.first.at).Seconds()}
	step := Step{
		Workers:    s.Workers,
		Schedulers: s.Schedulers,
		Told:       s.Told,
		InHandAim:  s.InHand,
		StartsAim:  s.Starts,
		Changes:    s.Changes,
		Seconds:    w.seconds,
		IdleCore:   notMeasured,
		PerStart:   notMeasured,
		Turn:       milliseconds(m.worst),
	}
	step.addTraffic(w)
	step.addUsage(w)
	for n := range m.last.counts {
		step.addCounts(w, m.first.counts[n], m.last.counts[n])
	}
	step.addOutcomes(w)
	if s.Idle > 0 {
		idled := cpuBetween(m.start, m.idle)
		step.IdleCore = 100 * idled / w.schedulers / m.idle.at.Sub(m.start.at).Seconds()
	}
	for _, now := range append(m.course, m.last) {
		step.Course = append(step.Course, newMoment(m.first, now))
	}
	return step
}

// addTraffic reports what workers and emulated schedulers have seen of the schedulers.
func (step *Step) addTraffic(w window) {
	a := w.first.workers
	b := w.last.workers
	step.Starts = float64(b.Starts-a.Starts) / w.schedulers
	step.StartsPerS = step.Starts / w.seconds
	step.NewsPerS = w.rate(a.News, b.News)
	step.ProbesPerS = w.rate(a.Probes, b.Probes)
	step.CancelsPerS = w.rate(a.Cancels, b.Cancels)
	step.ProbeBytes = w.rate(a.ProbeBytes, b.ProbeBytes)
	step.ListBytes = w.rate(a.ListBytes, b.ListBytes)
	step.ChangesPerS = float64(b.Changes-a.Changes) / w.seconds
	before := w.first.others
	after := w.last.others
	step.MessagesPerS = w.rate(before.MessagesIn+before.MessagesOut, after.MessagesIn+after.MessagesOut)
	step.MessageBytes = w.rate(before.MessageBytesIn+before.MessageBytesOut, after.MessageBytesIn+after.MessageBytesOut)
	step.Control = step.ProbeBytes + 2*tcpHead*step.ProbesPerS + step.MessageBytes + udpHead*step.MessagesPerS +
		w.rate(a.CancelBytes, b.CancelBytes) + 2*tcpHead*step.CancelsPerS
}

// cpuBetween is the processor time of all schedulers between two samples, in seconds.
func cpuBetween(first, last sample) (seconds float64) {
	for n := range last.usage {
		seconds += (last.usage[n].cpu - first.usage[n].cpu).Seconds()
	}
	return seconds
}

// addUsage reports what the kernel knows of the schedulers.
func (step *Step) addUsage(w window) {
	cpu := cpuBetween(w.first, w.last)
	system := 0.0
	for n, u := range w.last.usage {
		system += (u.system - w.first.usage[n].system).Seconds()
		step.RSS = max(step.RSS, megabytes(u.rss))
		step.Peak = max(step.Peak, megabytes(u.peakRSS))
		step.Descriptors = max(step.Descriptors, u.descriptors)
	}
	step.Core = 100 * cpu / w.schedulers / w.seconds
	step.System = 100 * system / w.schedulers / w.seconds
	if step.Starts > 0 {
		step.PerStart = 1e6 * cpu / w.schedulers / step.Starts
	}
}

// addCounts reports what one scheduler counts itself.
func (step *Step) addCounts(w window, first, last counts) {
	step.InHand += (float64(first.InHand) + float64(last.InHand)) / 2 / w.schedulers
	step.Heap = max(step.Heap, megabytes(last.Heap))
	step.Allocations += float64(last.Allocated-first.Allocated) / w.schedulers / w.seconds
	step.DialledPerS += float64(last.Workers.Dialled-first.Workers.Dialled) / w.schedulers / w.seconds
	step.Decided99 = max(step.Decided99, float64(last.Decided["p99"])/1e3)
	step.DecidedMost = max(step.DecidedMost, float64(last.Decided["max"])/1e3)
	step.Panics += last.Panics
	if last.Turns != nil {
		step.TurnEver = max(step.TurnEver, float64(last.Turns.Worst)/1e3)
	}
}

// addOutcomes reports what became of the invocations, and what failed.
func (step *Step) addOutcomes(w window) {
	a := w.first.clients
	b := w.last.clients
	step.Offered = b.Offered - a.Offered
	step.Succeeded = b.Succeeded - a.Succeeded
	step.Throttled = b.Throttled - a.Throttled
	step.Errored = b.Errored - a.Errored
	step.Broken = b.Broken - a.Broken
	step.LateMost = milliseconds(b.LateMost)
	step.NewsFailed = w.last.workers.NewsFailed - w.first.workers.NewsFailed
	step.Strange = w.last.workers.Strange - w.first.workers.Strange + w.last.others.Strange - w.first.others.Strange
}

func newMoment(first, now sample) Moment {
	before := first.counts[0]
	after := now.counts[0]
	return Moment{
		Seconds:     now.at.Sub(first.at).Seconds(),
		Starts:      now.workers.Starts - first.workers.Starts,
		Changes:     now.workers.Changes - first.workers.Changes,
		CPU:         (now.usage[0].cpu - first.usage[0].cpu).Seconds(),
		RSS:         megabytes(now.usage[0].rss),
		Heap:        megabytes(after.Heap),
		Collections: after.Collection - before.Collection,
		Turn:        milliseconds(after.recentWorst()),
	}
}

// milliseconds are those of a time; notMeasured for one below 0.
func milliseconds(d time.Duration) float64 {
	if d < 0 {
		return notMeasured
	}
	return float64(d.Microseconds()) / 1e3
}

// megabytes are rounded to a tenth.
func megabytes(bytes int64) float64 { return math.Round(float64(bytes)/(1<<20)*10) / 10 }
