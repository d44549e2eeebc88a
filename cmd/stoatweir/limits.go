package main

import (
	"runtime/debug"

	"stoatweir/dispatch"
)

const (
	// reservedDescriptors are those that are no connections: standard ones, poller, listener, a successor's.
	reservedDescriptors = 16
	// adminDescriptors are those of operators' calls: the listener, and the call that is accepted before another is closed.
	adminDescriptors = maxAdminCalls + 2

	// memoryReserveShare is the part of the memory quota that is not the garbage collector's to use: what lies outside its
	// count (the program, the kernel's pages for threads, what exceeds the limit for a moment).
	memoryReserveShare = 0.4
	// memoryReserveMaxMB is the largest reserve in MiB, as it does not grow with the quota. A limit below what is in flight
	// has the collector run without end: with 5,900 requests in flight 0.6 of 256 MiB took the whole core.
	memoryReserveMaxMB = 48
	// bytesPerMB converts MiB.
	bytesPerMB = 1 << 20
)

// SetQuotas sets how many descriptors and how many MiB of memory this process may use. It implements takeover.Lifecycle.
func (s *service) SetQuotas(sockets, memoryMB int) {
	s.setSocketLimit(sockets)
	debug.SetMemoryLimit(memoryLimit(memoryMB))
}

// memoryLimit is the garbage collector's limit in bytes for a memory quota in MiB.
func memoryLimit(memoryMB int) int64 {
	quota := float64(memoryMB)
	reserve := min(memoryReserveShare*quota, memoryReserveMaxMB)
	return int64((quota - reserve) * bytesPerMB)
}

// setSocketLimit divides the descriptors. Clients and callbacks have five eighths of them, four for requests in flight;
// connections to workers have the rest.
func (s *service) setSocketLimit(sockets int) {
	sockets -= reservedDescriptors
	if s.process.Admin != "" {
		sockets -= adminDescriptors
	}
	if s.tenancy != nil {
		sockets -= apiDescriptors
	}
	workerSockets := sockets * 3 / 8
	s.clients.SetMaxInFlight(sockets / 2)
	s.clientQuota.Resize(sockets - workerSockets)
	s.workerQuota.Resize(workerSockets)
}

// applySocketRules sets what holds on sockets, whatever the settings say.
func applySocketRules(d *dispatch.Config) {
	d.Rules.PollWithin = min(d.Rules.PollWithin, maxPollInterval)
	d.NotifiesAccepted = true
}
