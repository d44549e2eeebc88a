package rig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Attempt is one attempt that a worker got.
type Attempt struct {
	ID     string
	Class  string
	Key    string
	Body   string
	At     time.Duration
	Worker *Worker

	given bool // given up by DELETE
	ended bool
	done  chan struct{} // closed when it is given up
}

// Worker is a stand-in of a worker. Its fields may be set before it is listed.
type Worker struct {
	UID   string
	Addr  string
	Zone  string
	Slots int
	// Schedulers is where news goes.
	Schedulers func() string
	// Work tells how long an attempt runs.
	Work func(*Attempt) time.Duration
	// Result makes the result of an attempt.
	Result func(*Attempt) string
	// TellsStart makes the worker tell of starts.
	TellsStart bool

	run    *Run
	server *http.Server
	client *http.Client
	queue  chan struct{}

	mu       sync.Mutex
	attempts []*Attempt
	running  int
}

// StartWorker starts a worker that listens at a free address.
func (r *Run) StartWorker(uid, zone string, slots int) *Worker {
	l := r.listen()
	w := &Worker{
		UID:    uid,
		Addr:   l.Addr().String(),
		Zone:   zone,
		Slots:  slots,
		Work:   func(*Attempt) time.Duration { return 50 * time.Millisecond },
		Result: func(a *Attempt) string { return "result of " + a.ID + " for " + a.Body },
		run:    r,
		client: &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second}},
		queue:  make(chan struct{}, slots),
	}
	w.server = &http.Server{Handler: w, IdleTimeout: 5 * time.Second}
	r.Defer(w.Stop)
	go w.server.Serve(l)
	return w
}

// Stop ends the worker.
func (w *Worker) Stop() { w.server.Close() }

// Target returns the worker's entry in the list.
func (w *Worker) Target() Target {
	return Target{UID: w.UID, Endpoint: w.Addr, Zone: w.Zone, Kind: "m", State: "Ready", CapacityHint: 1}
}

// Attempts returns the attempts that the worker got.
func (w *Worker) Attempts() []*Attempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*Attempt(nil), w.attempts...)
}

// ServeHTTP answers attempts, cancels and probes.
func (w *Worker) ServeHTTP(out http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	switch {
	case err != nil:
		return
	case request.Method == http.MethodGet:
		w.mu.Lock()
		free := w.Slots - w.running
		w.mu.Unlock()
		fmt.Fprintf(out, `{"x0":%d}`, max(0, free))
	case request.Method == http.MethodDelete:
		w.giveUp(strings.TrimPrefix(request.URL.Path, "/jobs/"))
	case request.Header.Get("X-Call-Id") == "":
		out.WriteHeader(http.StatusNotFound)
	default:
		a := &Attempt{
			ID:     request.Header.Get("X-Call-Id"),
			Class:  strings.Split(request.URL.Path, "/")[1],
			Key:    request.Header.Get("Idempotency-Key"),
			Body:   string(body),
			At:     w.run.Now(),
			Worker: w,
			done:   make(chan struct{}),
		}
		w.mu.Lock()
		w.attempts = append(w.attempts, a)
		w.running++
		w.mu.Unlock()
		w.run.Note("%s: got %s", w.UID, a.ID)
		out.WriteHeader(http.StatusAccepted)
		go w.work(a)
	}
}

func (w *Worker) giveUp(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.attempts {
		if a.ID == id && !a.given && !a.ended {
			w.run.Note("%s: %s was given up", w.UID, id)
			a.given = true
			close(a.done)
		}
	}
}

// work runs an attempt and tells what became of it.
func (w *Worker) work(a *Attempt) {
	w.queue <- struct{}{}
	if w.TellsStart {
		w.tell(a, "started", nil)
	}
	select {
	case <-time.After(w.Work(a)):
	case <-a.done:
	}
	<-w.queue
	w.mu.Lock()
	w.running--
	given := a.given
	a.ended = true
	w.mu.Unlock()
	if given {
		return
	}
	result := w.Result(a)
	w.tell(a, "done", &result)
}

// tell sends news to the scheduler until it is answered, ten times at most.
func (w *Worker) tell(a *Attempt, state string, result *string) {
	text, _ := json.Marshal(struct {
		ID     string  `json:"id"`
		From   string  `json:"from"`
		State  string  `json:"state"`
		Result *string `json:"result,omitempty"`
	}{a.ID, w.UID, state, result})
	for try := 1; try <= 10; try++ {
		status, err := w.post(text)
		if err == nil && (status == http.StatusOK || status == http.StatusNoContent) {
			w.run.Note("%s: told %s %s, answered %d, try %d", w.UID, a.ID, state, status, try)
			if state == "done" {
				w.run.acknowledged(a.ID)
			}
			return
		}
		w.run.Note("%s: told %s %s, answered %d %v, try %d", w.UID, a.ID, state, status, err, try)
		time.Sleep(time.Duration(try) * 50 * time.Millisecond)
	}
}

func (w *Worker) post(text []byte) (int, error) {
	response, err := w.client.Post("http://"+w.Schedulers()+"/_jobs/news", "application/json", bytes.NewReader(text))
	if err != nil {
		return 0, err
	}
	io.Copy(io.Discard, response.Body)
	response.Body.Close()
	return response.StatusCode, nil
}
