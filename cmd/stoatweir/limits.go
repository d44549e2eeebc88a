package main

import "runtime/debug"

const (
	// memoryReserveShare is the part of the memory quota that is not the garbage collector's to use: what lies outside its
	// count (the program, the kernel's pages for threads, what exceeds the limit for a moment).
	memoryReserveShare = 0.4
	// memoryReserveMaxMB is the largest reserve in MiB, as it does not grow with the quota. A limit below what is in flight
	// has the collector run without end: with 5,900 requests in flight 0.6 of 256 MiB took the whole core.
	memoryReserveMaxMB = 48
)

// SetQuotas implements takeover.Lifecycle.
func (s *service) SetQuotas(sockets, memoryMB int) {
	s.setSocketLimit(sockets)
	debug.SetMemoryLimit(memoryLimit(memoryMB))
}

// memoryLimit is the garbage collector's limit in bytes for a memory quota in MiB.
func memoryLimit(memoryMB int) int64 {
	quota := float64(memoryMB)
	reserve := min(memoryReserveShare*quota, memoryReserveMaxMB)
	return int64((quota - reserve) * (1 << 20))
}
