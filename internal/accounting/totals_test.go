package accounting

import (
	"fmt"
	"math/rand"
	"testing"
)

// The metrics in the format that operators read. A class name with a quote, a backslash or a
// newline must be escaped, or it would break other lines.
func ExampleTotals_Text() {
	l := New("render", "a\"b\\c\nd")
	l.Admitted(l.Class("render"))
	l.Admitted(l.Class("render"))
	l.Completed(l.Class("render"), Succeeded)
	l.Admitted(l.Class("new"))
	l.Completed(l.Class("new"), Declined)
	l.Forwarded()
	l.ConfigurationLoaded(false)
	fmt.Print(l.Totals(3, 1).Text())
	// Output:
	// svc_results_total{service="render",disposition="succeeded"} 1
	// svc_results_total{service="render",disposition="declined"} 0
	// svc_results_total{service="render",disposition="aborted"} 0
	// svc_results_total{service="a\"b\\c\nd",disposition="succeeded"} 0
	// svc_results_total{service="a\"b\\c\nd",disposition="declined"} 0
	// svc_results_total{service="a\"b\\c\nd",disposition="aborted"} 0
	// svc_results_total{service="new",disposition="succeeded"} 0
	// svc_results_total{service="new",disposition="declined"} 1
	// svc_results_total{service="new",disposition="aborted"} 0
	// svc_forwards_total 1
	// svc_outstanding 1
	// svc_discovered 3
	// svc_ejected 1
	// svc_sighup_applied_total 0
	// svc_sighup_rejected_total 1
}

// Totals must not change when the ledger changes later, and Outstanding must be the number of
// requests admitted and not completed, whatever the order of events.
func TestTotalsAreACopy(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	l := New("a", "b")
	outstanding := []int{} // class index of each outstanding request
	before := l.Totals(0, 0)
	for range 1000 {
		if class := rng.Intn(2); rng.Intn(3) > 0 {
			l.Admitted(class)
			outstanding = append(outstanding, class)
		} else if len(outstanding) > 0 {
			l.Completed(outstanding[0], Disposition(rng.Intn(dispositionCount)))
			outstanding = outstanding[1:]
		}
		if got := l.Totals(0, 0).Outstanding; got != len(outstanding) {
			t.Fatal("outstanding requests: got", got, "want", len(outstanding))
		}
	}
	if before.Classes[0].Admitted != 0 || before.Outstanding != 0 {
		t.Error("totals taken earlier have changed with the ledger")
	}
}
