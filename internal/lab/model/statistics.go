package model

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"stoatweir/internal/lab/scenario"
)

const (
	// intervalLength is the resolution of the service over time.
	intervalLength = time.Second
	// latencyDigits is the precision of the latency histograms, in significant decimal digits.
	latencyDigits = 3
)

// Service is how a part of the load was served: an operation, a tenant, a zone, or all of it.
type Service struct {
	Name string

	// Numbers of invocations; the retries of an invocation are not counted separately.
	Offered, InTime, Late, Throttled, Errored, Unanswered int

	ValueOffered float64                 // total value of the invocations
	ValueServed  float64                 // value of those that succeeded within the objective
	Latency      *hdrhistogram.Histogram // of the successful invocations, in microseconds
}

// Interval is the value of the invocations whose intended time is in one interval of the run.
type Interval struct{ ValueOffered, ValueServed float64 }

// Statistics has the counts of a run.
type Statistics struct {
	All                        *Service
	Operations, Tenants, Zones []*Service
	Intervals                  []Interval // each of intervalLength
	Requests                   int        // first requests and retries
	ForwardsReceived           int        // attempts that reached their machines
	Duplicates                 int        // executions of an invocation beyond its first, or after its end
	HealthChecks               int
	Connections                int
	MaxWarmUpLoad              float64 // highest load of a warming machine, as a share of the limit of NoOverload

	scenario         scenario.Scenario
	workDone         float64        // by all machines, in slot seconds at speed 1
	workUseful       float64        // work of the successful invocations
	workOffered      float64        // work of all invocations
	runsByInvocation map[int64]int  // executions started, of the open invocations
	openInvocations  map[int64]bool // by invocation: it has not ended
}

func newStatistics(sc scenario.Scenario) *Statistics {
	s := &Statistics{
		All:              newService("all"),
		scenario:         sc,
		runsByInvocation: map[int64]int{},
		openInvocations:  map[int64]bool{},
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

// servicesOf returns the parts of the load that a request belongs to.
func (s *Statistics) servicesOf(r *Request) []*Service {
	services := []*Service{s.All, s.Operations[r.Operation], s.Zones[r.Zone]}
	if r.Tenant < len(s.Tenants) {
		services = append(services, s.Tenants[r.Tenant])
	}
	return services
}

// value returns the value of an invocation, which is proportional to its work.
func (s *Statistics) value(r *Request) float64 {
	return s.scenario.Operations[r.Operation].Value * r.Work()
}

// interval returns the interval of a request's intended time.
func (s *Statistics) interval(r *Request) *Interval {
	index := int(r.IntendedAt / intervalLength)
	for len(s.Intervals) <= index {
		s.Intervals = append(s.Intervals, Interval{})
	}
	return &s.Intervals[index]
}

// InvocationOffered counts a new invocation, given its first request.
func (s *Statistics) InvocationOffered(r *Request) {
	s.openInvocations[r.Invocation] = true
	s.workOffered += r.Work()
	value := s.value(r)
	s.interval(r).ValueOffered += value
	for _, service := range s.servicesOf(r) {
		service.Offered++
		service.ValueOffered += value
	}
}

// InvocationEnded counts the end of an invocation, given its last request and the reply to it.
// Further calls for the same invocation have no effect.
func (s *Statistics) InvocationEnded(now time.Duration, r *Request, reply Reply) {
	if !s.openInvocations[r.Invocation] {
		return
	}
	delete(s.openInvocations, r.Invocation)
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
		service.countEnd(reply, inTime)
		if inTime {
			service.ValueServed += value
		}
		if reply == Succeeded {
			service.Latency.RecordValue(max(1, latency.Microseconds()))
		}
	}
}

func (s *Service) countEnd(reply Reply, inTime bool) {
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

// runStarted records that a machine starts to execute an attempt, and counts duplicate executions.
func (s *Statistics) runStarted(a *Attempt) {
	invocation := a.Request.Invocation
	if !s.openInvocations[invocation] {
		s.Duplicates++
		return
	}
	s.runsByInvocation[invocation]++
	if s.runsByInvocation[invocation] > 1 {
		s.Duplicates++
	}
}

// OpenInvocations returns the number of invocations that have not ended.
func (s *Statistics) OpenInvocations() int { return len(s.openInvocations) }

// WastedShare returns the work done beyond that of successful invocations, as a share of the work
// offered.
func (s *Statistics) WastedShare() float64 {
	if s.workOffered == 0 {
		return 0
	}
	return max(0, s.workDone-s.workUseful) / s.workOffered
}
