package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"stoatweir/dispatch"
)

// BenchmarkReconfigured measures a reconfiguration, by the number of operations.
func BenchmarkReconfigured(b *testing.B) {
	for _, n := range []int{71, 284, 1136, 2272, 4096} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			config := dispatch.Config{Schedulers: 15, Operations: make([]dispatch.Operation, n)}
			var previous []int
			for operation := range n {
				previous = append(previous, operation)
			}
			dispatcher := dispatch.New(config, 1)
			dispatcher.Handle(1, []dispatch.Event{fullUpdateOf(3800)})
			now := time.Duration(2)
			for b.Loop() {
				now += time.Millisecond
				dispatcher.Handle(now, []dispatch.Event{dispatch.Reconfigured{Config: config, PreviousOperations: previous}})
			}
		})
	}
}
