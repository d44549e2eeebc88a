package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// operation is the configuration of one kind of invocation, and what was measured of it.
type operation struct {
	weight       float64
	stretch      float64
	objective    time.Duration
	dedupWindow  time.Duration
	lateWeight   float64
	lateHasValue bool // an answer after the objective still has a value
	effect       Effect
	scope        DedupScope
	kind         int // kind of the workers that run it, or unrestricted

	arrivalCount  float64       // number of invocations so far
	servedShares  samples       // of the last invocations: value earned, as a fraction of their weight
	costRatios    samples       // of successful attempts: running time over hinted cost
	runTimes      samples       // of successful attempts: running time in seconds
	hintErrors    samples       // of successful attempts: cost ratio over the worker's pace, the error of the hint
	longestBudget time.Duration // longest time that a client has been willing to wait
}

// tenant is the configuration of one customer, and its recent arrivals.
type tenant struct {
	Tenant
	arrivals samples // times of its last arrivals, in seconds
}

// reconfigure applies a newer configuration.
func (d *Dispatcher) reconfigure(newer Reconfigured) {
	d.scheduler.refreshAll()
	d.applyConfig(newer)
	d.reassignOwners()
}

// applyConfig applies a configuration. Invocations in progress keep the operation with which they
// arrived.
func (d *Dispatcher) applyConfig(newer Reconfigured) {
	config := &newer.Config
	d.healthChecks = config.Limits.HealthChecks
	d.progressInterval = config.ProgressInterval
	d.notifiesAccepted = config.WorkersReportAccepted
	d.notifiesStart = config.WorkersReportStart
	d.overloadWindow = config.Rules.OverloadWindow
	d.initialCapacityShare = config.Rules.InitialCapacityShare
	d.slowStartDuration = config.Rules.SlowStartDuration
	d.pollsEndpoints = !config.EndpointsPushed
	d.pollWithin = config.Rules.PollWithin
	if config.SchedulerIndex >= 0 || newer.PreviousOperations == nil {
		d.schedulerIndex = config.SchedulerIndex
	}
	// If more schedulers run than are configured, those with higher numbers do not use workers in
	// slow start. If the count is not configured, each scheduler assumes that there are only those
	// with lower numbers besides itself.
	d.schedulers = float64(cmp.Or(max(0, config.Schedulers), max(1, config.SchedulerIndex+1)))
	d.gossipEnabled = config.Limits.Gossip && d.schedulers > 1 && config.SchedulerIndex >= 0
	d.scheduler.applyConfig(newer, d.schedulers)
}

// applyConfig applies the scheduler's part of a configuration.
func (s *scheduler) applyConfig(newer Reconfigured, schedulers float64) {
	config := &newer.Config
	s.zone = config.Zone
	s.schedulers = schedulers
	s.cancelAllowed = config.Limits.Cancel
	s.maxInFlight = max(1, config.Limits.MaxInFlight)
	s.maxAttempts = max(1, config.Limits.MaxAttempts)
	s.retryAfter = min(config.Limits.MaxRetryAfter, maxRetryAfter)
	s.checksPerInvocation = checkBudgetPoints / max(config.HealthCheckCost, checkBudgetPoints/4)
	s.overloadBudget = config.Rules.OverloadFactor * config.Rules.OverloadWindow.Seconds()
	s.operations = newer.operations(s.operations)
	s.tenants = newer.tenants(s.tenants)
	s.excessWeight = config.ExcessWeight
	s.worstOperation = noOperation
	s.worstOperationWeight = config.WorstOperationWeight
	s.queriesPerInvocation = 0
	s.staleQueueShare = defaultStaleQueueShare
	if s.gossipEnabled {
		s.staleQueueShare = 0
		s.queriesPerInvocation = affordableQueries(config.GossipCost)
	}
}

// affordableQueries returns how many capacity queries one arrival may cause, given the cost of gossip.
func affordableQueries(gossipCost float64) int {
	queryCost := capacityQueryBytes * gossipCost / MaxGossipBytes
	return int(min(maxQueriesPerInvocation, queryBudgetPoints/max(queryCost, queryBudgetPoints/maxQueriesPerInvocation)))
}

// operations returns the configured operations. Those that are new or have changed continue the
// measurements of their previous operation.
func (e Reconfigured) operations(older []operation) (all []operation) {
	for i, configured := range e.Operations {
		all = append(all, e.operation(i, configured, older))
	}
	return all
}

func (e Reconfigured) operation(index int, configured Operation, older []operation) operation {
	previous := -1
	if index < len(e.PreviousOperations) {
		previous = e.PreviousOperations[index]
	}
	if previous == index {
		return older[index]
	}
	newer := operation{
		weight:       cmp.Or(max(0, configured.PriorityWeight), 1),
		stretch:      configured.Stretch,
		objective:    configured.LatencyObjective,
		dedupWindow:  configured.DedupWindow,
		lateWeight:   configured.LateWeight,
		lateHasValue: configured.LateWeight > 0,
		effect:       configured.Effect,
		scope:        configured.DedupScope,
		kind:         configured.WorkerKind,
	}
	if previous >= 0 {
		newer.costRatios = slices.Clone(older[previous].costRatios)
		newer.runTimes = slices.Clone(older[previous].runTimes)
		newer.hintErrors = slices.Clone(older[previous].hintErrors)
	}
	return newer
}

// tenants returns the configured tenants. They keep their index and their arrivals, so that a
// reconfiguration does not clear the record of a tenant that exceeds its quota.
func (e Reconfigured) tenants(older []tenant) (all []tenant) {
	for i, configured := range e.Tenants {
		configured.QuotaPerSecond = cmp.Or(configured.QuotaPerSecond, math.Inf(1)) // not configured: no quota to exceed
		newer := tenant{Tenant: configured}
		if i < len(older) {
			newer.arrivals = older[i].arrivals
		}
		all = append(all, newer)
	}
	return append(all, older[min(len(all), len(older)):]...)
}

// QuotaUpdate brings new quotas of some tenants, for deployments where quotas change often.
type QuotaUpdate struct{ Quotas []Quota }

// Quota is the quota of one tenant.
type Quota struct {
	Tenant         int
	QuotaPerSecond float64
	Reassigned     bool // the index now belongs to another tenant, whose arrivals are counted from zero
}

// About returns zero values.
func (e QuotaUpdate) About() (InvocationID, WorkerID) { return 0, WorkerID{} }

func (s *scheduler) applyQuotas(update QuotaUpdate) {
	for _, quota := range update.Quotas {
		for len(s.tenants) <= quota.Tenant {
			s.tenants = append(s.tenants, tenant{})
		}
		t := &s.tenants[quota.Tenant]
		t.QuotaPerSecond = quota.QuotaPerSecond
		if quota.Reassigned {
			t.arrivals = nil
		}
	}
}
