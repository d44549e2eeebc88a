package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"stoatweir/dispatch"
)

// BenchmarkRetuned has the decisions follow newer settings of so many operations.
func BenchmarkRetuned(b *testing.B) {
	for _, n := range []int{71, 284, 1136, 2272, 4096} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := dispatch.Config{Schedulers: 15, Operations: make([]dispatch.Operation, n)}
			var from []int
			for o := range n {
				from = append(from, o)
			}
			core := dispatch.New(d, 1)
			core.Handle(1, []dispatch.Event{fleetOf(3800)})
			now := time.Duration(2)
			for b.Loop() {
				now += time.Millisecond
				core.Handle(now, []dispatch.Event{dispatch.Reconfigured{Config: d, PreviousOperations: from}})
			}
		})
	}
}
