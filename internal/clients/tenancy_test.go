package clients

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/tenants"
	"stoatweir/internal/workers"
)

// testSecret is the secret in every test tenant's credential.
const testSecret = "secret"

// newTenantServer returns a server for the tenants a, b (suspended) and c (limited to one request,
// of at most 100 bytes), and a function that sends it a request and prints the answer. The handle
// of tenant x is h-x and its credential's identifier is k-x. Each invocation is throttled at once.
func newTenantServer() (send func(text string), server *Server, closeListener func()) {
	loop, server, addr, closeListener := newTestServer(10)
	burst := 1.0
	ratePerS := 1e-6
	requestBytes := 100
	allTenants := []tenants.Tenant{
		testTenant("a", tenants.Active, tenants.Limits{}),
		testTenant("b", tenants.Suspended, tenants.Limits{}),
		testTenant("c", tenants.Active, tenants.Limits{RatePerSecond: &ratePerS, Burst: &burst, RequestBytes: &requestBytes}),
	}
	server.Admission = tenants.NewController(10, 1, rand.New(rand.NewPCG(1, 1)))
	for _, tenant := range allTenants {
		server.Admission.Put(loop.Now(), tenant)
	}
	server.Reconfigure(testDeployment().WithTenants(allTenants, 0))
	printEvent := server.OnEvent
	server.OnEvent = func(e dispatch.Event) {
		printEvent(e)
		if a, ok := e.(dispatch.Arrival); ok {
			server.Throttle(a.Invocation, 0)
		}
	}
	return func(text string) { roundTrip(loop, addr, text) }, server, closeListener
}

func testTenant(name string, state tenants.State, limits tenants.Limits) tenants.Tenant {
	return tenants.Tenant{
		Name:   name,
		Handle: "h-" + name,
		State:  state,
		Spec: tenants.Spec{Weight: 1, Limits: limits, Operations: []tenants.Operation{
			{Name: "render", Effect: tenants.Idempotent, ClientTimeoutSeconds: 1},
		}},
		Credentials: []tenants.Credential{{ID: "k-" + name, Hash: tenants.HashSecret(testSecret)}},
	}
}

// requestWithHeaders returns requestText with the given header lines, asking to close the
// connection after the answer.
func requestWithHeaders(lines ...string) string {
	lines = append(lines, "Connection: close")
	return strings.Replace(requestText, "X-Caller: oak", strings.Join(lines, "\r\n"), 1)
}

// Requests need exactly one valid credential. The identifier and the idempotency key are forwarded
// to workers within the tenant's scope.
func Example_credentials() {
	send, _, closeListener := newTenantServer()
	defer closeListener()
	send(requestWithHeaders())
	send(requestWithHeaders("Authorization: Bearer k-a.secret", "Authorization: Bearer k-a.secret"))
	send(requestWithHeaders("Authorization: Basic k-a.secret"))
	send(requestWithHeaders("Authorization: Bearer k-a.other"))
	send(requestWithHeaders("Authorization: Bearer k-d.secret"))
	send(requestWithHeaders("Authorization: bearer  k-a.secret", "Idempotency-Key: key"))
	send(requestWithHeaders("Authorization: Bearer k-a.secret"))
	send(requestWithHeaders("Authorization: Bearer k-c.secret"))
	send(strings.NewReplacer("render", "sale").Replace(requestWithHeaders("Authorization: Bearer k-a.secret")))
	// Output:
	// "401 \r\nWWW-Authenticate: Bearer\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "401 \r\nWWW-Authenticate: Bearer\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "401 \r\nWWW-Authenticate: Bearer\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "401 \r\nWWW-Authenticate: Bearer\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "401 \r\nWWW-Authenticate: Bearer\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// request h-a~9b1f POST /render/7f3a?x=1 [{X-Call-Id h-a~9b1f} {Idempotency-Key h-a~key}] body
	// invocation 1: operation 2 tenant 0 slots 2 hint 0 budget 1s
	// "503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "409 Conflict\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// request h-c~9b1f POST /render/7f3a?x=1 [{X-Call-Id h-c~9b1f}] body
	// invocation 2: operation 4 tenant 2 slots 2 hint 0 budget 1s
	// "503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "404 Not Found\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
}

