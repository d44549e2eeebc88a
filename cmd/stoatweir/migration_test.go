package main

import (
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/sirupsen/logrus"

	"stoatweir/dispatch"
	"stoatweir/internal/discovery"
	"stoatweir/internal/settings"
	"stoatweir/internal/takeover"
	"stoatweir/internal/workers"
)

// A request that was adopted, or whose migration failed, is tracked, and the dispatcher gets its
// record unchanged.
func TestMigratedRequestsAreTracked(t *testing.T) {
	process, err := settings.ParseProcess([]byte(`{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{"Operations":[
		{"Name":"keyed","Effect":"idempotency_key","DedupWindow":3}]}}`), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s, err := newService(process, logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	worker := netip.MustParseAddrPort("127.0.0.1:9")
	s.workers.ApplyUpdate(discovery.Update{Kind: dispatch.FullUpdate, Workers: []discovery.Worker{{UID: "s-1", Address: worker.String(),
		Endpoint: dispatch.Endpoint{Worker: worker, State: dispatch.Ready}}}})
	record := dispatch.MigratedIn{Arrival: dispatch.Arrival{Invocation: 1, Budget: time.Second}, Age: time.Second,
		Attempts: []dispatch.Attempt{{Worker: worker, Age: time.Second, StartedAge: -1, InFlight: true}, {Worker: worker, Age: time.Second}}}
	request := takeover.Request{Invocation: &workers.Invocation{Number: 1, ID: "job-1"}, Attempts: len(record.Attempts)}
	checkEvents := func(step string, want ...dispatch.Event) {
		t.Helper()
		if diff := cmp.Diff(want, s.events, cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
			t.Errorf("%s: events (-want +got):\n%s", step, diff)
		}
		s.events = nil
	}

	s.AdoptRequest(request, record)
	checkEvents("adopted", record)
	adopted := s.requests[1]
	if got, tracked := s.Request(1); !tracked || got != request || adopted.inFlight != 1 {
		t.Errorf("adopted as %+v, tracked %v", got, tracked)
	}
	s.BeginMigration(1)
	checkEvents("migrating", dispatch.MigratedOut{Invocation: 1})
	if _, tracked := s.Request(1); tracked || s.migrating[1] != adopted {
		t.Error("a migrating request is still tracked, or was lost")
	}
	s.CancelMigration(1, record)
	checkEvents("restored", record)
	if s.requests[1] != adopted || len(s.migrating) > 0 {
		t.Error("after a cancelled migration the request is not tracked as before")
	}
	s.BeginMigration(1)
	s.FinishMigration(1)
	if _, tracked := s.Request(1); tracked || len(s.migrating) > 0 {
		t.Error("a request that has migrated is still tracked or migrating")
	}
}
