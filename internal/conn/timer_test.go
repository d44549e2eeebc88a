package conn

import (
	"fmt"
	"time"
)

// Timers fire in order, a stopped one not at all, also when it is stopped by another that fires
// first.
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
