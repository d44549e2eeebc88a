package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Responses of a worker.
const (
	acceptedResponse   = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
	rejectedResponse   = "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
	badRequestResponse = "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"
	noContentResponse  = "HTTP/1.1 204 No Content\r\n\r\n"

	truncatedBytes      = 20                   // length at which a response is cut off
	secondResponseDelay = 5 * time.Millisecond // of a worker that sends two responses
)

func (w *worker) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[c] = struct{}{}
		w.mu.Unlock()
		go w.serve(c)
	}
}

func (w *worker) serve(c net.Conn) {
	defer func() {
		c.Close()
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !w.handle(c, request) {
			return
		}
	}
}

// handle handles a request, and reports whether its connection stays open.
func (w *worker) handle(c net.Conn, request *http.Request) bool {
	w.mu.Lock()
	hangs := w.hangs
	w.mu.Unlock()
	switch {
	case request.Method == http.MethodDelete:
		w.harness.observed.attemptCancelled(strings.TrimPrefix(request.URL.Path, "/jobs/"), w.uid)
		fmt.Fprint(c, noContentResponse)
	case request.Method == http.MethodGet && !hangs:
		text := w.loadReport()
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	case request.Method == http.MethodPost:
		return w.handleAttempt(c, request, hangs)
	}
	return true
}

// loadReport returns the text of the worker's load report.
func (w *worker) loadReport() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("TEXT x0=%d, waiting=%d, avg_ms=%d", slots-w.running, len(w.waiting), meanWork.Milliseconds())
}

// handleAttempt handles an attempt, and reports whether its connection stays open.
func (w *worker) handleAttempt(c net.Conn, request *http.Request, hangs bool) bool {
	id := request.Header.Get("X-Call-Id")
	seconds, err := strconv.ParseFloat(request.Header.Get("X-Budget"), 64)
	if err != nil {
		seconds = 0
	}
	budget := time.Duration(seconds * float64(time.Second))
	a := w.harness.observed.addAttempt(id, w, budget, w.proxy.lastReceived(c.RemoteAddr()))
	switch {
	case a == nil:
		fmt.Fprint(c, badRequestResponse)
		return true
	case hangs:
		return true // the attempt never gets a response
	case w.drawUnusual():
		return w.respondUnusually(c, a)
	}
	w.mu.Lock()
	full := w.running >= slots && len(w.waiting) >= queueCapacity
	incarnation := w.incarnation
	w.mu.Unlock()
	if full {
		a.markNotRun()
		fmt.Fprint(c, rejectedResponse)
		return true
	}
	fmt.Fprint(c, acceptedResponse)
	go w.execute(a, incarnation)
	return true
}

// unusualResponse is a way to answer an attempt that is allowed but rare.
type unusualResponse int

const (
	unusualRejection      unusualResponse = iota
	unusualSecondResponse                 // accepted, then rejected after a delay
	unusualReset                          // reset before any response
	unusualReturned                       // accepted, then returned without having run
	unusualFailed                         // accepted, then failed
	unusualTruncated                      // the response is cut off
	unusualEarlyResult                    // the result comes before the acceptance
	unusualLost                           // accepted, and never followed by a callback
	unusualResponseCount                  // number of unusual responses
)

// respondUnusually answers an attempt in a random unusual way, and reports whether the connection stays
// open.
func (w *worker) respondUnusually(c net.Conn, a *attempt) bool {
	w.mu.Lock()
	response := unusualResponse(w.rng.Intn(int(unusualResponseCount)))
	if w.returnsOnly {
		response = unusualReturned
	}
	incarnation := w.incarnation
	w.mu.Unlock()
	switch response {
	case unusualRejection:
		a.markNotRun()
		fmt.Fprint(c, rejectedResponse)
	case unusualSecondResponse:
		fmt.Fprint(c, acceptedResponse)
		time.AfterFunc(secondResponseDelay, func() { fmt.Fprint(c, rejectedResponse) })
		go w.execute(a, incarnation)
	case unusualReset:
		a.markEnded()
		abort(c)
		return false
	case unusualReturned:
		fmt.Fprint(c, acceptedResponse)
		a.markNotRun()
		go w.notify(a, stateReturned)
	case unusualFailed:
		fmt.Fprint(c, acceptedResponse)
		a.markEnded()
		go w.notify(a, stateFailed)
	case unusualTruncated:
		a.markEnded()
		fmt.Fprint(c, acceptedResponse[:truncatedBytes])
		return false
	case unusualEarlyResult:
		w.notify(a, stateDone)
		a.markEnded()
		fmt.Fprint(c, acceptedResponse)
	case unusualLost:
		fmt.Fprint(c, acceptedResponse)
	}
	return true
}
