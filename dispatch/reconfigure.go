package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// operation is one kind of invocation: what the configuration says of it, and what was measured.
type operation struct {
	weight      float64
	stretch     float64
	objective   time.Duration
	dedupWindow time.Duration
	lateWeight  float64
	countsLate  bool // an answer after the objective still has a value
	effect      Effect
	scope       DedupScope
	kind        int // of workers, or unrestricted

	arrived       float64       // invocations so far
	served        samples       // what the last ones brought, as a part of their weight
	costRatios    samples       // running time over hinted cost, of those that succeeded
	runTimes      samples       // in seconds, of the same
	hintErrors    samples       // cost ratios over the worker's pace: how far hints are off
	longestBudget time.Duration // that a client has been ready to wait
}

// tenant is one customer: its quota, and what was seen of it.
type tenant struct {
	Tenant
	arrivals samples // when its last invocations arrived, in seconds
}

// reconfigure follows a newer configuration.
func (d *Dispatcher) reconfigure(newer Reconfigured) {
	d.scheduler.refreshAll()
	d.applyConfig(newer)
	d.reassignOwners()
}

// applyConfig takes a configuration over. Invocations under way keep the operation under which they arrived.
func (d *Dispatcher) applyConfig(newer Reconfigured) {
	config := &newer.Config
	d.healthChecks = config.Limits.HealthChecks
	d.progressInterval = config.ProgressInterval
	d.notifiesAccepted = config.NotifiesAccepted
	d.notifiesStart = config.NotifiesStart
	d.overloadWindow = config.Rules.OverloadWindow
	d.slowStartFrom = config.Rules.SlowStartFrom
	d.slowStartDuration = config.Rules.SlowStartDuration
	d.polls = !config.EndpointsPushed
	d.pollWithin = config.Rules.PollWithin
	if config.Index >= 0 || newer.PreviousOperations == nil {
		d.self = config.Index
	}
	// With too few configured, those with higher numbers leave workers in slow start alone; with none configured, each knows of those before
	// it.
	d.schedulers = float64(cmp.Or(max(0, config.Schedulers), max(1, config.Index+1)))
	d.gossips = config.Limits.Gossip && d.schedulers > 1 && config.Index >= 0
	d.scheduler.applyConfig(newer, d.schedulers)
}

// applyConfig is the scheduler's part of a configuration.
func (s *scheduler) applyConfig(newer Reconfigured, schedulers float64) {
	config := &newer.Config
	s.zone = config.Zone
	s.schedulers = schedulers
	s.cancels = config.Limits.Cancel
	s.maxInFlight = max(1, config.Limits.MaxInFlight)
	s.maxAttempts = max(1, config.Limits.MaxAttempts)
	s.retryAfter = min(config.Limits.MaxRetryAfter, maxRetryAfter)
	s.checksPerInvocation = checkBudgetPoints / max(config.HealthCheckCost, checkBudgetPoints/4)
	s.overloadBudget = config.Rules.OverloadFactor * config.Rules.OverloadWindow.Seconds()
	s.operations = newer.operations(s.operations)
	s.tenants = newer.tenants(s.tenants)
	s.excessWeight = config.ExcessValue
	s.worstOperation = noOperation
	s.worstOperationWeight = config.WorstOperationWeight
	s.queriesPerInvocation = 0
	s.staleQueueShare = defaultStaleQueueShare
	if s.gossips {
		s.staleQueueShare = 0
		s.queriesPerInvocation = queriesWorth(config.GossipCost)
	}
}

// queriesWorth is how many capacity queries an invocation is worth, by what gossip costs.
func queriesWorth(gossipCost float64) int {
	queryCost := queryBytes * gossipCost / MaxGossipBytes
	return int(min(maxQueries, queryBudgetPoints/max(queryCost, queryBudgetPoints/maxQueries)))
}

// operations gives those that have changed or are new what was measured of the ones before.
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
		weight:      cmp.Or(max(0, configured.PriorityWeight), 1),
		stretch:     configured.Stretch,
		objective:   configured.LatencyObjective,
		dedupWindow: configured.DedupWindow,
		lateWeight:  configured.LateWeight,
		countsLate:  configured.LateWeight > 0,
		effect:      configured.Effect,
		scope:       configured.DedupScope,
		kind:        configured.WorkerKind,
	}
	if previous >= 0 {
		newer.costRatios = slices.Clone(older[previous].costRatios)
		newer.runTimes = slices.Clone(older[previous].runTimes)
		newer.hintErrors = slices.Clone(older[previous].hintErrors)
	}
	return newer
}

// tenants keep their index and what was seen of them: a flood does not end with a newer configuration.
func (e Reconfigured) tenants(older []tenant) (all []tenant) {
	for i, configured := range e.Tenants {
		configured.QuotaPerSecond = cmp.Or(configured.QuotaPerSecond, math.Inf(1)) // not configured: nothing is beyond it
		newer := tenant{Tenant: configured}
		if i < len(older) {
			newer.arrivals = older[i].arrivals
		}
		all = append(all, newer)
	}
	return append(all, older[min(len(all), len(older)):]...)
}

// QuotaUpdate brings the quotas of some tenants, where these change all the time.
type QuotaUpdate struct{ Quotas []Quota }

// Quota is what one tenant may send, at all schedulers together.
type Quota struct {
	Tenant         int
	QuotaPerSecond float64
	Reassigned     bool // the index is another tenant's now: nothing that was seen under it is its own
}

// About names neither.
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
