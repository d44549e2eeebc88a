package main

import (
	"runtime/debug"

	"stoatweir/dispatch"
)

const (
	// reservedDescriptors is the number of descriptors for things other than connections: the
	// standard streams, the poller, the listener and the link to a successor.
	reservedDescriptors = 16
	// adminDescriptors is the number of descriptors for admin calls: one for each concurrent call,
	// one for the listener, and one for a call that is accepted before another is closed.
	adminDescriptors = maxConcurrentAdminCalls + 2

	// memoryReserveShare is the share of the memory quota that is kept back from the garbage
	// collector's limit. It covers memory that the collector does not count (the program itself,
	// the kernel's pages for threads) and short excursions over the limit.
	memoryReserveShare = 0.4
	// maxMemoryReserveMiB caps the reserve, as the memory it covers does not grow with the quota. A
	// limit below the live heap makes the collector run continuously: with 5,900 requests in
	// flight and a limit of 0.6 of 256 MiB, it used a whole core.
	maxMemoryReserveMiB = 48
	// bytesPerMiB is the number of bytes in a MiB.
	bytesPerMiB = 1 << 20
)

// SetQuotas sets the number of descriptors and the MiB of memory that this process may use. It
// implements takeover.Lifecycle.
func (s *service) SetQuotas(sockets, memoryMB int) {
	s.setSocketLimit(sockets)
	debug.SetMemoryLimit(memoryLimitBytes(memoryMB))
}

// memoryLimitBytes returns the garbage collector's memory limit in bytes for a memory quota in MiB.
func memoryLimitBytes(memoryMB int) int64 {
	quota := float64(memoryMB)
	reserve := min(memoryReserveShare*quota, maxMemoryReserveMiB)
	return int64((quota - reserve) * bytesPerMiB)
}

// setSocketLimit divides the descriptors that remain after the reserved ones. Three eighths are for
// connections to workers, and five eighths for connections from clients and from workers that send
// callbacks. The number of requests in flight is limited to half of the remaining descriptors.
func (s *service) setSocketLimit(sockets int) {
	sockets -= reservedDescriptors
	if s.process.Admin != "" {
		sockets -= adminDescriptors
	}
	if s.tenancy != nil {
		sockets -= tenantAPIDescriptors
	}
	workerSockets := sockets * 3 / 8
	s.clients.SetMaxInFlight(sockets / 2)
	s.clientQuota.Resize(sockets - workerSockets)
	s.workerQuota.Resize(workerSockets)
}

// applySocketRules overrides settings that cannot be chosen freely when the scheduler runs on real
// sockets.
func applySocketRules(d *dispatch.Config) {
	d.Rules.PollWithin = min(d.Rules.PollWithin, maxPollInterval)
	d.WorkersReportAccepted = true
}
