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

	brokenOffAt         = 20                   // bytes of a response that breaks off
	secondResponseAfter = 5 * time.Millisecond // of a worker that answers twice
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

// handle handles a request. False: its connection ends.
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

func (w *worker) loadReport() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("TEXT x0=%d, waiting=%d, avg_ms=%d", slots-w.running, len(w.waiting), meanWork.Milliseconds())
}

// handleAttempt handles an attempt. False: its connection ends.
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
		return true // no response ever
	case w.drawOdd():
		return w.answerOddly(c, a)
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

// oddAnswer is a way to answer that is allowed and rare.
type oddAnswer int

const (
	oddRejection      oddAnswer = iota
	oddSecondResponse           // a late rejection behind the acceptance
	oddReset                    // before any response
	oddReturned                 // accepted, then returned without having run
	oddFailed                   // accepted, then failed
	oddBrokenOff                // the response breaks off
	oddEarlyResult              // the result comes before the acceptance
	oddLost                     // accepted, and nothing is ever heard of it
	oddAnswers                  // how many there are
)

// answerOddly answers in a way that is allowed and rare. False: the connection ends.
func (w *worker) answerOddly(c net.Conn, a *attempt) bool {
	w.mu.Lock()
	answer := oddAnswer(w.rng.Intn(int(oddAnswers)))
	incarnation := w.incarnation
	w.mu.Unlock()
	switch answer {
	case oddRejection:
		a.markNotRun()
		fmt.Fprint(c, rejectedResponse)
	case oddSecondResponse:
		fmt.Fprint(c, acceptedResponse)
		time.AfterFunc(secondResponseAfter, func() { fmt.Fprint(c, rejectedResponse) })
		go w.execute(a, incarnation)
	case oddReset:
		a.markEnded()
		abort(c)
		return false
	case oddReturned:
		fmt.Fprint(c, acceptedResponse)
		a.markNotRun()
		go w.notify(a, stateReturned)
	case oddFailed:
		fmt.Fprint(c, acceptedResponse)
		a.markEnded()
		go w.notify(a, stateFailed)
	case oddBrokenOff:
		a.markEnded()
		fmt.Fprint(c, acceptedResponse[:brokenOffAt])
		return false
	case oddEarlyResult:
		w.notify(a, stateDone)
		a.markEnded()
		fmt.Fprint(c, acceptedResponse)
	case oddLost:
		fmt.Fprint(c, acceptedResponse)
	}
	return true
}
