package eventqueue

import (
	"fmt"
	"time"
)

// By time; of one moment, first in, first out.
func Example() {
	var a Queue[string]
	fmt.Println(a.Due(time.Hour), a.NextTime(-1))
	for i, at := range []time.Duration{3, 1, 2, 1, 3, 1} {
		a.Push(at, fmt.Sprintf("%v#%d", at, i))
	}
	for a.Due(2) {
		fmt.Print(a.Pop(), " ")
	}
	fmt.Println(a.Due(2), a.NextTime(-1))
	// Output:
	// false -1ns
	// 1ns#1 1ns#3 1ns#5 2ns#2 false 3ns
}
