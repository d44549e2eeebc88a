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

// fakeService is a Service that records the requests it adopts and the migration records it receives.
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
func (f *fakeService) PredecessorChanged(bool)     {}
func (f *fakeService) ShouldMigrate() bool         { return false }
func (f *fakeService) SetQuotas(int, int)          {}

// newTestManager returns a Manager, with its fake service, of a process that admits requests of one
// deduplicated operation.
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
	server.OnIDUseChanged = func(string, bool) {}
	server.OnEvent = func(dispatch.Event) {}
	service := &fakeService{deployment: process.Deployment}
	return New(Config{
		Loop:        loop,
		Clients:     server,
		Workers:     workers.NewTransport(loop, process.Deployment, loop.NewQuota(100)),
		Endpoints:   discovery.NewWatcher(loop, process.Discovery, process.Deployment.Zones, process.Deployment.Kinds, start),
		Service:     service,
		Log:         logrus.NewEntry(log),
		ProcessName: "n0",
	}), service
}

// The time in transit counts toward a migrated request's client timeout and its deduplication window,
// whether the successor adopts the request or the predecessor restores it. If it were not counted, a
// request could be served after its client has stopped waiting, or retried after its deduplication window.
func TestRequestsAgeInTransit(t *testing.T) {
	const transit, remaining, age = 400 * time.Millisecond, 5 * time.Second, 2 * time.Second
	m, service := newTestManager(t)
	worker := netip.MustParseAddrPort("127.0.0.1:9")
	m.workers.ApplyUpdate(discovery.Update{Kind: dispatch.FullUpdate, Workers: []discovery.Worker{{UID: "s-1", Address: worker.String(),
		Endpoint: dispatch.Endpoint{Worker: worker, State: dispatch.Ready}}}})
	record := dispatch.MigratedIn{Arrival: dispatch.Arrival{Budget: remaining}, Waited: age, Age: age,
		Attempts: []dispatch.Attempt{{Worker: worker, Age: age, StartedAge: -1, LastProgressAge: age / 2, InFlight: true}}}
	want := record
	want.Budget, want.Waited, want.Age = remaining-transit, age+transit, age+transit
	want.Attempts = []dispatch.Attempt{{Worker: worker, Age: age + transit, StartedAge: -1,
		LastProgressAge: age/2 + transit, InFlight: true}}
	checkDuration := func(what string, got, want time.Duration) {
		t.Helper()
		if d := (got - want).Abs(); d > transit/2 {
			t.Error(what, "got", got, "want", want)
		}
	}
	checkRecord := func(what string, records []dispatch.MigratedIn) {
		t.Helper()
		if len(records) != 1 {
			t.Fatalf("%s: got records %+v, want one", what, records)
		}
		got := records[0]
		checkDuration(what+", budget", got.Budget, want.Budget)
		checkDuration(what+", waited", got.Waited, want.Waited)
		checkDuration(what+", age", got.Age, want.Age)
		if len(got.Attempts) != 1 {
			t.Fatalf("%s: got attempts %+v, want one", what, got.Attempts)
		}
		for n, attempt := range got.Attempts {
			checkDuration(what+", attempt age", attempt.Age, want.Attempts[n].Age)
			checkDuration(what+", last progress age", attempt.LastProgressAge, want.Attempts[n].LastProgressAge)
			if attempt.StartedAge != -1 {
				t.Error(what, "StartedAge of an attempt that has not started: want -1, got", attempt.StartedAge)
			}
		}
	}
	migrate := func(transit time.Duration) (adopted bool) {
		client, server, err := tcpPipe()
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		encoded, err := json.Marshal(migratedRequest{ID: fmt.Sprint(transit), Method: "POST", Target: "/keyed/k",
			EncodedAt: monotonicNow() - transit, Remaining: remaining, OperationName: "keyed", Operation: service.deployment.Dispatch.Operations[0],
			Timeout: service.deployment.ClientTimeouts[0], Record: record, AttemptWorkers: []string{"s-1"}, AttemptZones: []string{"a"}})
		if err != nil {
			t.Fatal(err)
		}
		return m.adopt(handover.Message{File: server, Connection: &handover.MigratedConnection{Invocation: encoded}})
	}
	if !migrate(transit) {
		t.Fatal("request with time left was not adopted")
	}
	checkRecord("adopted request", service.records)
	if len(service.adopted) != 1 {
		t.Fatal("want one adopted request, got", service.adopted)
	}
	checkDuration("time until the deadline", service.adopted[0].Deadline-m.loop.Now(), remaining-transit)
	if migrate(remaining) {
		t.Error("request was adopted although its client timeout passed in transit")
	}

	m, service = newTestManager(t)
	record.Attempts[0].InFlight = false
	m.restoreRequest(&migration{MigratingConnection: &clients.MigratingConnection{Invocation: 1},
		record: record, recordedAt: m.loop.Now() - transit})
	checkRecord("restored request", service.records)
}

// tcpPipe returns both ends of a TCP connection, the server's as a file, as another process would pass it.
func tcpPipe() (client net.Conn, server *os.File, err error) {
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
	server, err = c.(*net.TCPConn).File()
	return client, server, err
}
