package soak

import (
	"encoding/json"
	"sync"
	"time"
)

const (
	noRevision    = 0 // sent by a scheduler that has no list yet
	firstRevision = 1
	indentedEvery = 3 // one revision in this many is written as indented JSON on several lines
)

// endpointList emulates the discovery service. Each scheduler reaches it through a separate server
// and proxy, so that the updates sent to each scheduler can be told apart.
type endpointList struct {
	harness *harness
	servers []*listServer // by scheduler number

	mu         sync.Mutex
	revision   int
	entries    map[string]endpoint // by worker UID
	revisionOf map[string]int      // of an entry's last change, by worker UID
	changed    chan struct{}       // closed and replaced by publish
	delay      time.Duration       // before each answer
	down       bool                // every request is answered with an error
	outages    []interval          // when the list could not be reached, or was slow
}

// endpoint is a worker's entry in the endpoint list.
type endpoint struct {
	UID      string `json:"uid"`
	Endpoint string `json:"endpoint"`
	AZ       string `json:"az"`
	Model    string `json:"model"`
	PodGroup int    `json:"pod_group"`
	State    string `json:"state"`
	BootMS   int64  `json:"boot_ms"` // start time in Unix milliseconds; 0: started long ago
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

// put stores an entry under a new revision. Watches send it only after publish.
func (l *endpointList) put(e endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision++
	l.entries[e.UID] = e
	l.revisionOf[e.UID] = l.revision
	l.harness.observed.addStateChange(e)
}

// publish wakes all watches, which then send what has changed.
func (l *endpointList) publish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.changed)
	l.changed = make(chan struct{})
}

// endpointUpdate is the JSON form of an update.
type endpointUpdate struct {
	All     bool       `json:"all"` // a full update, not a delta
	Rev     int        `json:"rev"`
	Targets []endpoint `json:"targets"`
}

func (u endpointUpdate) marshal() (text []byte) {
	if u.Rev%indentedEvery == 0 {
		text, _ = json.MarshalIndent(u, "", "  ")
	} else {
		text, _ = json.Marshal(u)
	}
	return text
}

// listUpdate is an update that is ready to be sent to a scheduler.
type listUpdate struct {
	text      []byte // JSON; empty: nothing has changed
	endpoints []endpoint
	revision  int
	changed   <-chan struct{} // closed when the list is published again
}

// updateSince returns the update for a scheduler that has a given revision. It is a full update if
// the scheduler has none, or one that this list never had.
func (l *endpointList) updateSince(knownRevision int) listUpdate {
	l.mu.Lock()
	defer l.mu.Unlock()
	update := listUpdate{revision: l.revision, changed: l.changed}
	full := knownRevision == noRevision || knownRevision > l.revision
	for uid, e := range l.entries {
		if full && e.State != stateGone || !full && l.revisionOf[uid] > knownRevision {
			update.endpoints = append(update.endpoints, e)
		}
	}
	if update.endpoints != nil || full {
		update.text = endpointUpdate{All: full, Rev: l.revision, Targets: update.endpoints}.marshal()
	}
	return update
}

// causeOutage calls begin, which makes the list unreachable or slow, and after length calls end. It
// records the outage.
func (l *endpointList) causeOutage(begin, end func(), length time.Duration) {
	from := time.Now()
	begin()
	time.Sleep(length)
	end()
	l.mu.Lock()
	l.outages = append(l.outages, interval{from: from, to: time.Now()})
	l.mu.Unlock()
}

// setDown has every request for the list answered with an error, or ends that. Going down resets
// all connections.
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

// setProxyMode sets the mode of all schedulers' proxies to the list.
func (l *endpointList) setProxyMode(mode proxyMode) {
	for _, s := range l.servers {
		s.proxy.setMode(mode)
	}
}

// notificationDeadline returns when all schedulers count as notified of a change, whatever they were
// sent: when the list has been reachable for maxPollDelay without a break or, if changes are pushed,
// as soon as it is reachable.
func (l *endpointList) notificationDeadline(at time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	reachableFor := maxPollDelay
	if l.harness.endpointsPushed() {
		reachableFor = 0
	}
	for extended := true; extended; {
		extended = false
		for _, outage := range l.outages {
			if !outage.from.After(at.Add(reachableFor)) && outage.to.After(at) {
				at = outage.to
				extended = true
			}
		}
	}
	return at.Add(reachableFor)
}
