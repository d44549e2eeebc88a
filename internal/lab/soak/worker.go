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
	slots                    = 2                     // requests that a worker runs at once
	queueCapacity            = 4                     // requests that can wait at a worker
	meanWork                 = 80 * time.Millisecond // mean work of a request
	slowStartInitialCapacity = 0.13                  // fraction of its capacity that a worker has when it starts
	slowStartDuration        = 4 * time.Second       // time in which its capacity grows to the full one
	overloadFactor           = 2.5                   // multiple of its capacity that overloads a worker
	overloadWindow           = time.Second           // time over which such a load overloads it

	workerModel          = "m"
	defaultUnusualRate   = 0.06        // fraction of the requests that a worker answers in an unusual way
	callbackTimeout      = time.Second // for one call to a scheduler, and for an idle connection
	maxIdleCallbackConns = 2           // idle connections to a scheduler that are kept for reuse
)

// worker emulates a machine that runs a few requests at once.
type worker struct {
	harness *harness
	uid     string
	zone    int
	proxy   *proxy
	client  *http.Client // for callbacks
	claimed atomic.Bool  // a fault is being injected into it

	mu          sync.Mutex
	rng         *rand.Rand
	listener    net.Listener
	conns       map[net.Conn]struct{}
	incarnation int // counts its starts
	started     time.Time
	slowStart   bool            // its capacity grows from its start
	running     int             // slots in use
	waiting     []chan struct{} // queue for a slot, oldest first; closed when the slot is granted
	hangs       bool            // reads requests and answers none
	bootMS      int64           // start time in Unix milliseconds, by the wall clock at that time; 0: started long ago
	unusualRate float64         // fraction of the requests that it answers in an unusual way
	returnsOnly bool            // an unusual answer always returns the request unstarted
	lossRate    float64         // fraction of the responses to its callbacks that are lost on their way
}

func newWorker(h *harness, n int) (*worker, error) {
	l, err := net.Listen("tcp", loopbackHost(peerOctet)+":0")
	if err != nil {
		return nil, err
	}
	proxy, err := newProxy(l.Addr().String())
	if err != nil {
		l.Close()
		return nil, err
	}
	w := &worker{
		harness:     h,
		uid:         fmt.Sprintf("s-%02d", n),
		zone:        n % zoneCount,
		proxy:       proxy,
		client:      newCallbackClient(),
		rng:         rand.New(rand.NewSource(h.Seed<<8 + int64(n))),
		listener:    l,
		conns:       map[net.Conn]struct{}{},
		unusualRate: defaultUnusualRate,
	}
	go w.accept()
	h.endpoints.put(w.endpoint(stateReady, 0))
	return w, nil
}

// endpoint returns the worker's entry in the endpoint list.
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

// resetConns resets all connections. The lock must be held.
func (w *worker) resetConns() {
	for c := range w.conns {
		abort(c)
	}
}

// restart ends the incarnation with its connections and requests, and starts the next one, which has
// a reduced capacity at first.
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

// publish changes the worker's entry in the endpoint list and notifies the schedulers.
func (w *worker) publish(state string, bootMS int64) {
	w.harness.endpoints.put(w.endpoint(state, bootMS))
	w.harness.endpoints.publish()
}

// lastBootMS returns when the worker last started, in Unix milliseconds; 0: long ago.
func (w *worker) lastBootMS() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bootMS
}

// update calls change, which sets the worker's state, while holding the lock.
func (w *worker) update(change func()) {
	w.mu.Lock()
	change()
	w.mu.Unlock()
}

// drawUnusual decides at random whether the next request is answered in an unusual way.
func (w *worker) drawUnusual() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.Float64() < w.unusualRate
}

// drawLostResponse decides at random whether the response to a callback is lost.
func (w *worker) drawLostResponse() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lossRate > 0 && w.rng.Float64() < w.lossRate
}

// capacityAt returns the fraction of its capacity that a worker of a given age has.
func capacityAt(age time.Duration) float64 {
	return min(1, slowStartInitialCapacity+(1-slowStartInitialCapacity)*age.Seconds()/slowStartDuration.Seconds())
}
