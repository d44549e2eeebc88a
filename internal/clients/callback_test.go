package clients

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"stoatweir/internal/accounting"
	"stoatweir/internal/conn"
	"stoatweir/internal/workers"
)

// A callback is acknowledged whatever it is about, unless it can't be parsed.
func Example_callbacks() {
	loop, _, addr, closeListener := newTestServer(10)
	defer closeListener()
	for _, body := range []string{
		`{"id":"9b1f","from":"s-1","state":"running","share":0.4}`,
		`{"id":"unknown","from":"s-2","state":"failed","load":{"x0":2}}`,
		`{"id":`,
	} {
		roundTrip(loop, addr, callbackText(body, "Connection: close"))
	}
	// Output:
	// callback 9b1f s-1 running 0.4 false
	// "204 No Content\r\nConnection: close\r\n\r\n"
	// callback unknown s-2 failed 0 true
	// "204 No Content\r\nConnection: close\r\n\r\n"
	// "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
}

// The keys of a callback's body are read whatever their case, and keys that are not known are
// passed over.
func TestParseCallbackKeys(t *testing.T) {
	for name, body := range map[string]string{
		"lower case": `{"id":"9b1f","from":"s-1","state":"running","share":0.4,"result":"made","load":{"x0":2}}`,
		"title case": `{"ID":"9b1f","From":"s-1","State":"running","Share":0.4,"Result":"made","Load":{"x0":2}}`,
		"mixed case": `{"iD":"9b1f","FROM":"s-1","sTATE":"running","SHARE":0.4,"resulT":"made","LOAD":{"x0":2},"other":[1]}`,
	} {
		t.Run(name, func(t *testing.T) {
			loop := conn.NewLoop(time.Now())
			s := New(loop, testDeployment(), loop.NewQuota(1), accounting.New())
			got, err := s.ParseCallback([]byte(body))
			if err != nil {
				t.Fatal(err)
			}
			if got.ID != "9b1f" || got.WorkerUID != "s-1" || got.State != "running" || got.Progress != 0.4 {
				t.Errorf("%+v", got)
			}
			if got.Result == nil || *got.Result != "made" || got.Load == nil {
				t.Errorf("result %v, load %v", got.Result, got.Load)
			}
		})
	}
}

// A callback that is relayed is acknowledged once the other process has handled it, and what
// follows it on its connection is handled after that. One that was not handled the worker has to
// retry.
func TestRelayedCallback(t *testing.T) {
	for name, test := range map[string]struct {
		handled bool
		want    string
	}{
		"handled":     {true, "HTTP/1.1 204 No Content\r\n\r\n"},
		"not handled": {false, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			loop, server, addr, closeListener := newTestServer(10)
			defer closeListener()
			server.OnCallback = func(workers.Callback) bool { return false }
			var done []func(bool)
			server.RelayCallback = func(_ workers.Callback, _ []byte, d func(bool)) bool {
				done = append(done, d)
				return true
			}
			client := dial(addr)
			defer client.Close()
			client.Write([]byte(callbackText("{}") + callbackText("{}", "Connection: close")))
			runUntil(loop, "the callback", func() bool {
				loop.After(time.Millisecond, func() {})
				return len(done) == 1
			})
			if !server.Busy() {
				t.Error("a connection whose answer is deferred is not busy")
			}
			done[0](test.handled)
			if len(done) != 2 {
				t.Fatalf("%d relayed", len(done))
			}
			client.(*net.TCPConn).CloseWrite()
			done[1](test.handled)
			done[1](test.handled) // the connection is gone
			answer := make(chan string, 1)
			go func() {
				b, _ := io.ReadAll(client)
				answer <- string(b)
			}()
			want := test.want + strings.Replace(test.want, "\r\n", "\r\nConnection: close\r\n", 1)
			if got := awaitAnswer(loop, answer, func() {}); got != want {
				t.Errorf("%q, want %q", got, want)
			}
		})
	}
}
