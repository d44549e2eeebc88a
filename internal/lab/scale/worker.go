package scale

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// worker is an emulated worker: an HTTP server that runs jobs as timers.
type worker struct {
	pool          *workerPool
	index         int
	addr          string
	zone          int
	listener      net.Listener
	lost          atomic.Bool // accepts no connections and sends no callbacks
	running       atomic.Int64
	frozenReport  atomic.Pointer[string] // first load report after reports were frozen, repeated since; nil: none yet
	callbackConns *connPool

	uid    string // guarded by the list's lock
	bootMS int64  // Unix milliseconds of its start, 0: long ago; guarded by the list's lock

	mu    sync.Mutex
	conns map[net.Conn]struct{} // open connections from schedulers
}

func newWorker(pool *workerPool, index int) (*worker, error) {
	// Workers differ in address as well as in port, because connections to this many workers have to
	// differ in more than a port.
	l, err := net.Listen("tcp", neighborAddress(pool.config.ListenHost, index)+":0")
	if err != nil {
		return nil, fmt.Errorf("worker %d: %w", index, err)
	}
	w := &worker{
		pool:          pool,
		index:         index,
		uid:           fmt.Sprint("w", index),
		addr:          l.Addr().String(),
		zone:          index % pool.config.Scenario.Zones,
		listener:      l,
		callbackConns: newConnPool(),
		conns:         map[net.Conn]struct{}{},
	}
	go w.accept()
	return w, nil
}

// entry returns the worker's entry of the list. The caller holds the list's lock.
func (w *worker) entry(state string) string {
	return fmt.Sprintf(`{"uid":%q,"endpoint":%q,"az":"z%d","model":"a","pod_group":%d,"state":%q,"capacity_hint":1,"boot_ms":%d}`,
		w.uid, w.addr, w.zone, w.zone, state, w.bootMS)
}

func (w *worker) currentUID() string {
	w.pool.list.mu.Lock()
	defer w.pool.list.mu.Unlock()
	return w.uid
}

// closeConns closes all connections from schedulers.
func (w *worker) closeConns() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		c.Close()
	}
}

// accept serves incoming connections. While the worker is lost it closes them at once.
func (w *worker) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		if w.lost.Load() {
			c.Close()
			continue
		}
		w.mu.Lock()
		w.conns[c] = struct{}{}
		w.mu.Unlock()
		go func() {
			w.serve(c)
			c.Close()
			w.mu.Lock()
			delete(w.conns, c)
			w.mu.Unlock()
		}()
	}
}

const (
	requestBufferBytes = 1024 // per connection, of which there are many

	acceptedResponse  = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
	noContentResponse = "HTTP/1.1 204 No Content\r\n\r\n"
	notFoundResponse  = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"

	loadReportPath = "/-/load"
	jobPathPrefix  = "/jobs/"
)

// serve serves one connection from a scheduler and counts its bytes by the kind of request.
func (w *worker) serve(rawConn net.Conn) {
	conn := &countingConn{Conn: rawConn}
	reader := bufio.NewReaderSize(conn, requestBufferBytes)
	countedBytes := 0
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, request.Body)
		response, counter := w.handle(request)
		if _, err := io.WriteString(conn, response); err != nil {
			return
		}
		total := conn.bytesRead - reader.Buffered() + conn.bytesWritten
		if counter != nil {
			counter.add(total - countedBytes)
		} else {
			w.pool.unexpectedCalls.Add(1)
		}
		countedBytes = total
	}
}

// handle returns the response to a request and the counter for its kind. The counter is nil for a
// request that no scheduler should send.
func (w *worker) handle(request *http.Request) (response string, counter *callCounter) {
	calls := &w.pool.calls
	path := request.URL.Path
	switch {
	case request.Method == http.MethodGet && path == loadReportPath:
		body := w.loadReport()
		head := "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s"
		return fmt.Sprintf(head, len(body), body), &calls.healthChecks
	case request.Method == http.MethodDelete && strings.HasPrefix(path, jobPathPrefix):
		w.pool.cancelJob(strings.TrimPrefix(path, jobPathPrefix))
		return noContentResponse, &calls.cancels
	case request.Method == http.MethodPost:
		if w.startJob(request) {
			return acceptedResponse, &calls.starts
		}
		return notFoundResponse, &calls.starts
	default:
		return notFoundResponse, nil
	}
}

const (
	otherLoadAmplitude        = 2  // slots by which the load of other schedulers rises above and falls below its mean
	otherLoadSecondsPerRadian = 20 // of the phase of that load
)

// loadReport returns the load report with the free slots: all slots, minus the jobs that run here,
// minus the slots that other schedulers use, whose number varies over time.
func (w *worker) loadReport() string {
	if frozen := w.frozenReport.Load(); frozen != nil {
		return *frozen
	}
	scenario := w.pool.config.Scenario
	phase := float64(w.index) + time.Since(w.pool.startedAt).Seconds()/otherLoadSecondsPerRadian
	otherLoad := scenario.OtherLoad + math.Round(otherLoadAmplitude*math.Sin(phase))
	free := float64(scenario.Slots) - otherLoad - float64(w.running.Load())
	text := fmt.Sprintf("TEXT waiting=%g, avg_ms=%.0f, x0=%g", max(0, -free), scenario.meanRun().Seconds()*1e3, max(0, free))
	if w.pool.reportsFrozen.Load() {
		w.frozenReport.Store(&text)
	}
	return text
}
