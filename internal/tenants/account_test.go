package tenants

import "fmt"

// A hinted cost is corrected by what the latest attempts with such hints have taken.
func ExampleAccount_EstimateCost() {
	f := newFixture(100, 1)
	f.put("t", 1, Limits{})
	a := f.tenants["t"]
	fmt.Println(a.EstimateCost("render", 0.001))
	for range 8 {
		f.AttemptEnded(f.now, a, "render", 0.001, 40*ms)
	}
	fmt.Printf("%.2f %.2f\n", a.EstimateCost("render", 0.001), a.EstimateCost("other", 0.001))
	// Output:
	// 0
	// 0.04 0.00
}
