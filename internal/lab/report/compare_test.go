package report

import (
	"fmt"
	"os"
	"testing"
)

// A comparison concludes that one side is better only if the confidence interval of the difference
// excludes 0. Runs that are not of the same scenario, seed and mode, or are void, are rejected.
func Example() {
	var a, b []Report
	for n := range 6 {
		x := Report{Scenario: "day", Mode: "virtual", Seed: int64(n),
			Service: 0.5 + 0.05*float64(n), WorstInterval: 0.4, All: Service{P99: 100, Offered: 10}}
		y := x
		y.Service += 0.02 + 0.001*float64(n%2)               // small compared with the spread of the runs, but nearly equal in all pairs
		y.WorstInterval += 0.03 * float64([]int{1, -1}[n%2]) // alternating in sign: no difference can be shown
		y.All.P99 += 5 + float64(n%3)                        // worse in every pair
		a, b = append(a, x), append(b, y)
	}
	differences, err := Compare(a, b)
	Table(os.Stdout, "one", "two", differences[:4])
	fmt.Println(err)
	b[3].Seed = 9
	_, err = Compare(a, b)
	fmt.Println(err)
	b[3].Seed, b[2].InvalidReason = 3, "sent late"
	_, err = Compare(a, b)
	fmt.Println(err)
	_, err = Compare(a, b[:2])
	fmt.Println(err)
	// Output:
	// a: one
	// b: two
	//                           a         b    b - a  95% from       to  pairs           conclusion
	//           service    0.6250    0.6455  +0.0205   +0.0199  +0.0211      6          b is better
	//        worst 10 s    0.4000    0.4000  +0.0000   -0.0345  +0.0345      6  no difference shown
	//   worst operation    0.0000    0.0000  +0.0000   +0.0000  +0.0000      6  no difference shown
	//            p99 ms  100.0000  106.0000  +6.0000   +5.0614  +6.9386      6          a is better
	// <nil>
	// pair 3: day by seed 3 (virtual) and day by seed 9 (virtual) are not the same day
	// pair 2 is void: sent late
	// 6 days and 2 days make no pairs
}

// Plots are drawn as SVG and PNG. Another suffix and a run that is too short are errors.
func TestPlot(t *testing.T) {
	for _, name := range []string{"x.svg", "x.png"} {
		var size byteCounter
		if err := Plot(&size, name, Report{Scenario: "day", ServiceBySecond: []float64{1, 0.5, 1}}); err != nil || size < 1000 {
			t.Errorf("%s: got %d bytes and error %v, want at least 1000 bytes and no error", name, size, err)
		}
	}
	if Plot(new(byteCounter), "x.gif", Report{ServiceBySecond: []float64{1, 1}}) == nil ||
		Plot(new(byteCounter), "x.svg", Report{ServiceBySecond: []float64{1}}) == nil {
		t.Error("no error for a plot with an unknown suffix, or of a run of one second")
	}
}

// byteCounter is a writer that counts the bytes written.
type byteCounter int

func (c *byteCounter) Write(b []byte) (int, error) { *c += byteCounter(len(b)); return len(b), nil }
