package loopback

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"stoatweir/internal/lab/model"
)

// worker is the server of one machine of the model.
type worker struct {
	run     *run
	machine int
	addr    string

	mu       sync.Mutex
	server   *http.Server // nil: closed
	listener net.Listener
}

// addWorker starts the server of a machine. It must be called on the loop, or before the loop runs.
func (r *run) addWorker(machine int) error {
	w := &worker{run: r, machine: machine, addr: loopbackHost(otherOctet) + ":0"}
	for len(r.workers) <= machine {
		r.workers = append(r.workers, nil)
	}
	r.workers[machine] = w
	return w.open()
}

// open starts to listen, at the address that the worker had before if there is one.
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

// close closes the listener and all connections.
func (w *worker) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.server == nil {
		return
	}
	// This frees the address at once. Closing the server waits for the goroutine that accepts
	// connections, which may be waiting for the loop, and the loop calls close.
	w.listener.Close()
	go w.server.Close()
	w.server = nil
}

// modelListener accepts the connections that the model accepts. The kernel has already accepted a
// connection that the model refuses, so it is reset at once.
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
		response, ok := callOnLoop(r, func(now time.Duration) model.Response {
			r.model.Statistics.Connections++
			r.model.AdvanceTo(now)
			return r.model.Cluster.Connect(l.worker.machine)
		})
		if !ok || response != model.ConnectionRefused {
			return c, nil
		}
		abort(c)
	}
}

// abort closes a connection with a reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

// workerChanged updates the server of a machine of the model that has changed. If the process has died,
// the listener and all connections are closed. If the machine has vanished from the network, they stay
// open and nothing is sent. If it is back, the old connections are closed and new ones are accepted.
func (r *run) workerChanged(_ time.Duration, machine int) {
	if machine >= len(r.workers) {
		if err := r.addWorker(machine); err != nil {
			r.failures = append(r.failures, err)
		}
		return
	}
	m := r.model.Cluster.Machines[machine]
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