// A request beyond its tenant's limits is rejected with the name of the limit and, where it helps,
// the time to wait before a retry.
func Example_tenantLimits() {
	send, server, closeListener := newTenantServer()
	defer closeListener()
	send(requestWithHeaders("Authorization: Bearer k-b.secret"))
	tooLong := strings.NewReplacer("Content-Length: 4", "Content-Length: 101", "body", strings.Repeat("x", 101))
	send(tooLong.Replace(requestWithHeaders("Authorization: Bearer k-c.secret")))
	send(requestWithHeaders("Authorization: Bearer k-c.secret"))
	send(strings.Replace(requestWithHeaders("Authorization: Bearer k-c.secret", "X-Attempt: 2"), "9b1f", "9b20", 1))
	for _, name := range server.Admission.Names() {
		usage := server.Admission.Usage(server.Admission.Account(name))
		fmt.Println(name, usage.Admitted, usage.Retries, usage.Completed, usage.Throttled, usage.InFlight, usage.Bytes)
	}
	// Output:
	// "403 \r\nX-Limit: suspended\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "413 Content Too Large\r\nX-Limit: request_size\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// request h-c~9b1f POST /render/7f3a?x=1 [{X-Call-Id h-c~9b1f}] body
	// invocation 1: operation 4 tenant 2 slots 2 hint 0 budget 1s
	// "503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "429 \r\nX-Limit: rate\r\nRetry-After: 10.000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// a 0 0 [0 0 0 0 0] map[concurrency:0 held_work:0 rate:0 request_size:0 retry_budget:0 share:0 suspended:0] 0 0
	// b 0 0 [0 0 0 0 0] map[concurrency:0 held_work:0 rate:0 request_size:0 retry_budget:0 share:0 suspended:1] 0 0
	// c 1 0 [0 1 0 0 0] map[concurrency:0 held_work:0 rate:1 request_size:1 retry_budget:0 share:0 suspended:0] 0 4
}

// If tenants are served, the pages for operators are not available, as they would show one tenant's
// figures to another.
func Example_operatorPagesWithTenants() {
	send, server, closeListener := newTenantServer()
	defer closeListener()
	server.HistoryPage = func(string) []byte { return []byte("history") }
	send("GET /-/ready HTTP/1.1\r\nConnection: close\r\n\r\n")
	send("GET /-/counts HTTP/1.1\r\nConnection: close\r\n\r\n")
	send("GET /-/history?id=9b1f HTTP/1.1\r\nConnection: close\r\n\r\n")
	server.Admission = nil
	send("GET /-/counts HTTP/1.1\r\nConnection: close\r\n\r\n")
	send("GET /-/history?id=9b1f HTTP/1.1\r\nConnection: close\r\n\r\n")
	// Output:
	// "200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "405 Method Not Allowed\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "405 Method Not Allowed\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "200 OK\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}"
	// "200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\nContent-Length: 7\r\n\r\nhistory"
}

// An invocation is not accepted from another process if its tenant is not known here. An accepted
// one counts toward its tenant's usage.
func TestMigratedInvocationOfTenant(t *testing.T) {
	for _, test := range []struct {
		id string
		ok bool
	}{
		{id: "h-a~9b1f", ok: true},
		{id: "h-d~9b1f"},
		{id: "9b1f"},
	} {
		t.Run(test.id, func(t *testing.T) {
			_, server, closeListener := newTenantServer()
			defer closeListener()
			client, accepted := tcpPipe(t)
			defer client.Close()
			operation := server.deployment.OperationIndex["h-a/render"]
			invocation := &workers.Invocation{ID: test.id, Body: []byte("body"), Deadline: time.Minute}
			inv, ok := server.AcceptMigrated(accepted, MigratingConnection{}, invocation, operation, time.Second)
			if ok != test.ok || ok != (inv == 1) || ok != (server.InFlight() == 1) {
				t.Fatalf("invocation %d, accepted %v, %d in flight, want it accepted only for a known tenant", inv, ok, server.InFlight())
			}
			usage := server.Admission.Usage(server.Admission.Account("a"))
			if (usage.InFlight == 1) != test.ok || (usage.Bytes == 4) != test.ok || usage.HeldWorkSeconds != 0 {
				t.Errorf("usage %+v, want the accepted invocation and its bytes accounted to the tenant, and no held work", usage)
			}
		})
	}
}
