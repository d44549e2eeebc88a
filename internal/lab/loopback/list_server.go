package loopback

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"stoatweir/internal/lab/model"
)

const (
	maxPendingUpdates      = 64              // a watch with more updates waiting is closed
	watchKeepAliveInterval = 2 * time.Second // time between the empty lines that keep a watch alive
)

// listResponse is the model's response to a request for the list.
type listResponse struct {
	delay    time.Duration // until the response is sent
	answered bool          // otherwise the response is an error
}

// serveList answers this scheduler's request for the list with one update, followed by all later
// updates if the request asks for a stream.
func (s *scheduler) serveList(w http.ResponseWriter, req *http.Request) {
	parameters := req.URL.Query()
	index, err := strconv.Atoi(parameters.Get("index"))
	if err != nil {
		index = 0
	}
	response, ok := callOnLoop(s.run, func(now time.Duration) listResponse {
		at, answered := s.run.model.Discovery.Query(now)
		return listResponse{delay: at - now, answered: answered}
	})
	if !ok {
		return
	}
	select {
	case <-time.After(response.delay):
	case <-req.Context().Done():
		return
	}
	if !response.answered {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	watch := make(chan []byte, maxPendingUpdates)
	first, ok := callOnLoop(s.run, func(time.Duration) []byte { return s.subscribe(index, watch) })
	if !ok {
		return
	}
	if first == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !sendLine(w, first) || parameters.Get("stream") == "" {
		return
	}
	s.stream(req.Context(), w, watch)
}

// subscribe replaces the watch, and returns the update since revision index, or nil if the list is
// down. It must be called on the loop.
func (s *scheduler) subscribe(index int, watch chan []byte) []byte {
	list := s.run.model.Discovery
	if list.Down() {
		return nil
	}
	var update []byte
	if index == 0 {
		s.revision = list.Version()
		update = s.prepareUpdate(list.Snapshot(), true)
	} else {
		entries := list.Since(index)
		s.revision = list.Version()
		update = s.prepareUpdate(entries, false)
	}
	s.closeWatch()
	s.watch = watch
	return update
}

// stream sends updates, and empty lines between them, until the request or the run ends. If the watch
// is closed, the connection is aborted.
func (s *scheduler) stream(ctx context.Context, w http.ResponseWriter, watch <-chan []byte) {
	keepAlive := time.NewTicker(watchKeepAliveInterval)
	defer keepAlive.Stop()
	for {
		select {
		case line, open := <-watch:
			if !open {
				panic(http.ErrAbortHandler)
			}
			if !sendLine(w, line) {
				return
			}
		case <-keepAlive.C:
			if !sendLine(w, nil) {
				return
			}
		case <-ctx.Done():
			return
		case <-s.run.ctx.Done():
			return
		}
	}
}

// sendLine writes and flushes a line, and reports whether that succeeded.
func sendLine(w http.ResponseWriter, line []byte) bool {
	_, err := w.Write(append(line, '\n'))
	if err != nil {
		return false
	}
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
	return true
}

// prepareUpdate returns an update with entries for this scheduler, which counts as notified of them
// from now on. It must be called on the loop.
func (s *scheduler) prepareUpdate(entries []model.Endpoint, full bool) []byte {
	m := s.run.model
	for _, e := range entries {
		m.Rules.EndpointReceived(s.run.now(), s.number, e.Machine, e.State)
	}
	s.knownEndpoints = m.Discovery.Snapshot()
	return s.run.marshalUpdate(entries, s.revision, full)
}

// publish sends what has changed to the watch, if there is one. A watch that is too far behind is
// closed, and the scheduler has to request the list again. It must be called on the loop.
func (s *scheduler) publish() {
	if s.watch == nil {
		return
	}
	entries := s.run.model.Discovery.Since(s.revision)
	s.revision = s.run.model.Discovery.Version()
	select {
	case s.watch <- s.prepareUpdate(entries, false):
	default:
		s.closeWatch()
	}
}

func (s *scheduler) closeWatch() {
	if s.watch != nil {
		close(s.watch)
		s.watch = nil
	}
}

// endpointUpdate is the JSON form of an update.
type endpointUpdate struct {
	All     bool       `json:"all"` // a full update, not a delta
	Rev     int        `json:"rev"`
	Targets []endpoint `json:"targets"`
}

// endpoint is the JSON form of an entry of the endpoint list.
type endpoint struct {
	AZ           string  `json:"az"`
	BootMS       int64   `json:"boot_ms"` // start time in Unix milliseconds; 0: started before the run
	CapacityHint float64 `json:"capacity_hint"`
	Endpoint     string  `json:"endpoint"`
	Model        string  `json:"model"`
	PodGroup     int     `json:"pod_group"`
	State        string  `json:"state"`
	UID          string  `json:"uid"`
}

// endpointStates maps the states of machines to those of endpoints in updates.
var endpointStates = map[model.MachineState]string{
	model.Gone:     "Gone",
	model.Ready:    "Ready",
	model.Draining: "Terminating",
}

func (r *run) marshalUpdate(entries []model.Endpoint, revision int, full bool) []byte {
	update := endpointUpdate{All: full, Rev: revision, Targets: []endpoint{}}
	for _, e := range entries {
		update.Targets = append(update.Targets, r.endpointOf(e))
	}
	text, err := json.Marshal(update)
	if err != nil {
		panic(err) // every field can be marshalled
	}
	return text
}

func (r *run) endpointOf(e model.Endpoint) endpoint {
	m := r.model.Cluster.Machines[e.Machine]
	var bootMS int64
	if e.StartedAt >= 0 {
		bootMS = r.epoch + e.StartedAt.Milliseconds()
	}
	return endpoint{
		AZ:           r.scenario.Zones[m.Zone],
		BootMS:       bootMS,
		CapacityHint: 1,
		Endpoint:     r.workers[e.Machine].addr,
		Model:        r.scenario.Workers[m.Kind].Name,
		PodGroup:     m.Zone,
		State:        endpointStates[e.State],
		UID:          m.UID,
	}
}
