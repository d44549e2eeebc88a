package main

import "runtime/metrics"

// Figures of our memory by the runtime's own names. Reading them stops nothing.
const (
	heapLive   = "/memory/classes/heap/objects:bytes"
	heapAllocs = "/gc/heap/allocs:objects"
	gcCycles   = "/gc/cycles/total:gc-cycles"
)

func memory() map[string]uint64 {
	all, figures := []metrics.Sample{{Name: heapLive}, {Name: heapAllocs}, {Name: gcCycles}}, map[string]uint64{}
	metrics.Read(all)
	for _, s := range all {
		if s.Value.Kind() == metrics.KindUint64 {
			figures[s.Name] = s.Value.Uint64()
		}
	}
	return figures
}
