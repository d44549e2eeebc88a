package conn

import (
	"fmt"
	"time"
)

// Timers fire in the order of their due times. A stopped timer does not fire, even if it is stopped
// by a timer that fires earlier in the same iteration.
func ExampleLoop_After() {
	l := NewLoop(time.Now())
	var stopped *Timer
	l.After(3*time.Millisecond, func() { fmt.Println("last"); l.Stop() })
	l.After(time.Millisecond, func() { fmt.Println("first"); stopped.Stop() })
	stopped = l.After(2*time.Millisecond, func() { fmt.Println("stopped") })
	l.After(time.Millisecond, func() { fmt.Println("second") })
	l.Run(func() {})
	stopped.Stop()
	// Output:
	// first
	// second
	// last
}
