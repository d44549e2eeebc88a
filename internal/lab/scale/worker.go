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

// worker is an emulated worker.
type worker struct {
	pool         *workerPool
	number       int
	addr         string
	zone         int
	listener     net.Listener
	lost         atomic.Bool // it accepts nothing and sends nothing
	running      atomic.Int64
	frozenReport atomic.Pointer[string] // once reports are frozen
	callbacks    *connPool

	uid    string // guarded by the list's lock
	bootMS int64  // Unix milliseconds of its start, 0: long ago; guarded by the list's lock

	mu    sync.Mutex
	conns map[net.Conn]struct{} // of schedulers
}

func newWorker(p *workerPool, n int) (*worker, error) {
	// Addresses differ too: connections to so many workers have to differ by more than a port.
	l, err := net.Listen("tcp", addressBeside(p.part.Host, n)+":0")
	if err != nil {
		return nil, fmt.Errorf("worker %d: %w", n, err)
	}
	w := &worker{
		pool:      p,
		number:    n,
		uid:       fmt.Sprint("w", n),
		addr:      l.Addr().String(),
		zone:      n % p.part.Scenario.Zones,
		listener:  l,
		callbacks: newConnPool(),
		conns:     map[net.Conn]struct{}{},
	}
	go w.accept()
	return w, nil
}

// entry writes its entry of the list; the list's lock is held.
func (w *worker) entry(state string) string {
	return fmt.Sprintf(`{"uid":%q,"endpoint":%q,"az":"z%d","model":"a","pod_group":%d,"state":%q,"capacity_hint":1,"boot_ms":%d}`,
		w.uid, w.addr, w.zone, w.zone, state, w.bootMS)
}

func (w *worker) currentUID() string {
	w.pool.list.mu.Lock()
	defer w.pool.list.mu.Unlock()
	return w.uid
}

func (w *worker) closeConns() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		c.Close()
	}
}

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
	requestBuffer = 1024 // bytes, of one of many connections

	acceptedResponse  = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
	noContentResponse = "HTTP/1.1 204 No Content\r\n\r\n"
	notFoundResponse  = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"

	reportPath = "/-/load"
	jobsPath   = "/jobs/"
)

// serve serves one connection of a scheduler.
func (w *worker) serve(nc net.Conn) {
	c := &countingConn{Conn: nc}
	reader := bufio.NewReaderSize(c, requestBuffer)
	counted := 0 // bytes
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, request.Body)
		response, counter := w.handle(request)
		if _, err := io.WriteString(c, response); err != nil {
			return
		}
		total := c.read - reader.Buffered() + c.written
		if counter != nil {
			counter.add(total - counted)
		} else {
			w.pool.unexpected.Add(1)
		}
		counted = total
	}
}

// handle returns the response to a request and the counter of its kind; nil: the request is none
// that a scheduler should send.
func (w *worker) handle(request *http.Request) (response string, counter *callCounter) {
	calls := &w.pool.calls
	path := request.URL.Path
	switch {
	case request.Method == http.MethodGet && path == reportPath:
		body := w.loadReport()
		head := "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s"
		return fmt.Sprintf(head, len(body), body), &calls.healthChecks
	case request.Method == http.MethodDelete && strings.HasPrefix(path, jobsPath):
		w.pool.cancel(strings.TrimPrefix(path, jobsPath))
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
	otherLoadSwing  = 2  // slots by which the load of other schedulers rises and falls
	otherLoadPeriod = 20 // seconds, of one radian
)

// loadReport reports the free slots: all, less the jobs of the schedulers here, less those of all
// others, whose number varies.
func (w *worker) loadReport() string {
	if frozen := w.frozenReport.Load(); frozen != nil {
		return *frozen
	}
	s := w.pool.part.Scenario
	phase := float64(w.number) + time.Since(w.pool.began).Seconds()/otherLoadPeriod
	others := s.Others + math.Round(otherLoadSwing*math.Sin(phase))
	free := float64(s.Slots) - others - float64(w.running.Load())
	text := fmt.Sprintf("TEXT waiting=%g, avg_ms=%.0f, x0=%g", max(0, -free), s.meanRun().Seconds()*1e3, max(0, free))
	if w.pool.reportsFrozen.Load() {
		w.frozenReport.Store(&text)
	}
	return text
}
