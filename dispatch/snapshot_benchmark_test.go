package dispatch_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"

	"stoatweir/dispatch"
)

// The figures of docs/CAPACITY.md for what one scheduler teaches the next, and for newer settings in the decisions.

func fleetOf(n int) (list dispatch.EndpointUpdate) {
	list.Kind = dispatch.FullUpdate
	for at := range n {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(at >> 16), byte(at >> 8), byte(at)}), 7000)
		list.Endpoints = append(list.Endpoints, dispatch.Endpoint{Worker: addr, Zone: at % 15, Kind: at % 4, Cell: at / 40, State: dispatch.Ready})
	}
	return list
}

func learned(n int) dispatch.Snapshot {
	l := dispatch.Snapshot{Version: dispatch.SnapshotVersion, Operations: map[int]dispatch.OperationSnapshot{}}
	for o := range 71 {
		l.Operations[o] = dispatch.OperationSnapshot{CostRatios: make([]float64, 16), RunTimes: make([]float64, 16), HintErrors: make([]float64, 16)}
	}
	figures := []float64{3, 3.25, 2.5, 4, 1, 2, 3.125, 0.5}
	for _, e := range fleetOf(n).Endpoints {
		l.Workers = append(l.Workers, dispatch.WorkerSnapshot{Worker: e.Worker, Incarnation: e.Incarnation,
			Paces: append(append([]float64(nil), figures...), figures...), ServiceTime: 122.125, FreeSlots: figures, LastFreeSlots: 3, MaxFreeSlots: 24,
			FreeSlotsAge: 1234567891, ReportAge: 987654321, LastProgressAge: 1234567})
	}
	return l
}

// BenchmarkLesson writes the lesson of so many workers in parts of 16, as the hand-over does, and has another instance heed it.
func BenchmarkLesson(b *testing.B) {
	for _, n := range []int{240, 950, 1900, 3800} {
		d := dispatch.Config{Schedulers: 15, Operations: make([]dispatch.Operation, 71)}
		b.Run(fmt.Sprint("write/", n), func(b *testing.B) {
			l, size := learned(n), 0
			for b.Loop() {
				size = 0
				for from := 0; from < n; from += 16 {
					part := dispatch.Snapshot{Version: l.Version, Workers: l.Workers[from:min(n, from+16)]}
					text, err := json.Marshal(part)
					if err != nil {
						b.Fatal(err)
					}
					size += len(text)
				}
			}
			b.ReportMetric(float64(size)/float64(n), "bytes/worker")
			b.ReportMetric(float64((n+15)/16), "messages")
		})
		b.Run(fmt.Sprint("heed/", n), func(b *testing.B) {
			l := learned(n)
			for b.Loop() {
				core := dispatch.New(d, 1)
				core.Handle(1, []dispatch.Event{fleetOf(n)})
				core.Handle(2, []dispatch.Event{dispatch.SnapshotLoaded{Snapshot: l}})
			}
		})
	}
}
