package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Attempt is one attempt that a worker got.
type Attempt struct {
	Number int // at this worker, from 1
	ID     string
	Worker *Worker
	Method string
	Path   string
	Budget string
	At     time.Duration // when its last byte had come
}

// Worker is a stand-in of a worker. Decide says what becomes of an attempt; the other fields are set
// before the first one comes.
type Worker struct {
	UID     string
	Address string
	// Scheduler is where callbacks go.
	Scheduler string
	// CallTimeout is how long a callback waits for its answer before it is tried again.
	CallTimeout time.Duration
	// Report returns the text of the load report.
	Report func() string
	// Decide returns the status of the answer to an attempt. It may start goroutines.
	Decide func(*Attempt) int

	run      *Run
	http     *http.Server
	mu       sync.Mutex
	attempts []*Attempt
	cancels  []string
}

// Worker starts a stand-in of a worker.
func (r *Run) Worker(uid string) *Worker {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.Fail("%v", err)
	}
	w := &Worker{UID: uid, Address: l.Addr().String(), CallTimeout: time.Second, run: r}
	w.http = &http.Server{Handler: w}
	go w.http.Serve(l)
	return w
}

// Leave ends the worker's process: its connections end, and new ones are refused.
func (w *Worker) Leave() {
	w.run.Log("%s has left", w.UID)
	w.http.Close()
}

// ServeHTTP serves probes, cancels and attempts.
func (w *Worker) ServeHTTP(out http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	switch {
	case request.Method == http.MethodGet:
		fmt.Fprint(out, w.Report())
	case request.Method == http.MethodDelete:
		id := strings.TrimPrefix(request.URL.Path, "/jobs/")
		w.run.Log("%s is told to give up %s", w.UID, id)
		w.mu.Lock()
		w.cancels = append(w.cancels, id)
		w.mu.Unlock()
		out.WriteHeader(http.StatusNoContent)
	default:
		a := &Attempt{
			ID:     request.Header.Get("X-Call-Id"),
			Worker: w,
			Method: request.Method,
			Path:   request.URL.Path,
			Budget: request.Header.Get("X-Budget"),
			At:     w.run.Since(),
		}
		w.mu.Lock()
		w.attempts = append(w.attempts, a)
		a.Number = len(w.attempts)
		w.mu.Unlock()
		w.run.Log("%s gets attempt %d: %s %s, id %s, budget %s, %d bytes", w.UID, a.Number, a.Method, a.Path, a.ID, a.Budget, len(body))
		status := w.Decide(a)
		w.run.Log("%s answers attempt %d of %s: %d", w.UID, a.Number, a.ID, status)
		if status == http.StatusServiceUnavailable {
			out.Header().Set("X-Rejected", "1")
		}
		out.WriteHeader(status)
	}
}

// Attempts returns the attempts of a request that this worker got; an empty id stands for all.
func (w *Worker) Attempts(id string) (got []*Attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.attempts {
		if id == "" || a.ID == id {
			got = append(got, a)
		}
	}
	return got
}

// Cancelled reports whether the worker was told to give up a request.
func (w *Worker) Cancelled(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.cancels {
		if c == id {
			return true
		}
	}
	return false
}

// Tell sends a callback until it is answered, ten times at most.
func (w *Worker) Tell(a *Attempt, state, result string) {
	call := map[string]any{"id": a.ID, "from": w.UID, "state": state}
	if state == "done" {
		call["result"] = result
	}
	text, _ := json.Marshal(call)
	for try := 1; try <= 10; try++ {
		client := http.Client{Timeout: w.CallTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := client.Post("http://"+w.Scheduler+"/_jobs/news", "application/json", bytes.NewReader(text))
		if err != nil {
			w.run.Log("%s tells %s %s (of its attempt %d), try %d: no answer", w.UID, a.ID, state, a.Number, try)
		} else {
			response.Body.Close()
			w.run.Log("%s tells %s %s (of its attempt %d), try %d: %d", w.UID, a.ID, state, a.Number, try, response.StatusCode)
			if response.StatusCode == http.StatusOK || response.StatusCode == http.StatusNoContent {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}
