package model

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"stoatweir/internal/lab/scenario"
)

const (
	// intervalLength is how finely the service over time is counted.
	intervalLength = time.Second
	// latencyDigits is the precision of latencies, in significant digits.
	latencyDigits = 3
)

// Service is how one part of the load was served: an operation, a tenant, a zone, or all.
type Service struct {
	Name string

	// Numbers of invocations, each with all its requests.
	Offered, InTime, Late, Throttled, Errored, Unanswered int

	ValueOffered float64
	ValueServed  float64                 // within the objective
	Latency      *hdrhistogram.Histogram // of successful invocations, in microseconds
}

// Interval is how an interval of the run was served, by the intended times of the invocations.
type Interval struct{ ValueOffered, ValueServed float64 }

// Statistics count what happens in a run.
type Statistics struct {
	All                        *Service
	Operations, Tenants, Zones []*Service
	Intervals                  []Interval
	Requests                   int
	Forwards                   int // attempts that reached their machines
	Duplicates                 int // runs beyond the first of an invocation, or after its end
	HealthChecks               int
	Connections                int
	MaxWarmUpLoad              float64 // of a warming machine, as a share of what it can bear

	scenario         scenario.Scenario
	workDone         float64 // slot seconds at speed 1
	workUseful       float64 // of successful invocations
	workOffered      float64
	runsByInvocation map[int64]int
	open             map[int64]bool // by invocation
}

func newStatistics(sc scenario.Scenario) *Statistics {
	s := &Statistics{
		All:              newService("all"),
		scenario:         sc,
		runsByInvocation: map[int64]int{},
		open:             map[int64]bool{},
	}
	for _, o := range sc.Operations {
		s.Operations = append(s.Operations, newService(o.Name))
	}
	for _, t := range sc.Tenants {
		s.Tenants = append(s.Tenants, newService(t.Name))
	}
	for _, zone := range sc.Zones {
		s.Zones = append(s.Zones, newService(zone))
	}
	return s
}

func newService(name string) *Service {
	return &Service{Name: name, Latency: hdrhistogram.New(1, time.Hour.Microseconds(), latencyDigits)}
}

// servicesOf are the parts of the load that a request belongs to.
func (s *Statistics) servicesOf(r *Request) []*Service {
	services := []*Service{s.All, s.Operations[r.Operation], s.Zones[r.Zone]}
	if r.Tenant < len(s.Tenants) {
		services = append(services, s.Tenants[r.Tenant])
	}
	return services
}

// value is the value of an invocation, by the work that it takes.
func (s *Statistics) value(r *Request) float64 {
	return s.scenario.Operations[r.Operation].Value * r.Work()
}

func (s *Statistics) interval(r *Request) *Interval {
	index := int(r.IntendedAt / intervalLength)
	for len(s.Intervals) <= index {
		s.Intervals = append(s.Intervals, Interval{})
	}
	return &s.Intervals[index]
}

// InvocationOffered counts an invocation, with its first request.
func (s *Statistics) InvocationOffered(r *Request) {
	s.open[r.Invocation] = true
	s.workOffered += r.Work()
	value := s.value(r)
	s.interval(r).ValueOffered += value
	for _, service := range s.servicesOf(r) {
		service.Offered++
		service.ValueOffered += value
	}
}

// InvocationEnded counts how the last request of an invocation ended. Later ends of the same invocation do not count.
func (s *Statistics) InvocationEnded(now time.Duration, r *Request, reply Reply) {
	if !s.open[r.Invocation] {
		return
	}
	delete(s.open, r.Invocation)
	delete(s.runsByInvocation, r.Invocation)
	latency := now - r.IntendedAt
	inTime := reply == Succeeded && latency <= r.Objective
	if reply == Succeeded {
		s.workUseful += r.Work()
	}
	value := s.value(r)
	if inTime {
		s.interval(r).ValueServed += value
	}
	for _, service := range s.servicesOf(r) {
		service.count(reply, inTime)
		if inTime {
			service.ValueServed += value
		}
		if reply == Succeeded {
			service.Latency.RecordValue(max(1, latency.Microseconds()))
		}
	}
}

func (s *Service) count(reply Reply, inTime bool) {
	switch {
	case inTime:
		s.InTime++
	case reply == Succeeded:
		s.Late++
	case reply == Throttled || reply == NoScheduler:
		s.Throttled++
	case reply == Errored:
		s.Errored++
	default:
		s.Unanswered++
	}
}

// runStarted counts duplicate runs.
func (s *Statistics) runStarted(a *Attempt) {
	invocation := a.Request.Invocation
	if !s.open[invocation] {
		s.Duplicates++
		return
	}
	s.runsByInvocation[invocation]++
	if s.runsByInvocation[invocation] > 1 {
		s.Duplicates++
	}
}

// OpenInvocations counts the invocations that have not ended.
func (s *Statistics) OpenInvocations() int { return len(s.open) }

// WastedShare is the work beyond that of successful invocations, as a share of the work offered.
func (s *Statistics) WastedShare() float64 {
	if s.workOffered == 0 {
		return 0
	}
	return max(0, s.workDone-s.workUseful) / s.workOffered
}
