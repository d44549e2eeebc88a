package model

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"stoatweir/internal/lab/scenario"
)

// Line is the service of one part of what came in: an operation, a tenant, a zone, or all.
type Service struct {
	Name                                                  string
	Offered, InTime, Late, Throttled, Errored, Unanswered int     // invocations, all tries together
	ValueOffered, ValueServed                             float64 // billed, offered and answered in time
	Latency                                               *hdrhistogram.Histogram
}

// Span is the service of a span of the day, by the time at which invocations were meant to be sent.
type Interval struct{ ValueOffered, ValueServed float64 }

// spanLength is how finely the day is told.
const intervalLength = time.Second

// Tally is what the day brought.
type Statistics struct {
	All                            *Service
	Operations, Tenants, Zones     []*Service
	Intervals                      []Interval
	Requests, Forwards, Duplicates int
	HealthChecks, Connections      int
	MaxWarmUpLoad                  float64 // the most that a cold worker got, as a part of what it can bear

	scenario         scenario.Scenario
	workDone         float64 // slot seconds at speed 1
	workUseful       float64
	workOffered      float64
	runsByInvocation map[int64]int
	open             map[int64]bool
}

func newStatistics(s scenario.Scenario) *Statistics {
	t := &Statistics{scenario: s, runsByInvocation: map[int64]int{}, open: map[int64]bool{}, All: newService("all")}
	for _, o := range s.Operations {
		t.Operations = append(t.Operations, newService(o.Name))
	}
	for _, n := range s.Tenants {
		t.Tenants = append(t.Tenants, newService(n.Name))
	}
	for _, z := range s.Zones {
		t.Zones = append(t.Zones, newService(z))
	}
	return t
}

func newService(name string) *Service {
	return &Service{Name: name, Latency: hdrhistogram.New(1, (time.Hour).Microseconds(), 3)}
}

func (s *Statistics) servicesOf(j *Request) []*Service {
	lines := []*Service{s.All, s.Operations[j.Operation], s.Zones[j.Zone]}
	if j.Tenant < len(s.Tenants) {
		lines = append(lines, s.Tenants[j.Tenant])
	}
	return lines
}

// value is that of one invocation: by the work that it takes.
func (s *Statistics) value(j *Request) float64 {
	return s.scenario.Operations[j.Operation].Value * j.Work()
}

func (s *Statistics) interval(j *Request) *Interval {
	for at := int(j.IntendedAt / intervalLength); len(s.Intervals) <= at; {
		s.Intervals = append(s.Intervals, Interval{})
	}
	return &s.Intervals[j.IntendedAt/intervalLength]
}

// Offered enters an invocation with its first try.
func (s *Statistics) InvocationOffered(j *Request) {
	s.open[j.Invocation] = true
	s.workOffered += j.Work()
	v := s.value(j)
	s.interval(j).ValueOffered += v
	for _, l := range s.servicesOf(j) {
		l.Offered++
		l.ValueOffered += v
	}
}

// Ended strikes it out with how its last try ended; later ones of the same invocation count for nothing.
func (s *Statistics) InvocationEnded(now time.Duration, j *Request, how Reply) {
	if !s.open[j.Invocation] {
		return
	}
	delete(s.open, j.Invocation)
	delete(s.runsByInvocation, j.Invocation)
	took := now - j.IntendedAt
	inTime := how == Succeeded && took <= j.Objective
	if how == Succeeded {
		s.workUseful += j.Work()
	}
	v := s.value(j)
	if inTime {
		s.interval(j).ValueServed += v
	}
	for _, l := range s.servicesOf(j) {
		switch {
		case inTime:
			l.InTime++
			l.ValueServed += v
		case how == Succeeded:
			l.Late++
		case how == Throttled || how == NoScheduler:
			l.Throttled++
		case how == Errored:
			l.Errored++
		default:
			l.Unanswered++
		}
		if how == Succeeded {
			l.Latency.RecordValue(max(1, took.Microseconds()))
		}
	}
}

// began counts runs beyond the first of an invocation, and those that begin when it has ended.
func (s *Statistics) runStarted(a *Attempt) {
	if !s.open[a.Request.Invocation] {
		s.Duplicates++
		return
	}
	if s.runsByInvocation[a.Request.Invocation]++; s.runsByInvocation[a.Request.Invocation] > 1 {
		s.Duplicates++
	}
}

// Open counts those that have not ended.
func (s *Statistics) OpenInvocations() int { return len(s.open) }

// Wasted is the work that served no first answer, as a part of what was offered.
func (s *Statistics) WastedShare() float64 {
	if s.workOffered == 0 {
		return 0
	}
	return max(0, s.workDone-s.workUseful) / s.workOffered
}
