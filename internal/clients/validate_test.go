package clients

import (
	"fmt"
	"strings"

	"stoatweir/dispatch"
	"stoatweir/internal/settings"
)

// An invalid request is answered with a status and no body, and nothing of it reaches the decision
// module.
func Example_invalidRequests() {
	loop, server, addr, closeListener := newTestServer(10)
	defer closeListener()
	closing := strings.Replace(requestText, "X-Caller: oak", "Connection: close", 1)
	for _, change := range []struct{ old, replacement string }{
		{"/render/", "/unknown/"},
		{"Class: render", "Class: unknown"},
		{"Class: render", "Class: sale"},
		{"X-Call-Id: 9b1f\r\n", ""},
		{"9b1f", "9b/../1 f"},
		{"X-Budget: 2.500\r\n", ""},
		{"2.500", "soon"},
		{"2.500", "-1"},
		{"2.500", "NaN"},
		{"POST", "PUT"},
		{"Content-Length", "Content-Length: 4\r\nContent-Length"},
		{"X-Call-Id", "X-Call-Id: 2\r\nX-Call-Id"},
		{"X-Budget", "X-Budget: 1\r\nX-Budget"},
		{"2.500", "0x1p1"},
		{"2.500", "1e1"},
		{"X-Call-Class", "X-Call-Class: render\r\nX-Call-Class"},
		{"9b1f", strings.Repeat("9", 65)},
		{"/7f3a", "/%0d"},
		{"/7f3a", "/../sale"},
		{"/7f3a", "/a\xc3\xa9"},
		{"/7f3a", "//"},
		{"\r\n\r\nbody", "\r\n\r\nbody and more"},
		{"Content-Length: 4", "Content-Length: 4\r\nTransfer-Encoding: chunked"},
		{"Content-Length: 4", "Content-Length: -4"},
		{"HTTP/1.1", "HTTP/1.0\r\nTransfer-Encoding: chunked"},
		{"POST /render/7f3a", "POST /_jobs/news"},
		{" HTTP/1.1", ""},
		{
			"/render/7f3a?x=1 HTTP/1.1\r\nHost: backend\r\nX-Call-Id: 9b1f\r\nX-Call-Class: render",
			"/sale/1 HTTP/1.1\r\nX-Call-Id: 1\r\nX-Call-Class: sale",
		},
	} {
		fmt.Printf("%.40q ", change.replacement)
		roundTrip(loop, addr, strings.Replace(closing, change.old, change.replacement, 1))
	}
	sale := strings.Replace(closing, "render", "sale", 2)
	roundTrip(loop, addr, strings.Replace(sale, "Content-Length", "Idempotency-Key: a\tb\r\nContent-Length", 1))
	fmt.Println(len(server.Ledger.Totals(0, 0).Classes), server.Ledger.Totals(0, 0).Classes[0].Admitted, server.Counts.Malformed)
	// Output:
	// "/unknown/" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "Class: unknown" "404 Not Found\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "Class: sale" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "9b/../1 f" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "soon" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "-1" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "NaN" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "PUT" "405 Method Not Allowed\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "Content-Length: 4\r\nContent-Length" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "X-Call-Id: 2\r\nX-Call-Id" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "X-Budget: 1\r\nX-Budget" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "0x1p1" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "1e1" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "X-Call-Class: render\r\nX-Call-Class" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "9999999999999999999999999999999999999999" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "/%0d" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "/../sale" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "/aé" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "//" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "\r\n\r\nbody and more" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "Content-Length: 4\r\nTransfer-Encoding: ch" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "Content-Length: -4" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "HTTP/1.0\r\nTransfer-Encoding: chunked" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "POST /_jobs/news" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "/sale/1 HTTP/1.1\r\nX-Call-Id: 1\r\nX-Call-C" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// 2 0 29
}

// Operation names that are prefixes of others, or that need escaping in a path, are matched as a
// whole.
func Example_operationNames() {
	loop, server, addr, closeListener := newTestServer(10)
	defer closeListener()
	deployment, err := settings.ParseDeployment([]byte(`{"Operations": [
		{"Name": "gate", "Effect": "read_like"}, {"Name": "gate 7", "Effect": "read_like"},
		{"Name": "gate 7/é", "Effect": "read_like"}, {"Name": "gate%207", "Effect": "read_like"}]}`))
	if err != nil {
		panic(err)
	}
	server.Reconfigure(deployment)
	printEvent := server.OnEvent
	server.OnEvent = func(e dispatch.Event) {
		printEvent(e)
		if a, ok := e.(dispatch.Arrival); ok {
			server.Throttle(a.Invocation, 0)
		}
	}
	for n, names := range []struct{ header, path string }{
		{"gate", "gate"},
		{"gate 7", "gate%207"},
		{"gate 7/é", "gate%207%2F%C3%A9"},
		{"gate%207", "gate%25207"},
		{"gate", "gate%207"},
		{"gate 7", "gate"},
		{"gate 7", "gate%20%00"},
	} {
		replacer := strings.NewReplacer("Class: render", "Class: "+names.header, "/render/", "/"+names.path+"/",
			"9b1f", fmt.Sprint("id", n), "X-Caller: oak", "Connection: close")
		roundTrip(loop, addr, replacer.Replace(requestText))
	}
	// Output:
	// request id0 POST /gate/7f3a?x=1 [{X-Call-Id id0}] body
	// invocation 1: operation 0 tenant 0 slots 2 hint 0.25 budget 2.5s
	// "503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// request id1 POST /gate%207/7f3a?x=1 [{X-Call-Id id1}] body
	// invocation 2: operation 1 tenant 0 slots 2 hint 0.25 budget 2.5s
	// "503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// request id2 POST /gate%207%2F%C3%A9/7f3a?x=1 [{X-Call-Id id2}] body
	// invocation 3: operation 2 tenant 0 slots 2 hint 0.25 budget 2.5s
	// "503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// request id3 POST /gate%25207/7f3a?x=1 [{X-Call-Id id3}] body
	// invocation 4: operation 3 tenant 0 slots 2 hint 0.25 budget 2.5s
	// "503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
}
