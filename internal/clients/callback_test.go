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

// A callback is acknowledged even if it refers to nothing known, unless it can't be parsed.
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

// The keys in a callback's body are matched regardless of case, and unknown keys are ignored.
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
				t.Errorf("parsed callback %+v, want ID 9b1f, worker s-1, state running, progress 0.4", got)
			}
			if got.Result == nil || *got.Result != "made" || got.Load == nil {
				t.Errorf("result %v, load %v, want result made and a load report", got.Result, got.Load)
			}
		})
	}
}

// A relayed callback is acknowledged once the other process has handled it, and a request that
// follows it on the same connection is handled after that. If it was not handled, the worker is
// told to retry it.
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
				t.Error("not busy while an answer is deferred, want busy")
			}
			done[0](test.handled)
			if len(done) != 2 {
				t.Fatalf("%d callbacks relayed, want 2", len(done))
			}
			client.(*net.TCPConn).CloseWrite()
			done[1](test.handled)
			done[1](test.handled) // the connection has been closed: nothing is answered
			answer := make(chan string, 1)
			go func() {
				b, _ := io.ReadAll(client)
				answer <- string(b)
			}()
			want := test.want + strings.Replace(test.want, "\r\n", "\r\nConnection: close\r\n", 1)
			if got := awaitAnswer(loop, answer, func() {}); got != want {
				t.Errorf("answers %q, want %q", got, want)
			}
		})
	}
}
