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
	watchBuffer    = 64              // updates that a watch may be behind
	watchKeepAlive = 2 * time.Second // interval of the empty lines of a watch
)

// listCall is how the model has a call to the list answered.
type listCall struct {
	delay    time.Duration
	answered bool
}

// serveList answers a call of this scheduler to the list: with one update, or with all to come
// where it asks for a stream.
func (s *scheduler) serveList(out http.ResponseWriter, in *http.Request) {
	parameters := in.URL.Query()
	index, err := strconv.Atoi(parameters.Get("index"))
	if err != nil {
		index = 0
	}
	call, ok := query(s.run, func(now time.Duration) listCall {
		at, answered := s.run.model.Discovery.Query(now)
		return listCall{delay: at - now, answered: answered}
	})
	if !ok {
		return
	}
	select {
	case <-time.After(call.delay):
	case <-in.Context().Done():
		return
	}
	if !call.answered {
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	watch := make(chan []byte, watchBuffer)
	first, ok := query(s.run, func(time.Duration) []byte { return s.subscribe(index, watch) })
	if !ok {
		return
	}
	if first == nil {
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !sendLine(out, first) || parameters.Get("stream") == "" {
		return
	}
	s.stream(in.Context(), out, watch)
}

// subscribe replaces the watch, and returns the update since a revision; nil: the list is dead. Of
// the loop.
func (s *scheduler) subscribe(index int, watch chan []byte) []byte {
	list := s.run.model.Discovery
	if list.Down() {
		return nil
	}
	var update []byte
	if index == 0 {
		s.revision = list.Version()
		update = s.updateOf(list.Snapshot(), true)
	} else {
		entries := list.Since(index)
		s.revision = list.Version()
		update = s.updateOf(entries, false)
	}
	s.closeWatch()
	s.watch = watch
	return update
}

// stream sends updates, and empty lines between them, until the call or the run ends. The
// connection breaks where the watch is closed.
func (s *scheduler) stream(ctx context.Context, out http.ResponseWriter, watch <-chan []byte) {
	keepAlive := time.NewTicker(watchKeepAlive)
	defer keepAlive.Stop()
	for {
		select {
		case line, open := <-watch:
			if !open {
				panic(http.ErrAbortHandler)
			}
			if !sendLine(out, line) {
				return
			}
		case <-keepAlive.C:
			if !sendLine(out, nil) {
				return
			}
		case <-ctx.Done():
			return
		case <-s.run.ctx.Done():
			return
		}
	}
}

func sendLine(out http.ResponseWriter, line []byte) bool {
	_, err := out.Write(append(line, '\n'))
	if err != nil {
		return false
	}
	if f, ok := out.(http.Flusher); ok {
		f.Flush()
	}
	return true
}

// updateOf writes entries for this scheduler, which counts as notified of them. Of the loop.
func (s *scheduler) updateOf(entries []model.Endpoint, full bool) []byte {
	m := s.run.model
	for _, e := range entries {
		m.Rules.EndpointReceived(s.run.now(), s.number, e.Machine, e.State)
	}
	s.known = m.Discovery.Snapshot()
	return s.run.marshalUpdate(entries, s.revision, full)
}

// publish sends what has changed to the watch, if there is one. One that is too far behind is
// closed: it has to call again. Of the loop.
func (s *scheduler) publish() {
	if s.watch == nil {
		return
	}
	entries := s.run.model.Discovery.Since(s.revision)
	s.revision = s.run.model.Discovery.Version()
	select {
	case s.watch <- s.updateOf(entries, false):
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

// endpointUpdate is an update on the wire.
type endpointUpdate struct {
	All     bool       `json:"all"` // a full update
	Rev     int        `json:"rev"`
	Targets []endpoint `json:"targets"`
}

type endpoint struct {
	AZ           string  `json:"az"`
	BootMS       int64   `json:"boot_ms"` // Unix milliseconds of its start; 0: before the run
	CapacityHint float64 `json:"capacity_hint"`
	Endpoint     string  `json:"endpoint"`
	Model        string  `json:"model"`
	PodGroup     int     `json:"pod_group"`
	State        string  `json:"state"`
	UID          string  `json:"uid"`
}

// states are those of an endpoint on the wire.
var states = map[model.MachineState]string{
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
		panic(err) // nothing in it can fail to be written
	}
	return text
}

func (r *run) endpointOf(e model.Endpoint) endpoint {
	m := r.model.Fleet.Machines[e.Machine]
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
		State:        states[e.State],
		UID:          m.UID,
	}
}
