package loopback

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"stoatweir/internal/lab/model"
)

// worker is the listener of one machine of the model.
type worker struct {
	d       *Day
	machine int
	addr    string

	mu       sync.Mutex
	server   *http.Server // nil: nobody listens
	listener net.Listener
}

// add opens the address of a machine.
func (d *Day) add(machine int) error {
	w := &worker{d: d, machine: machine, addr: host(others) + ":0"}
	for len(d.workers) <= machine {
		d.workers = append(d.workers, nil)
	}
	d.workers[machine] = w
	return w.open()
}

func (w *worker) open() error {
	l, err := net.Listen("tcp", w.addr)
	if err != nil {
		return fmt.Errorf("machine %d: %w", w.machine, err)
	}
	w.addr = l.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(w.serve), IdleTimeout: w.d.s.Network.Idle.D()}
	w.mu.Lock()
	w.server, w.listener = server, l
	w.mu.Unlock()
	go server.Serve(&gate{l, w})
	return nil
}

// gate asks the model whether a connection comes up. One that the model refuses has come up for the kernel already: it
// is reset at once.
type gate struct {
	net.Listener
	w *worker
}

// Accept gives the next connection that comes up.
func (g *gate) Accept() (net.Conn, error) {
	for {
		c, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		got := make(chan model.Response, 1)
		d := g.w.d
		d.put(func(now time.Duration) {
			d.world.Statistics.Connections++
			d.world.AdvanceTo(now)
			got <- d.world.Fleet.Connect(g.w.machine)
		})
		v := model.Accepted
		select {
		case v = <-got:
		case <-d.ctx.Done():
		}
		if v != model.ConnectionRefused {
			return c, nil
		}
		if tcp, is := c.(*net.TCPConn); is {
			tcp.SetLinger(0)
		}
		c.Close()
	}
}

// close ends the listener and all connections.
func (w *worker) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.server != nil {
		// The address is free at once. The rest waits for whoever is accepting, who may wait for the loop that called us.
		w.listener.Close()
		go w.server.Close()
		w.server = nil
	}
}

// stirred follows the model: a process that has died refuses connections, a machine that has vanished keeps its own and
// says nothing, one that is back has reset them.
func (d *Day) stirred(_ time.Duration, machine int) {
	m := d.world.Fleet.Machines[machine]
	if machine >= len(d.workers) {
		if err := d.add(machine); err != nil {
			d.failures = append(d.failures, err)
		}
		return
	}
	w := d.workers[machine]
	switch {
	case m.Silent():
	case m.Reachable():
		w.close()
		if err := w.open(); err != nil {
			d.failures = append(d.failures, err)
		}
	default:
		w.close()
	}
}

// quiet says nothing until the connection ends.
func (w *worker) quiet(in *http.Request) {
	select {
	case <-in.Context().Done():
	case <-w.d.ctx.Done():
	}
}

// reset ends a connection without a word.
func reset(out http.ResponseWriter) {
	if h, can := out.(http.Hijacker); can {
		if c, _, err := h.Hijack(); err == nil {
			if tcp, is := c.(*net.TCPConn); is {
				tcp.SetLinger(0)
			}
			c.Close()
		}
	}
}

func (w *worker) serve(out http.ResponseWriter, in *http.Request) {
	switch {
	case in.Method == "GET" && (in.URL.Path == "/-/load" || in.URL.Path == "/-/healthy"):
		w.probe(out, in)
	case in.Method == "DELETE" && strings.HasPrefix(in.URL.Path, "/jobs/"):
		w.cancel(out, in)
	case in.Method == "POST":
		w.take(out, in)
	default:
		out.WriteHeader(404)
	}
}

func (w *worker) probe(out http.ResponseWriter, in *http.Request) {
	type answer struct {
		report  *model.LoadReport
		verdict model.Response
	}
	got := make(chan answer, 1)
	w.d.put(func(now time.Duration) {
		w.d.world.Statistics.HealthChecks++
		w.d.world.AdvanceTo(now)
		r, v := w.d.world.Fleet.HealthCheck(now, w.machine)
		got <- answer{r, v}
	})
	select {
	case a := <-got:
		switch {
		case a.verdict == model.NoResponse:
			w.quiet(in)
		case a.verdict == model.ConnectionRefused:
			reset(out)
		case a.report != nil && in.URL.Path == "/-/load":
			io.WriteString(out, w.d.report(a.report))
		}
	case <-w.d.ctx.Done():
	}
}

