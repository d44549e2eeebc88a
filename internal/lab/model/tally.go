package model

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"stoatweir/internal/lab/scenario"
)

// Line is the service of one part of what came in: an operation, a tenant, a zone, or all.
type Line struct {
	Name                                              string
	Offered, InTime, Late, Throttled, Errored, Missed int     // invocations, all tries together
	Value, Served                                     float64 // billed, offered and answered in time
	Waits                                             *hdrhistogram.Histogram
}

// Span is the service of a span of the day, by the time at which invocations were meant to be sent.
type Span struct{ Value, Served float64 }

// spanLength is how finely the day is told.
const spanLength = time.Second

// Tally is what the day brought.
type Tally struct {
	All                         *Line
	Operations, Tenants, Zones  []*Line
	Spans                       []Span
	Tries, Forwards, Duplicates int
	Probes, Connections         int
	ColdUse                     float64 // the most that a cold worker got, as a part of what it can bear

	s       scenario.Scenario
	worked  float64 // slot seconds at speed 1
	useful  float64
	offered float64
	runs    map[int64]int
	open    map[int64]bool
}

func newTally(s scenario.Scenario) *Tally {
	t := &Tally{s: s, runs: map[int64]int{}, open: map[int64]bool{}, All: newLine("all")}
	for _, o := range s.Operations {
		t.Operations = append(t.Operations, newLine(o.Name))
	}
	for _, n := range s.Tenants {
		t.Tenants = append(t.Tenants, newLine(n.Name))
	}
	for _, z := range s.Zones {
		t.Zones = append(t.Zones, newLine(z))
	}
	return t
}

func newLine(name string) *Line {
	return &Line{Name: name, Waits: hdrhistogram.New(1, (time.Hour).Microseconds(), 3)}
}

func (t *Tally) lines(j *Job) []*Line {
	lines := []*Line{t.All, t.Operations[j.Op], t.Zones[j.Zone]}
	if j.Tenant < len(t.Tenants) {
		lines = append(lines, t.Tenants[j.Tenant])
	}
	return lines
}

// value is that of one invocation: by the work that it takes.
func (t *Tally) value(j *Job) float64 { return t.s.Operations[j.Op].Value * j.Work() }

func (t *Tally) span(j *Job) *Span {
	for at := int(j.Meant / spanLength); len(t.Spans) <= at; {
		t.Spans = append(t.Spans, Span{})
	}
	return &t.Spans[j.Meant/spanLength]
}

// Offered enters an invocation with its first try.
func (t *Tally) Offered(j *Job) {
	t.open[j.Origin] = true
	t.offered += j.Work()
	v := t.value(j)
	t.span(j).Value += v
	for _, l := range t.lines(j) {
		l.Offered++
		l.Value += v
	}
}

// Ended strikes it out with how its last try ended; later ones of the same invocation count for nothing.
func (t *Tally) Ended(now time.Duration, j *Job, how Reply) {
	if !t.open[j.Origin] {
		return
	}
	delete(t.open, j.Origin)
	delete(t.runs, j.Origin)
	took := now - j.Meant
	inTime := how == Succeeded && took <= j.Objective
	if how == Succeeded {
		t.useful += j.Work()
	}
	v := t.value(j)
	if inTime {
		t.span(j).Served += v
	}
	for _, l := range t.lines(j) {
		switch {
		case inTime:
			l.InTime++
			l.Served += v
		case how == Succeeded:
			l.Late++
		case how == Throttled || how == NoneThere:
			l.Throttled++
		case how == Errored:
			l.Errored++
		default:
			l.Missed++
		}
		if how == Succeeded {
			l.Waits.RecordValue(max(1, took.Microseconds()))
		}
	}
}

// began counts runs beyond the first of an invocation, and those that begin when it has ended.
func (t *Tally) began(a *Attempt) {
	if !t.open[a.Job.Origin] {
		t.Duplicates++
		return
	}
	if t.runs[a.Job.Origin]++; t.runs[a.Job.Origin] > 1 {
		t.Duplicates++
	}
}

// Open counts those that have not ended.
func (t *Tally) Open() int { return len(t.open) }

// Wasted is the work that served no first answer, as a part of what was offered.
func (t *Tally) Wasted() float64 {
	if t.offered == 0 {
		return 0
	}
	return max(0, t.worked-t.useful) / t.offered
}
