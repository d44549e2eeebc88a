package dispatch_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"stoatweir/dispatch"
)

// The figures of docs/CAPACITY.md for what one scheduler teaches the next, and for newer settings in the decisions.

func fleetOf(n int) (list dispatch.Listing) {
	list.Form = dispatch.ListWhole
	for at := range n {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(at >> 16), byte(at >> 8), byte(at)}), 7000)
		list.Entries = append(list.Entries, dispatch.Entry{Worker: addr, Zone: at % 15, Kind: at % 4, Cell: at / 40, Standing: dispatch.Ready})
	}
	return list
}

func learned(n int) dispatch.Lesson {
	l := dispatch.Lesson{Version: dispatch.LessonVersion, Operations: map[int]dispatch.OperationLesson{}}
	for o := range 71 {
		l.Operations[o] = dispatch.OperationLesson{Ratios: make([]float64, 16), Sizes: make([]float64, 16), Rough: make([]float64, 16)}
	}
	figures := []float64{3, 3.25, 2.5, 4, 1, 2, 3.125, 0.5}
	for _, e := range fleetOf(n).Entries {
		l.Workers = append(l.Workers, dispatch.WorkerLesson{Worker: e.Worker, Start: e.Start,
			Paces: append(append([]float64(nil), figures...), figures...), Service: 122.125, Figures: figures, Last: 3, Size: 24,
			FigureAge: 1234567891, ReportAge: 987654321, Sign: 1234567})
	}
	return l
}

// BenchmarkLesson writes the lesson of so many workers in parts of 16, as the hand-over does, and has another instance heed it.
func BenchmarkLesson(b *testing.B) {
	for _, n := range []int{240, 950, 1900, 3800} {
		d := dispatch.Deployment{Peers: 15, Operations: make([]dispatch.Operation, 71)}
		b.Run(fmt.Sprint("write/", n), func(b *testing.B) {
			l, size := learned(n), 0
			for b.Loop() {
				size = 0
				for from := 0; from < n; from += 16 {
					part := dispatch.Lesson{Version: l.Version, Workers: l.Workers[from:min(n, from+16)]}
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
				core.Handle(2, []dispatch.Event{dispatch.Taught{Lesson: l}})
			}
		})
	}
}

// BenchmarkRetuned has the decisions follow newer settings of so many operations.
func BenchmarkRetuned(b *testing.B) {
	for _, n := range []int{71, 284, 1136, 2272, 4096} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := dispatch.Deployment{Peers: 15, Operations: make([]dispatch.Operation, n)}
			var from []int
			for o := range n {
				from = append(from, o)
			}
			core := dispatch.New(d, 1)
			core.Handle(1, []dispatch.Event{fleetOf(3800)})
			now := time.Duration(2)
			for b.Loop() {
				now += time.Millisecond
				core.Handle(now, []dispatch.Event{dispatch.Retuned{Deployment: d, From: from}})
			}
		})
	}
}
