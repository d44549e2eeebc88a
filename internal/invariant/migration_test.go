package invariant

import (
	"fmt"
	"time"

	"stoatweir/dispatch"
)

// A request that migrates to another process and is rejected there keeps its record of attempts, and a
// request that another process has migrated is held to the same limits.
func ExampleChecker_MigrateOut() {
	f := newFixture(RequestLimits{Effect: dispatch.NonIdempotent})
	f.send(0, target("s-1", 0))
	migrated := f.MigrateOut(1)
	fmt.Println(f.send(1, target("s-2", 0)))
	f.CancelMigration(1, migrated)
	f.AttemptEnded(1, 0, "lost", true)
	fmt.Println(f.send(1, target("s-2", 0)))
	f.MigrateIn(1, RequestLimits{Effect: dispatch.NonIdempotent}, []MigratedAttempt{{Worker: "s-1", Age: time.Second, MayHaveRun: true}})
	fmt.Println(f.send(1, target("s-2", 0)))
	// Output:
	// sent for a request that is not open
	// repeated though it may have run
	// repeated though it may have run
}
