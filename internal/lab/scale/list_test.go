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

// fullUpdateText writes a full update of so many entries, of so many different workers.
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

// applyFullUpdate does what the service does with a full update, from its text to the decisions, by
// a watcher and a dispatcher of its own.
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
		watcher := discovery.New(loop, "127.0.0.1:1", deployment.Zones, deployment.Kinds, time.Now())
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

// A long list costs in proportion to its entries, and one that names the same worker again and
// again no more than one of as many different ones. Allocations are counted, as times differ.
func TestFullUpdateCostIsLinear(t *testing.T) {
	smallList, smallKnown := applyFullUpdate(t, 10_000, 10_000)
	largeList, largeKnown := applyFullUpdate(t, 100_000, 100_000)
	if smallKnown != 10_000 || largeKnown != 100_000 || largeList > 11*smallList {
		t.Errorf("%d entries: %.0f allocations, %d entries: %.0f", smallKnown, smallList, largeKnown, largeList)
	}
	repeated, repeatedKnown := applyFullUpdate(t, 10_000, 10)
	if repeatedKnown != 10 || repeated > smallList {
		t.Errorf("%d workers in 10000 entries: %.0f allocations, %.0f where all differ", repeatedKnown, repeated, smallList)
	}
	t.Logf("10000: %.0f allocations, 100000: %.0f, 10 workers a thousand times: %.0f", smallList, largeList, repeated)
}
