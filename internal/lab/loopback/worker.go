package loopback

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"stoatweir/internal/lab/model"
)

// worker is the listener of one machine of the model.
type worker struct {
	run     *run
	machine int
	addr    string

	mu       sync.Mutex
	server   *http.Server // nil: nobody listens
	listener net.Listener
}

// addWorker opens the address of a machine; of the loop, or before there is one.
func (r *run) addWorker(machine int) error {
	w := &worker{run: r, machine: machine, addr: loopbackHost(otherNet) + ":0"}
	for len(r.workers) <= machine {
		r.workers = append(r.workers, nil)
	}
	r.workers[machine] = w
	return w.open()
}

// open listens at its address: the one that it had before, if any.
func (w *worker) open() error {
	l, err := net.Listen("tcp", w.addr)
	if err != nil {
		return fmt.Errorf("machine %d: %w", w.machine, err)
	}
	w.addr = l.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(w.serve), IdleTimeout: w.run.scenario.Network.Idle.D()}
	w.mu.Lock()
	w.server = server
	w.listener = l
	w.mu.Unlock()
	go server.Serve(&modelListener{Listener: l, worker: w}) // until close
	return nil
}

// close ends the listener and all connections.
func (w *worker) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.server == nil {
		return
	}
	// The address is free at once. The rest waits for whoever is accepting, who may wait for the
	// loop that called this.
	w.listener.Close()
	go w.server.Close()
	w.server = nil
}

// modelListener accepts the connections that the model accepts. For the kernel, one that the model
// refuses has been accepted already: it is reset at once.
type modelListener struct {
	net.Listener
	worker *worker
}

// Accept returns the next connection that the model accepts.
func (l *modelListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		r := l.worker.run
		verdict, ok := query(r, func(now time.Duration) model.Response {
			r.model.Statistics.Connections++
			r.model.AdvanceTo(now)
			return r.model.Fleet.Connect(l.worker.machine)
		})
		if !ok || verdict != model.ConnectionRefused {
			return c, nil
		}
		abort(c)
	}
}

// abort closes a connection by a reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

// workerChanged follows a machine of the model: a process that has died refuses connections, a
// machine that has vanished keeps its own and sends nothing, one that is back has reset them.
func (r *run) workerChanged(_ time.Duration, machine int) {
	if machine >= len(r.workers) {
		if err := r.addWorker(machine); err != nil {
			r.failures = append(r.failures, err)
		}
		return
	}
	m := r.model.Fleet.Machines[machine]
	w := r.workers[machine]
	switch {
	case m.Silent():
	case m.Reachable():
		w.close()
		if err := w.open(); err != nil {
			r.failures = append(r.failures, err)
		}
	default:
		w.close()
	}
}
