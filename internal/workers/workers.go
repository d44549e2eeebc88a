// Package workers carries forwards, probes and cancels to the workers over kept connections, and takes what they
// call back.
package workers

import (
	"maps"
	"slices"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/conn"
	"stoatweir/internal/discovery"
	"stoatweir/internal/http1"
	"stoatweir/internal/invariant"
	"stoatweir/internal/settings"
)

const (
	probeWithin  = 300 * time.Millisecond
	cancelWithin = time.Second
	idlePart     = 0.6 // of the workers' idle time: a request must not cross the worker's closing
	afterNews    = time.Second
	keepLeast    = 20 * time.Millisecond // a connection that lasts no longer is not kept at all
	keepAgain    = 5 * time.Second       // after that much quiet connections are kept twice as long
	earlyMost    = 50 * time.Millisecond // that an answer waits for the word that its request has gone out
	leastTold    = time.Millisecond      // left to the client timeout that an attempt can tell its worker
)

// Invocation is one as it goes to a worker.
type Invocation struct {
	Number             dispatch.InvocationID
	ID, Method, Target string
	Fields             []http1.Field // go on unchanged
	Body               []byte
	Deadline           time.Duration // when its client stops waiting
	Effect             dispatch.Effect
	Hint               float64 // what it says of its work, in seconds; 0: nothing

	had []*worker // to which it has been written
}

// needsProof tells whether it goes on only by what is known of the attempts before: a word that one of them never ran must be about that
// very attempt. Taken for an earlier one's, it would let non-idempotent work run twice, and begin the group and the window of deduplicated
// work anew.
func (j *Invocation) needsProof() bool { return j.Effect != dispatch.Idempotent }

// Counts of what went out and how it ended.
type Counts struct {
	Sent     int            `json:"Sent"`
	Probes   int            `json:"Probes"`
	Cancels  int            `json:"Cancels"`
	News     int            `json:"News"`
	Strange  int            `json:"Strange"`
	Dialled  int            `json:"Dialled"`
	Ended    map[string]int `json:"Ended"`    // attempts, by how they ended
	Answered map[string]int `json:"Answered"` // probes, by how they ended
	Changes  map[string]int `json:"Changes"`  // of workers in the list, such as "ready to draining"
	Stopped  map[string]int `json:"Stopped"`  // attempts that the last check before the first byte stopped, by reason
}

// Fleet is the workers as seen from here.
type Transport struct {
	OnEvent       func(dispatch.Event)
	Deliver       func(inv dispatch.InvocationID, result string) // to the client, unless it is gone or has its answer
	AwaitsAnswer  func(dispatch.InvocationID) bool               // whether its client still waits for an answer
	ClientWaiting func(dispatch.InvocationID) bool               // the same at the moment of a send, with the kernel asked
	OnWritten     func()                                         // an attempt has been written whole
	Invariants    *invariant.Checker                             // asked before each first byte
	Counts        Counts

	loop     *conn.Loop
	site     settings.Deployment
	share    *conn.Quota
	lasted   time.Duration // so long a kept connection may be trusted, as it seemed when one last broke
	brokeAt  time.Duration // that was then
	workers  map[dispatch.WorkerID]*worker
	byUID    map[string]*worker
	byNumber map[attemptKey]*attempt
	byName   map[workKey]*attempt
}

type worker struct {
	uid, endpoint string
	entry         dispatch.Endpoint // as the list last had it
	reports       bool              // it has said something of its load since its start
	idle          []*connection     // used last is last
}

// NewFleet knows no workers yet.
func NewTransport(loop *conn.Loop, site settings.Deployment, share *conn.Quota) *Transport {
	f := &Transport{loop: loop, site: site, share: share, lasted: site.ConnectionIdle, workers: map[dispatch.WorkerID]*worker{},
		byUID: map[string]*worker{}, byNumber: map[attemptKey]*attempt{}, byName: map[workKey]*attempt{},
		Invariants: invariant.New(loop.Clock),
		Counts:     Counts{Ended: map[string]int{}, Answered: map[string]int{}, Changes: map[string]int{}, Stopped: map[string]int{}}}
	f.Invariants.ClientWaiting = func(inv dispatch.InvocationID) bool { return f.ClientWaiting(inv) }
	return f
}

// Retune follows newer settings.
func (f *Transport) Reconfigure(site settings.Deployment) { f.site = site }

var standings = map[dispatch.EndpointState]string{dispatch.Gone: "gone", dispatch.Ready: "ready", dispatch.Draining: "draining"}

// List follows the list.
func (f *Transport) ApplyUpdate(list discovery.Update) {
	named := map[string]bool{}
	for _, e := range list.Workers {
		w := f.byUID[e.UID]
		if w == nil {
			w = &worker{uid: e.UID, endpoint: e.Address}
			f.byUID[e.UID], f.workers[e.Worker] = w, w
		}
		if named[e.UID] = true; e.Address != w.endpoint && e.State != dispatch.Gone {
			w.endpoint = e.Address
			w.shutIdle()
		}
		w.reports = w.reports && e.StartedAt == w.entry.StartedAt
		if known := w.entry; known.State != e.State {
			f.Counts.Changes[standings[known.State]+" to "+standings[e.State]]++
		} else if known.Incarnation != e.Incarnation {
			f.Counts.Changes["restarted"]++
		}
		if e.StartKnown {
			f.Invariants.CheckStart(e.UID, e.StartedAt)
		}
		w.entry = e.Endpoint
		w.stand(e.State)
	}
	if list.Kind == dispatch.FullUpdate {
		for uid, w := range f.byUID {
			if !named[uid] {
				w.stand(dispatch.Gone)
			}
		}
	}
}

func (w *worker) stand(s dispatch.EndpointState) {
	if w.entry.State = s; s == dispatch.Gone {
		w.shutIdle()
	}
}

// UID is how all schedulers name a worker; empty: it is not known here.
func (f *Transport) UID(id dispatch.WorkerID) string {
	if w := f.workers[id]; w != nil {
		return w.uid
	}
	return ""
}

// ID is our own name of it.
func (f *Transport) ID(uid string) (dispatch.WorkerID, bool) {
	if w := f.byUID[uid]; w != nil {
		return w.entry.Worker, true
	}
	return dispatch.WorkerID{}, false
}

// Listing is the whole list as it stands, in one order for any run.
func (f *Transport) Endpoints() dispatch.EndpointUpdate {
	list := dispatch.EndpointUpdate{Kind: dispatch.FullUpdate}
	for _, uid := range slices.Sorted(maps.Keys(f.byUID)) {
		if w := f.byUID[uid]; w.entry.State != dispatch.Gone {
			list.Endpoints = append(list.Endpoints, w.entry)
		}
	}
	return list
}

// Listed counts the workers of the list, ready and draining.
func (f *Transport) EndpointCount() (n int) {
	for _, w := range f.byUID {
		if w.entry.State != dispatch.Gone {
			n++
		}
	}
	return n
}

// Out counts the forwards that are under way.
func (f *Transport) InFlight() int { return len(f.byNumber) }
