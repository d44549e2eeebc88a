package workers

import (
	"maps"
	"slices"

	"stoatweir/dispatch"
	"stoatweir/internal/discovery"
)

// worker is a worker of the endpoint list, with its idle connections.
type worker struct {
	uid         string
	address     string
	endpoint    dispatch.Endpoint // its latest entry in the list
	hasReported bool              // it has sent a load report that is not blank since its start
	idle        []*connection     // the most recently used one is the last
}

// stateNames are the keys of Counts.EndpointChanges.
var stateNames = map[dispatch.EndpointState]string{
	dispatch.Gone:     "gone",
	dispatch.Ready:    "ready",
	dispatch.Draining: "draining",
}

// ApplyUpdate applies a full or delta update of the endpoint list. Workers that a full update
// leaves out are gone.
func (t *Transport) ApplyUpdate(update discovery.Update) {
	listed := map[string]bool{}
	for _, w := range update.Workers {
		listed[w.UID] = true
		t.applyWorker(w)
	}
	if update.Kind != dispatch.FullUpdate {
		return
	}
	for uid, w := range t.workersByUID {
		if !listed[uid] {
			w.setState(dispatch.Gone)
		}
	}
}

// applyWorker applies one entry of an endpoint list update.
func (t *Transport) applyWorker(listed discovery.Worker) {
	w := t.workersByUID[listed.UID]
	if w == nil {
		w = &worker{uid: listed.UID, address: listed.Address}
		t.workersByUID[listed.UID] = w
		t.workersByID[listed.Worker] = w
	}
	if listed.Address != w.address && listed.State != dispatch.Gone {
		w.address = listed.Address
		w.closeIdle()
	}
	w.hasReported = w.hasReported && listed.StartedAt == w.endpoint.StartedAt
	t.countChange(w.endpoint, listed.Endpoint)
	if listed.StartKnown {
		t.Invariants.CheckStart(listed.UID, listed.StartedAt)
	}
	w.endpoint = listed.Endpoint
	w.setState(listed.State)
}

// countChange counts a change of a worker's state, or its restart, between two entries of the
// endpoint list.
func (t *Transport) countChange(before, now dispatch.Endpoint) {
	if before.State != now.State {
		t.Counts.EndpointChanges[stateNames[before.State]+" to "+stateNames[now.State]]++
		return
	}
	if before.Incarnation != now.Incarnation {
		t.Counts.EndpointChanges["restarted"]++
	}
}

// setState sets the state of a worker. The idle connections of a worker that is gone are closed.
func (w *worker) setState(state dispatch.EndpointState) {
	w.endpoint.State = state
	if state == dispatch.Gone {
		w.closeIdle()
	}
}

// WorkerUID returns a worker's identifier that is the same in all schedulers, or an empty string if
// the worker is not known.
func (t *Transport) WorkerUID(id dispatch.WorkerID) string {
	if w := t.workersByID[id]; w != nil {
		return w.uid
	}
	return ""
}

// WorkerID returns the identifier that this process uses for a worker, or false if the worker is not
// known.
func (t *Transport) WorkerID(uid string) (dispatch.WorkerID, bool) {
	if w := t.workersByUID[uid]; w != nil {
		return w.endpoint.Worker, true
	}
	return dispatch.WorkerID{}, false
}

// Endpoints returns the current endpoint list as a full update, sorted by UID.
func (t *Transport) Endpoints() dispatch.EndpointUpdate {
	update := dispatch.EndpointUpdate{Kind: dispatch.FullUpdate}
	for _, uid := range slices.Sorted(maps.Keys(t.workersByUID)) {
		w := t.workersByUID[uid]
		if w.endpoint.State != dispatch.Gone {
			update.Endpoints = append(update.Endpoints, w.endpoint)
		}
	}
	return update
}

// EndpointCount returns the number of workers in the endpoint list, ready or draining.
func (t *Transport) EndpointCount() int {
	count := 0
	for _, w := range t.workersByUID {
		if w.endpoint.State != dispatch.Gone {
			count++
		}
	}
	return count
}
