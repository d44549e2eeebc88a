package tenants

import "fmt"

// A hinted cost is corrected by the ratio of worker time to hint in the latest attempts. There is no
// estimate without such attempts, nor for an unknown operation.
func ExampleAccount_EstimateCost() {
	f := newFixture(100, 1)
	f.putTenant("t", 1, Limits{})
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
