package clients

import (
	"testing"
	"time"

	"stoatweir/internal/accounting"
	"stoatweir/internal/conn"
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

// The keys of a callback's body are read whatever their case, and keys that are not known are passed over.
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
			if got.ID != "9b1f" || got.From != "s-1" || got.State != "running" || got.Share != 0.4 {
				t.Errorf("%+v", got)
			}
			if got.Result == nil || *got.Result != "made" || got.Load == nil {
				t.Errorf("result %v, load %v", got.Result, got.Load)
			}
		})
	}
}
