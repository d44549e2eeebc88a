package soak

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	slots             = 2                     // requests that a worker runs at once
	queueCapacity     = 4                     // requests that wait at a worker
	meanWork          = 80 * time.Millisecond // of a request
	slowStartFrom     = 0.13                  // part of its capacity that a worker has at its start
	slowStartDuration = 4 * time.Second       // in which its capacity grows to the whole
	overloadFactor    = 2.5                   // multiple of its capacity that overloads a worker
	overloadWindow    = time.Second           // for so long

	workerModel     = "m"
	usualOddRate    = 0.06        // part of the requests that a worker answers oddly
	callbackTimeout = time.Second // of a call to a scheduler
	callbackIdle    = 2           // connections to a scheduler that are reused
)

// worker is an emulated machine with a few slots.
type worker struct {
	harness *harness
	uid     string
	zone    int
	proxy   *proxy
	client  *http.Client // for callbacks
	faulted atomic.Bool  // a fault is being injected into it

	mu          sync.Mutex
	rng         *rand.Rand
	listener    net.Listener
	conns       map[net.Conn]struct{}
	incarnation int // counts its starts
	started     time.Time
	slowStart   bool
	running     int
	waiting     []chan struct{}
	hangs       bool
	bootMS      int64   // Unix milliseconds of its start by the wall clock of then; 0: long ago
	oddRate     float64 // part of the requests that it answers oddly
}

func newWorker(h *harness, n int) (*worker, error) {
	l, err := net.Listen("tcp", loopbackHost(peerNet)+":0")
	if err != nil {
		return nil, err
	}
	proxy, err := newProxy(l.Addr().String())
	if err != nil {
		l.Close()
		return nil, err
	}
	w := &worker{
		harness:  h,
		uid:      fmt.Sprintf("s-%02d", n),
		zone:     n % zones,
		proxy:    proxy,
		client:   newCallbackClient(),
		rng:      rand.New(rand.NewSource(h.Seed<<8 + int64(n))),
		listener: l,
		conns:    map[net.Conn]struct{}{},
		oddRate:  usualOddRate,
	}
	go w.accept()
	h.endpoints.put(w.endpoint(stateReady, 0))
	return w, nil
}

func (w *worker) endpoint(state string, bootMS int64) endpoint {
	return endpoint{
		UID:      w.uid,
		Endpoint: w.proxy.addr(),
		AZ:       zoneName(w.zone),
		Model:    workerModel,
		PodGroup: w.zone,
		State:    state,
		BootMS:   bootMS,
	}
}

func (w *worker) close() {
	w.listener.Close()
	w.mu.Lock()
	w.resetConns()
	w.mu.Unlock()
	w.proxy.close()
}

// resetConns resets all connections; the lock is held.
func (w *worker) resetConns() {
	for c := range w.conns {
		abort(c)
	}
}

// restart ends the incarnation with all that it has, and starts the next, which is slow at first.
func (w *worker) restart() {
	w.mu.Lock()
	w.resetConns()
	w.incarnation++
	w.running = 0
	w.waiting = nil
	w.slowStart = true
	w.started = time.Now()
	w.mu.Unlock()
	bootMS := w.harness.wallClockMillis()
	w.update(func() { w.bootMS = bootMS })
	w.harness.observed.addStart(w.uid, time.Now())
	w.publish(stateReady, bootMS)
}

// publish changes its entry in the endpoint list and notifies the schedulers.
func (w *worker) publish(state string, bootMS int64) {
	w.harness.endpoints.put(w.endpoint(state, bootMS))
	w.harness.endpoints.publish()
}

// lastBootMS is when it last started, in Unix milliseconds; 0: long ago.
func (w *worker) lastBootMS() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bootMS
}

// update changes its state under the lock.
func (w *worker) update(change func()) {
	w.mu.Lock()
	change()
	w.mu.Unlock()
}

// drawOdd draws whether the next request is answered oddly.
func (w *worker) drawOdd() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.Float64() < w.oddRate
}

// capacityAt is the part of its capacity that a worker has at an age.
func capacityAt(age time.Duration) float64 {
	return min(1, slowStartFrom+(1-slowStartFrom)*age.Seconds()/slowStartDuration.Seconds())
}
