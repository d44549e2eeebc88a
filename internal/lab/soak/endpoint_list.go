package soak

import (
	"encoding/json"
	"sync"
	"time"
)

const (
	unknownRevision = 0 // of a scheduler that has no list yet
	firstRevision   = 1
	indentedOf      = 3 // one of so many revisions is written over many lines
)

// endpointList is the discovery service of all schedulers. Each reaches it through a server and a
// proxy of its own, so that it shows which scheduler was sent what.
type endpointList struct {
	harness *harness
	servers []*listServer // by scheduler

	mu         sync.Mutex
	revision   int
	entries    map[string]endpoint // by uid
	revisionOf map[string]int      // of an entry's last change
	changed    chan struct{}       // closed at publish
	delay      time.Duration       // before each answer
	down       bool                // answers by an error
	outages    []interval          // when it could not be reached, or not in time
}

// endpoint is a worker of the list.
type endpoint struct {
	UID      string `json:"uid"`
	Endpoint string `json:"endpoint"`
	AZ       string `json:"az"`
	Model    string `json:"model"`
	PodGroup int    `json:"pod_group"`
	State    string `json:"state"`
	BootMS   int64  `json:"boot_ms"` // Unix milliseconds of its start; 0: long ago
}

// States of an endpoint.
const (
	stateReady    = "Ready"
	stateDraining = "Terminating"
	stateGone     = "Gone"
)

func newEndpointList(h *harness) (*endpointList, error) {
	l := &endpointList{
		harness:    h,
		revision:   firstRevision,
		entries:    map[string]endpoint{},
		revisionOf: map[string]int{},
		changed:    make(chan struct{}),
	}
	for n := range h.Schedulers {
		s, err := newListServer(l, n)
		if err != nil {
			l.close()
			return nil, err
		}
		l.servers = append(l.servers, s)
	}
	return l, nil
}

func (l *endpointList) close() {
	l.publish()
	for _, s := range l.servers {
		s.close()
	}
}

// put changes an entry; no watch is notified until publish.
func (l *endpointList) put(e endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision++
	l.entries[e.UID] = e
	l.revisionOf[e.UID] = l.revision
	l.harness.observed.addStateChange(e)
}

// publish notifies all watches.
func (l *endpointList) publish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.changed)
	l.changed = make(chan struct{})
}

// endpointUpdate is an update on the wire.
type endpointUpdate struct {
	All     bool       `json:"all"` // a full update
	Rev     int        `json:"rev"`
	Targets []endpoint `json:"targets"`
}

func (u endpointUpdate) marshal() (text []byte) {
	if u.Rev%indentedOf == 0 {
		text, _ = json.MarshalIndent(u, "", "  ")
	} else {
		text, _ = json.Marshal(u)
	}
	return text
}

// listUpdate is what a scheduler is to be sent.
type listUpdate struct {
	text      []byte // empty: nothing has changed
	endpoints []endpoint
	revision  int
	changed   <-chan struct{} // closed when there is more
}

// updateSince is the update for a scheduler that has a revision; a full one where it has none, or
// one that this list never had.
func (l *endpointList) updateSince(known int) listUpdate {
	l.mu.Lock()
	defer l.mu.Unlock()
	update := listUpdate{revision: l.revision, changed: l.changed}
	full := known == unknownRevision || known > l.revision
	for uid, e := range l.entries {
		if full && e.State != stateGone || !full && l.revisionOf[uid] > known {
			update.endpoints = append(update.endpoints, e)
		}
	}
	if update.endpoints != nil || full {
		update.text = endpointUpdate{All: full, Rev: l.revision, Targets: update.endpoints}.marshal()
	}
	return update
}

// causeOutage makes the list unreachable in one way for a while.
func (l *endpointList) causeOutage(begin, end func(), length time.Duration) {
	from := time.Now()
	begin()
	time.Sleep(length)
	end()
	l.mu.Lock()
	l.outages = append(l.outages, interval{from: from, to: time.Now()})
	l.mu.Unlock()
}

func (l *endpointList) setDown(down bool) {
	l.mu.Lock()
	l.down = down
	l.mu.Unlock()
	if down {
		for _, s := range l.servers {
			s.resetConns()
		}
	}
}

func (l *endpointList) setDelay(delay time.Duration) {
	l.mu.Lock()
	l.delay = delay
	l.mu.Unlock()
}

// setProxies sets the mode of all proxies to the list.
func (l *endpointList) setProxies(m proxyMode) {
	for _, s := range l.servers {
		s.proxy.setMode(m)
	}
}

// countsAsNotified is when a change counts as notified, whatever was written: the list could be
// reached for pollInterval on end or, where changes are pushed, at all.
func (l *endpointList) countsAsNotified(at time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	within := pollInterval
	if l.harness.endpointsPushed() {
		within = 0
	}
	for again := true; again; {
		again = false
		for _, o := range l.outages {
			if !o.from.After(at.Add(within)) && o.to.After(at) {
				at = o.to
				again = true
			}
		}
	}
	return at.Add(within)
}
