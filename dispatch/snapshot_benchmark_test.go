package dispatch_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"

	"stoatweir/dispatch"
)

// The figures of docs/CAPACITY.md for what one scheduler teaches the next, and for newer settings in the decisions.

func fullUpdateOf(workers int) (update dispatch.EndpointUpdate) {
	update.Kind = dispatch.FullUpdate
	for index := range workers {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(index >> 16), byte(index >> 8), byte(index)}), 7000)
		update.Endpoints = append(update.Endpoints, dispatch.Endpoint{Worker: addr, Zone: index % 15, Kind: index % 4, Cell: index / 40, State: dispatch.Ready})
	}
	return update
}

func snapshotOf(workers int) dispatch.Snapshot {
	snapshot := dispatch.Snapshot{Version: dispatch.SnapshotVersion, Operations: map[int]dispatch.OperationSnapshot{}}
	for operation := range 71 {
		snapshot.Operations[operation] = dispatch.OperationSnapshot{CostRatios: make([]float64, 16), RunTimes: make([]float64, 16), HintErrors: make([]float64, 16)}
	}
	samples := []float64{3, 3.25, 2.5, 4, 1, 2, 3.125, 0.5}
	for _, e := range fullUpdateOf(workers).Endpoints {
		snapshot.Workers = append(snapshot.Workers, dispatch.WorkerSnapshot{Worker: e.Worker, Incarnation: e.Incarnation,
			Paces: append(append([]float64(nil), samples...), samples...), ServiceTime: 122.125, FreeSlots: samples, LastFreeSlots: 3, MaxFreeSlots: 24,
			FreeSlotsAge: 1234567891, ReportAge: 987654321, LastProgressAge: 1234567})
	}
	return snapshot
}

// BenchmarkLesson writes the lesson of so many workers in parts of 16, as the hand-over does, and has another instance heed it.
func BenchmarkSnapshot(b *testing.B) {
	for _, workers := range []int{240, 950, 1900, 3800} {
		deployment := dispatch.Config{Schedulers: 15, Operations: make([]dispatch.Operation, 71)}
		b.Run(fmt.Sprint("write/", workers), func(b *testing.B) {
			snapshot, size := snapshotOf(workers), 0
			for b.Loop() {
				size = 0
				for from := 0; from < workers; from += 16 {
					part := dispatch.Snapshot{Version: snapshot.Version, Workers: snapshot.Workers[from:min(workers, from+16)]}
					text, err := json.Marshal(part)
					if err != nil {
						b.Fatal(err)
					}
					size += len(text)
				}
			}
			b.ReportMetric(float64(size)/float64(workers), "bytes/worker")
			b.ReportMetric(float64((workers+15)/16), "messages")
		})
		b.Run(fmt.Sprint("heed/", workers), func(b *testing.B) {
			snapshot := snapshotOf(workers)
			for b.Loop() {
				dispatcher := dispatch.New(deployment, 1)
				dispatcher.Handle(1, []dispatch.Event{fullUpdateOf(workers)})
				dispatcher.Handle(2, []dispatch.Event{dispatch.SnapshotLoaded{Snapshot: snapshot}})
			}
		})
	}
}
