package settings

import "fmt"

// Load reports are text or JSON, with the value names that the deployment configures. Invalid reports
// and those without any known value give none.
func ExampleReport_Parse() {
	r := Report{Names: []string{"waiting", "avg_ms", "x0"}, Meanings: []string{"waiting", "avg_ms", "free slots"}}
	for _, text := range []string{"TEXT waiting=2, avg_ms=614.3, x0=0.5", `{"x0":3,"other":1}`, "TEXT queue=7", "TEXT x0=much",
		"TEXT x0=NaN", "TEXT other=1", "{", ""} {
		load := r.Parse(text)
		if load == nil {
			fmt.Println("none")
			continue
		}
		fmt.Println(load.Queued, load.ServiceTime, load.FreeSlots)
	}
	// Output:
	// 2 614.3 0.5
	// 0 0 3
	// 7 0 -1
	// none
	// none
	// none
	// none
	// none
}
