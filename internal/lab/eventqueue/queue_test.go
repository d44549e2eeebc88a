package eventqueue

import (
	"fmt"
	"time"
)

// Values come out in the order of their times. Those with the same time come out in the order in
// which they were pushed.
func Example() {
	var q Queue[string]
	fmt.Println(q.Due(time.Hour), q.NextTime(-1))
	for i, at := range []time.Duration{3, 1, 2, 1, 3, 1} {
		q.Push(at, fmt.Sprintf("%v#%d", at, i))
	}
	for q.Due(2) {
		fmt.Print(q.Pop(), " ")
	}
	fmt.Println(q.Due(2), q.NextTime(-1))
	// Output:
	// false -1ns
	// 1ns#1 1ns#3 1ns#5 2ns#2 false 3ns
}
