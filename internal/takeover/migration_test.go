package takeover

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"stoatweir/dispatch"
	"stoatweir/internal/accounting"
	"stoatweir/internal/clients"
	"stoatweir/internal/conn"
	"stoatweir/internal/discovery"
	"stoatweir/internal/handover"
	"stoatweir/internal/lifecycle"
	"stoatweir/internal/settings"
	"stoatweir/internal/workers"
)

// fakeService is a Service that records what it is given.
type fakeService struct {
	deployment settings.Deployment
	adopted    []Request
	records    []dispatch.MigratedIn
}

func (f *fakeService) Request(dispatch.InvocationID) (Request, bool) { return Request{}, false }
func (f *fakeService) BeginMigration(dispatch.InvocationID)          {}
func (f *fakeService) FinishMigration(dispatch.InvocationID)         {}
func (f *fakeService) CancelMigration(_ dispatch.InvocationID, record dispatch.MigratedIn) {
	f.records = append(f.records, record)
}
func (f *fakeService) AdoptRequest(request Request, record dispatch.MigratedIn) {
	f.adopted = append(f.adopted, request)
	f.records = append(f.records, record)
}
func (f *fakeService) TenantIndex(string, string) (int, bool) { return 0, true }
func (f *fakeService) Deployment() *settings.Deployment       { return &f.deployment }
func (f *fakeService) Decide()                                {}
func (f *fakeService) Notify(dispatch.Event)                  {}
func (f *fakeService) MigrationRecord(dispatch.InvocationID) (dispatch.MigratedIn, bool) {
	return dispatch.MigratedIn{}, false
}
func (f *fakeService) Snapshot() dispatch.Snapshot { return dispatch.Snapshot{} }
func (f *fakeService) EndpointsKnown()             {}
func (f *fakeService) SuccessorServing()           {}
func (f *fakeService) SuccessorExited()            {}
func (f *fakeService) Migrates() bool              { return false }
func (f *fakeService) SetQuotas(int, int)          {}

// newTestManager is a Manager of a process that admits requests of one deduplicated operation.
func newTestManager(t *testing.T) (*Manager, *fakeService) {
	t.Helper()
	process, err := settings.ParseProcess([]byte(`{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{"Operations":[
		{"Name":"keyed","Effect":"idempotency_key","DedupWindow":3}]}}`), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	start := time.Now()
	loop := conn.NewLoop(start)
	server := clients.New(loop, process.Deployment, loop.NewQuota(100), accounting.New())
	server.SetMaxInFlight(100)
	server.Behavior = func() lifecycle.Behavior { return lifecycle.Behavior{Ready: true, Accepts: true, Admits: true} }
	server.OnOwnership = func(string, bool) {}
	server.OnEvent = func(dispatch.Event) {}
	service := &fakeService{deployment: process.Deployment}
	return New(Config{
		Loop:        loop,
		Clients:     server,
		Workers:     workers.NewTransport(loop, process.Deployment, loop.NewQuota(100)),
		Endpoints:   discovery.New(loop, process.Discovery, process.Deployment.Zones, process.Deployment.Kinds, start),
		Service:     service,
		Log:         logrus.NewEntry(log),
		ProcessName: "n0",
	}), service
}

// A migrated request ages while it is in transit: its client waits no longer for that, and its deduplication window does not last
// longer. One that comes back is as old as it is.
func TestRequestsAgeInTransit(t *testing.T) {
	const transit, remaining, age = 400 * time.Millisecond, 5 * time.Second, 2 * time.Second
	m, service := newTestManager(t)
	worker := netip.MustParseAddrPort("127.0.0.1:9")
	m.workers.ApplyUpdate(discovery.Update{Kind: dispatch.FullUpdate, Workers: []discovery.Worker{{UID: "s-1", Address: worker.String(),
		Endpoint: dispatch.Endpoint{Worker: worker, State: dispatch.Ready}}}})
	record := dispatch.MigratedIn{Arrival: dispatch.Arrival{Budget: remaining}, Waited: age, Age: age,
		Attempts: []dispatch.Attempt{{Worker: worker, Age: age, StartedAge: -1, LastProgressAge: age / 2, InFlight: true}}}
	aged := record
	aged.Budget, aged.Waited, aged.Age = remaining-transit, age+transit, age+transit
	aged.Attempts = []dispatch.Attempt{{Worker: worker, Age: age + transit, StartedAge: -1, LastProgressAge: age/2 + transit, InFlight: true}}
	near := func(what string, got, want time.Duration) {
		t.Helper()
		if d := (got - want).Abs(); d > transit/2 {
			t.Error(what, ": ", got, " for ", want)
		}
	}
	alike := func(what string, records []dispatch.MigratedIn) {
		t.Helper()
		if len(records) != 1 {
			t.Fatal(what, records)
		}
		got := records[0]
		near(what+", budget", got.Budget, aged.Budget)
		near(what+", waited", got.Waited, aged.Waited)
		near(what+", age", got.Age, aged.Age)
		if len(got.Attempts) != 1 {
			t.Fatal(what, got.Attempts)
		}
		for n, attempt := range got.Attempts {
			near(what+", attempt", attempt.Age, aged.Attempts[n].Age)
			near(what+", progress", attempt.LastProgressAge, aged.Attempts[n].LastProgressAge)
			if attempt.StartedAge != -1 {
				t.Error(what, ", started: ", attempt.StartedAge)
			}
		}
	}
	migrate := func(transit time.Duration) (adopted bool) {
		client, far, err := pipe()
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		text, err := json.Marshal(migratedRequest{ID: fmt.Sprint(transit), Method: "POST", Target: "/keyed/k", EncodedAt: uptime() - transit,
			Remaining: remaining, OperationName: "keyed", Operation: service.deployment.Dispatch.Operations[0],
			Timeout: service.deployment.ClientTimeouts[0], Record: record, AttemptWorkers: []string{"s-1"}, AttemptZones: []string{"a"}})
		if err != nil {
			t.Fatal(err)
		}
		return m.adopt(handover.Message{File: far, Connection: &handover.MigratedConnection{Invocation: text}})
	}
	if !migrate(transit) {
		t.Fatal("not adopted")
	}
	alike("adopted", service.records)
	if len(service.adopted) != 1 {
		t.Fatal("adopted: ", service.adopted)
	}
	near("until the deadline", service.adopted[0].Deadline-m.loop.Now(), remaining-transit)
	if migrate(remaining) {
		t.Error("adopted though its client has stopped waiting")
	}

	m, service = newTestManager(t)
	record.Attempts[0].InFlight = false
	m.restore(&migration{MigratingConnection: &clients.MigratingConnection{Invocation: 1}, record: record, recordedAt: m.loop.Now() - transit})
	alike("restored", service.records)
}

// pipe is a connection of which one side is a file, as it comes from another process.
func pipe() (client net.Conn, far *os.File, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	defer l.Close()
	if client, err = net.Dial("tcp", l.Addr().String()); err != nil {
		return nil, nil, err
	}
	c, err := l.Accept()
	if err != nil {
		return nil, nil, err
	}
	defer c.Close()
	far, err = c.(*net.TCPConn).File()
	return client, far, err
}