// report writes the fields that the scenario names.
func (d *Day) report(r *model.LoadReport) string {
	var fields []string
	for i, name := range d.s.ReportNames() {
		v := map[string]float64{"free_slots": r.FreeSlots, "waiting": r.Waiting, "active": r.Active, "service_ms": r.ServiceMs}[d.s.LoadReports.Fields[i]]
		fields = append(fields, fmt.Sprintf("%s=%g", name, v))
	}
	return "TEXT " + strings.Join(fields, ", ")
}

func (w *worker) cancel(out http.ResponseWriter, in *http.Request) {
	id, err := jobOf(strings.TrimPrefix(in.URL.Path, "/jobs/"))
	if err != nil {
		out.WriteHeader(400)
		return
	}
	w.d.put(func(now time.Duration) {
		w.d.world.AdvanceTo(now)
		h := w.d.jobs[id]
		if h == nil {
			return
		}
		for _, a := range h.attempts {
			if a.Machine == w.machine {
				// The scheduler has given it up, whether or not the machine hears of it.
				w.d.world.Rules.AttemptEnded(now, a.Request, a.Number, false, "called off")
				w.d.world.Fleet.Cancel(now, a)
			}
		}
	})
	out.WriteHeader(204)
}

// jobOf reads the id that a client has given; of a hosted tenant it stands behind the tenant's handle.
func jobOf(id string) (int64, error) {
	return strconv.ParseInt(id[strings.LastIndexByte(id, '~')+1:], 16, 64)
}

func (w *worker) take(out http.ResponseWriter, in *http.Request) {
	if _, err := io.Copy(io.Discard, in.Body); err != nil {
		return
	}
	id, err := jobOf(in.Header.Get("X-Call-Id"))
	if err != nil {
		out.WriteHeader(404)
		return
	}
	type taken struct {
		a       *model.Attempt
		verdict model.Response
	}
	got := make(chan *taken, 1)
	w.d.put(func(now time.Duration) {
		w.d.world.AdvanceTo(now)
		h := w.d.jobs[id]
		if h == nil {
			got <- nil
			return
		}
		a := &model.Attempt{Scheduler: h.scheduler, Request: h.job, Number: len(h.attempts), Machine: w.machine}
		h.attempts, h.wire = append(h.attempts, a), in.Header.Get("X-Call-Id")
		w.d.world.Rules.AttemptSent(now, h.scheduler, h.job, a.Number, w.machine)
		v := w.d.world.Fleet.Submit(now, a)
		switch v {
		case model.Rejected, model.ConnectionRefused:
			w.d.world.Rules.AttemptEnded(now, a.Request, a.Number, true, "turned away")
		case model.FailedAtOnce:
			w.d.world.Rules.AttemptEnded(now, a.Request, a.Number, false, "failed at once")
		case model.ConnectionReset:
			w.d.world.Rules.AttemptEnded(now, a.Request, a.Number, false, "the connection broke")
		}
		got <- &taken{a, v}
	})
	var t *taken
	select {
	case t = <-got:
	case <-w.d.ctx.Done():
		return
	}
	if t == nil {
		out.WriteHeader(400) // an id that no client has sent
		return
	}
	switch t.verdict {
	case model.Accepted:
		out.WriteHeader(202)
	case model.Rejected, model.ConnectionRefused:
		out.Header().Set("X-Rejected", "1")
		out.WriteHeader(503)
	case model.FailedAtOnce:
		out.WriteHeader(500)
	case model.ConnectionReset:
		reset(out)
	case model.NoResponse:
		w.quiet(in)
		// Whoever waited for a word has given it up.
		w.d.put(func(now time.Duration) {
			w.d.world.Rules.AttemptEnded(now, t.a.Request, t.a.Number, false, "given up before a word")
		})
	}
}
