package model

import "time"

// Connect opens a new connection to a machine and returns the result: Accepted, ConnectionRefused
// or NoResponse.
func (c *Cluster) Connect(machine int) Response {
	m := c.Machines[machine]
	if m.silentFaults > 0 {
		return NoResponse
	}
	if !m.Reachable() || drawAny(c.rand, c.refuseShares) {
		return ConnectionRefused
	}
	return Accepted
}

// Submit sends an attempt to its machine and returns the machine's immediate response. The attempt
// may be accepted by the machine and the response still be ConnectionReset.
func (c *Cluster) Submit(now time.Duration, a *Attempt) Response {
	m := c.Machines[a.Machine]
	if m.silentFaults > 0 {
		return NoResponse
	}
	if !m.Reachable() {
		return ConnectionRefused
	}
	c.statistics.ForwardsReceived++
	c.checkOverload(now, m, a)
	if m.down {
		return ConnectionReset
	}
	if m.failShare > 0 && c.rand.Float64() < m.failShare {
		a.state = attemptEnded
		return FailedAtOnce
	}
	if a.Request.Slots > m.slots || len(m.queue) >= m.queueLimit {
		a.state = attemptEnded
		return Rejected
	}
	a.workLeft = a.Request.Cost
	a.state = attemptQueued
	m.queue = append(m.queue, a)
	c.update(m, now)
	if drawAny(c.rand, c.resetShares) {
		return ConnectionReset
	}
	return Accepted
}

// checkOverload sums the work that a warming machine has received within the overload window. If
// that exceeds the allowed multiple of its capacity, it records a violation and stops the machine's
// process.
func (c *Cluster) checkOverload(now time.Duration, m *Machine, a *Attempt) {
	share := m.capacityShare(now)
	if !m.warmingUp {
		m.recentArrivals = nil
		return
	}
	window := c.scenario.Rules.OverloadWindow.D()
	m.recentArrivals = append(m.recentArrivals, arrival{at: now, work: a.Request.Work()})
	for m.recentArrivals[0].at <= now-window {
		m.recentArrivals = m.recentArrivals[1:]
	}
	work := 0.0
	for _, r := range m.recentArrivals {
		work += r.work
	}
	limit := c.scenario.Rules.OverloadMultiple * float64(m.slots) * m.speed * share / m.slowdown * window.Seconds()
	if len(m.recentArrivals) < 2 {
		return // no scheduler can split a single request
	}
	c.statistics.MaxWarmUpLoad = max(c.statistics.MaxWarmUpLoad, work/limit)
	if work > limit {
		c.rules.recordOverload(now, m, a, work, limit)
		c.stopProcess(now, m)
		c.stateChanged(now, m.index, false)
	}
}

// Cancel stops an attempt if its machine supports cancellation at the attempt's stage.
func (c *Cluster) Cancel(now time.Duration, a *Attempt) {
	m := c.Machines[a.Machine]
	if !m.cancels(a) {
		return
	}
	c.advanceWork(m, now)
	m.remove(a)
	c.update(m, now)
}

// HealthCheck returns a machine's response to a health check and its load report, which is nil if
// it has none.
func (c *Cluster) HealthCheck(now time.Duration, machine int) (*LoadReport, Response) {
	m := c.Machines[machine]
	switch {
	case m.silentFaults > 0 || m.hungFaults > 0:
		return nil, NoResponse
	case !m.Reachable():
		return nil, ConnectionRefused
	}
	m.makeReport(now, c.scenario.LoadReports.Interval.D())
	m.publishReports(now, c.scenario.LoadReports.Delay.D()+c.reportDelay)
	if c.reportsAbsentFaults > 0 || len(c.scenario.LoadReports.Fields) == 0 || !m.hasReport {
		return nil, Accepted
	}
	report := m.visibleReport
	return &report, Accepted
}
