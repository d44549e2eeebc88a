package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Target is one entry of the list of workers.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	AZ       string  `json:"az"`
	Model    string  `json:"model"`
	PodGroup int     `json:"pod_group"`
	State    string  `json:"state"`
	Hint     float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
}

// List is a list of workers in the form in which discovery writes it.
type List struct {
	Rev     int      `json:"rev"`
	All     bool     `json:"all"`
	Targets []Target `json:"targets"`
}

// Discovery serves watches of a list. It is made by Run.Discovery.
type Discovery struct {
	Name    string
	Address string

	run   *Run
	mu    sync.Mutex
	delay time.Duration // from a call to its first list
	list  List
	wake  chan struct{} // closed at the next change
	calls int
	conns map[net.Conn]bool
	http  *http.Server
}

// Discovery starts a stand-in of discovery with a list. delay is how long each call waits for its turn.
func (r *Run) Discovery(name string, delay time.Duration, targets ...Target) *Discovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.Fail("%v", err)
	}
	d := &Discovery{
		Name:    name,
		Address: l.Addr().String(),
		run:     r,
		delay:   delay,
		list:    List{Rev: 1, All: true, Targets: targets},
		wake:    make(chan struct{}),
		conns:   map[net.Conn]bool{},
	}
	d.http = &http.Server{Handler: d, ConnState: func(c net.Conn, state http.ConnState) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.conns[c] = true
		if state == http.StateClosed {
			delete(d.conns, c)
		}
	}}
	go d.http.Serve(l)
	return d
}

// Leave takes no new connection, and closes the open ones after a while, as the old address does when
// a new configuration names another one.
func (d *Discovery) Leave(after time.Duration) {
	d.run.Log("%s takes no new connection and closes the open ones in %v", d.Name, after)
	go func() {
		time.Sleep(after)
		d.run.Log("%s closes its connections", d.Name)
		d.http.Close()
	}()
}

// Set changes the state of a worker.
func (d *Discovery) Set(uid, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for n := range d.list.Targets {
		if d.list.Targets[n].UID == uid {
			d.list.Targets[n].State = state
		}
	}
	d.list.Rev++
	d.run.Log("%s has %s as %s, rev %d", d.Name, uid, state, d.list.Rev)
	close(d.wake)
	d.wake = make(chan struct{})
}

// Known returns the list as the configuration's key of that name holds it.
func (d *Discovery) Known() List {
	list, _ := d.present()
	return list
}

func (d *Discovery) present() (List, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.list
	list.Targets = append([]Target(nil), d.list.Targets...)
	return list, d.wake
}

// ServeHTTP serves the whole list, or a watch: the whole list first, then at each change, and an empty
// line every 2 s.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	d.mu.Lock()
	d.calls++
	call := d.calls
	delay := d.delay
	d.mu.Unlock()
	index, _ := strconv.Atoi(request.URL.Query().Get("index"))
	d.run.Log("%s is asked: call %d, %s", d.Name, call, request.URL.RequestURI())
	select {
	case <-time.After(delay):
	case <-request.Context().Done():
		d.run.Log("%s: the caller of call %d has gone before its turn", d.Name, call)
		return
	}
	list, wake := d.present()
	stream := request.URL.Query().Get("stream") == "1"
	w.Header().Set("Content-Type", "application/json")
	for first := true; ; first = false {
		if !first || !stream || list.Rev > index {
			d.run.Log("%s writes rev %d to call %d", d.Name, list.Rev, call)
			json.NewEncoder(w).Encode(list)
		} else {
			w.Write([]byte("\n"))
		}
		w.(http.Flusher).Flush()
		if !stream {
			return
		}
		for changed := false; !changed; {
			select {
			case <-wake:
				changed = true
			case <-time.After(2 * time.Second):
				w.Write([]byte("\n"))
				w.(http.Flusher).Flush()
			case <-request.Context().Done():
				return
			}
		}
		list, wake = d.present()
	}
}
