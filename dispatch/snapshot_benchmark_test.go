package dispatch_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"

	"stoatweir/dispatch"
)

// The benchmarks of this package measure the figures for snapshots and reconfiguration in
// docs/CAPACITY.md.

// fullUpdateOf returns a full update with the given number of workers in 15 zones.
func fullUpdateOf(workers int) (update dispatch.EndpointUpdate) {
	update.Kind = dispatch.FullUpdate
	for index := range workers {
		address := netip.AddrFrom4([4]byte{10, byte(index >> 16), byte(index >> 8), byte(index)})
		update.Endpoints = append(update.Endpoints, dispatch.Endpoint{
			Worker: netip.AddrPortFrom(address, 7000),
			Zone:   index % 15,
			Kind:   index % 4,
			Cell:   index / 40,
			State:  dispatch.Ready,
		})
	}
	return update
}

// snapshotOf returns a snapshot of 71 operations and the given number of workers, each with all its
// samples.
func snapshotOf(workers int) dispatch.Snapshot {
	snapshot := dispatch.Snapshot{
		Version:    dispatch.SnapshotVersion,
		Operations: map[int]dispatch.OperationSnapshot{},
	}
	for operation := range 71 {
		snapshot.Operations[operation] = dispatch.OperationSnapshot{
			CostRatios: make([]float64, 16),
			RunTimes:   make([]float64, 16),
			HintErrors: make([]float64, 16),
		}
	}
	samples := []float64{3, 3.25, 2.5, 4, 1, 2, 3.125, 0.5}
	for _, e := range fullUpdateOf(workers).Endpoints {
		snapshot.Workers = append(snapshot.Workers, dispatch.WorkerSnapshot{
			Worker:          e.Worker,
			Incarnation:     e.Incarnation,
			Paces:           append(append([]float64(nil), samples...), samples...),
			ServiceTime:     122.125,
			FreeSlots:       samples,
			LastFreeSlots:   3,
			MaxFreeSlots:    24,
			FreeSlotsAge:    1234567891,
			ReportAge:       987654321,
			LastProgressAge: 1234567,
		})
	}
	return snapshot
}

// BenchmarkSnapshot measures a snapshot by the number of workers: writing it in parts of 16 workers, as
// the hand-over does, and loading it into a successor.
func BenchmarkSnapshot(b *testing.B) {
	const partSize = 16 // workers
	for _, workers := range []int{240, 950, 1900, 3800} {
		config := dispatch.Config{Schedulers: 15, Operations: make([]dispatch.Operation, 71)}
		b.Run(fmt.Sprint("write/", workers), func(b *testing.B) {
			snapshot := snapshotOf(workers)
			size := 0
			for b.Loop() {
				size = 0
				for from := 0; from < workers; from += partSize {
					part := dispatch.Snapshot{
						Version: snapshot.Version,
						Workers: snapshot.Workers[from:min(workers, from+partSize)],
					}
					text, err := json.Marshal(part)
					if err != nil {
						b.Fatal(err)
					}
					size += len(text)
				}
			}
			b.ReportMetric(float64(size)/float64(workers), "bytes/worker")
			b.ReportMetric(float64((workers+partSize-1)/partSize), "messages")
		})
		b.Run(fmt.Sprint("load/", workers), func(b *testing.B) {
			snapshot := snapshotOf(workers)
			for b.Loop() {
				dispatcher := dispatch.New(config, 1)
				dispatcher.Handle(1, []dispatch.Event{fullUpdateOf(workers)})
				dispatcher.Handle(2, []dispatch.Event{dispatch.SnapshotLoaded{Snapshot: snapshot}})
			}
		})
	}
}
