package workers

import (
	"maps"
	"slices"

	"stoatweir/dispatch"
	"stoatweir/internal/discovery"
)

// worker is one of the endpoint list, with its idle connections.
type worker struct {
	uid         string
	address     string
	endpoint    dispatch.Endpoint // as the list last had it
	hasReported bool              // it has reported some load since its start
	idle        []*connection     // the one used last is the last
}

// stateNames are the keys of Counts.Changes.
var stateNames = map[dispatch.EndpointState]string{
	dispatch.Gone:     "gone",
	dispatch.Ready:    "ready",
	dispatch.Draining: "draining",
}

// ApplyUpdate applies a full or partial endpoint list. A full one removes the workers that it does
// not name.
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

// applyWorker applies one entry of the endpoint list.
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

// countChange counts the change from a worker's former entry to its present one.
func (t *Transport) countChange(before, now dispatch.Endpoint) {
	if before.State != now.State {
		t.Counts.Changes[stateNames[before.State]+" to "+stateNames[now.State]]++
		return
	}
	if before.Incarnation != now.Incarnation {
		t.Counts.Changes["restarted"]++
	}
}

// setState changes the state of a worker; one that is gone keeps no idle connections.
func (w *worker) setState(state dispatch.EndpointState) {
	w.endpoint.State = state
	if state == dispatch.Gone {
		w.closeIdle()
	}
}

// UID returns the name that all schedulers have for a worker; empty: it is not known here.
func (t *Transport) UID(id dispatch.WorkerID) string {
	if w := t.workersByID[id]; w != nil {
		return w.uid
	}
	return ""
}

// ID returns this process's name of a worker, and false if that is not known here.
func (t *Transport) ID(uid string) (dispatch.WorkerID, bool) {
	if w := t.workersByUID[uid]; w != nil {
		return w.endpoint.Worker, true
	}
	return dispatch.WorkerID{}, false
}

// Endpoints returns the present endpoint list as a full update, sorted by uid.
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

// EndpointCount returns the number of workers in the list, ready and draining.
func (t *Transport) EndpointCount() int {
	count := 0
	for _, w := range t.workersByUID {
		if w.endpoint.State != dispatch.Gone {
			count++
		}
	}
	return count
}
