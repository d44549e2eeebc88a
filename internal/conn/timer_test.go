package conn

import (
	"fmt"
	"time"
)

// Timers fire in the order of their due times. A stopped timer does not fire, even if it is stopped
// by a timer that fires earlier in the same iteration.
func ExampleLoop_After() {
	l := NewLoop(time.Now())
	var b *Timer
	l.After(3*time.Millisecond, func() { fmt.Println("last"); l.Stop() })
	l.After(time.Millisecond, func() { fmt.Println("first"); b.Stop() })
	b = l.After(2*time.Millisecond, func() { fmt.Println("stopped") })
	l.After(time.Millisecond, func() { fmt.Println("second") })
	l.Run(func() {})
	b.Stop()
	// Output:
	// first
	// second
	// last
}
