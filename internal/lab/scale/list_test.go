package scale

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/conn"
	"stoatweir/internal/discovery"
	"stoatweir/internal/settings"
	"stoatweir/internal/workers"
)

// fullUpdateText returns a full update with entryCount entries, which name distinct workers in turn.
func fullUpdateText(entryCount, distinct int) []byte {
	var b strings.Builder
	b.WriteString(`{"rev":1,"all":true,"targets":[`)
	for n := range entryCount {
		if n > 0 {
			b.WriteByte(',')
		}
		n %= distinct
		fmt.Fprintf(&b, `{"uid":"w%d","endpoint":"127.%d.%d.1:%d","az":"z%d",`, n, n>>12, n>>4&255, 9000+n&15, n%15)
		b.WriteString(`"model":"a","pod_group":1,"state":"Ready","capacity_hint":1,"boot_ms":0}`)
	}
	b.WriteString("]}")
	return []byte(b.String())
}

// applyFullUpdate applies a full update as the service does, from parsing its text to handling it in
// the dispatcher, with a new watcher, transport and dispatcher. It returns the allocations of that and
// the number of endpoints known afterwards.
func applyFullUpdate(t *testing.T, entryCount, distinct int) (allocations float64, known int) {
	t.Helper()
	text := fullUpdateText(entryCount, distinct)
	deployment, err := settings.ParseDeployment(Scenario{Zones: 15, TotalSchedulers: 15, InFlight: 100, Starts: 48, Hedging: true,
		Operations: []Operation{{Name: "render", Effect: "idempotent"}}}.settings(0))
	if err != nil {
		t.Fatal(err)
	}
	allocations = testing.AllocsPerRun(1, func() {
		loop := conn.NewLoop(time.Now())
		watcher := discovery.NewWatcher(loop, "127.0.0.1:1", deployment.Zones, deployment.Kinds, time.Now())
		transport := workers.NewTransport(loop, deployment, loop.NewQuota(100))
		dispatcher := dispatch.New(deployment.Dispatch, 1)
		update, err := watcher.Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		transport.ApplyUpdate(update)
		dispatcher.Handle(time.Second, []dispatch.Event{update.EndpointUpdate()})
		dispatcher.Handle(2*time.Second, []dispatch.Event{dispatch.TimerFired{}})
		known = transport.EndpointCount()
	})
	return allocations, known
}

// The cost of a full update grows in proportion to its entries, and a list that names the same workers
// repeatedly costs no more than one of as many distinct workers. Allocations are compared because
// times differ between runs.
func TestFullUpdateCostIsLinear(t *testing.T) {
	smallList, smallKnown := applyFullUpdate(t, 10_000, 10_000)
	largeList, largeKnown := applyFullUpdate(t, 100_000, 100_000)
	if smallKnown != 10_000 || largeKnown != 100_000 || largeList > 11*smallList {
		t.Errorf("%d endpoints: %.0f allocations, %d endpoints: %.0f; want 10000 and 100000 endpoints, at most 11 times the allocations",
			smallKnown, smallList, largeKnown, largeList)
	}
	repeated, repeatedKnown := applyFullUpdate(t, 10_000, 10)
	if repeatedKnown != 10 || repeated > smallList {
		t.Errorf("10000 entries of %d workers: %.0f allocations; want 10 workers and at most the %.0f allocations of distinct ones",
			repeatedKnown, repeated, smallList)
	}
	t.Logf("allocations: 10000 entries %.0f, 100000 entries %.0f, 10 workers 1000 times each %.0f", smallList, largeList, repeated)
}
