package rig

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Target is one entry of the list of workers.
type Target struct {
	UID          string  `json:"uid"`
	Endpoint     string  `json:"endpoint"`
	Zone         string  `json:"az"`
	Kind         string  `json:"model"`
	Cell         int     `json:"pod_group"`
	State        string  `json:"state"`
	CapacityHint float64 `json:"capacity_hint"`
	BootMS       int64   `json:"boot_ms"`
}

// List is the list of workers, or a change of it, as discovery sends it.
type List struct {
	Rev     uint64   `json:"rev"`
	All     bool     `json:"all"`
	Targets []Target `json:"targets"`
}

// Discovery is a stand-in of discovery. A watch gets the whole list first and then each change.
type Discovery struct {
	Addr string

	server *http.Server

	mu      sync.Mutex
	list    List
	changes []List // changes[n] leads from revision n+1 to n+2
	changed chan struct{}
}

// StartDiscovery starts discovery with a list of workers.
func (r *Run) StartDiscovery(targets []Target) *Discovery {
	l := r.listen()
	d := &Discovery{
		Addr:    l.Addr().String(),
		list:    List{Rev: 1, All: true, Targets: targets},
		changed: make(chan struct{}),
	}
	d.server = &http.Server{Handler: d}
	r.Defer(d.Stop)
	go d.server.Serve(l)
	return d
}

// Stop ends discovery: watches end, and new calls are refused.
func (d *Discovery) Stop() { d.server.Close() }

// Drain tells that a worker drains.
func (d *Discovery) Drain(uid string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change := List{Rev: d.list.Rev + 1}
	next := List{Rev: change.Rev, All: true}
	for _, target := range d.list.Targets {
		if target.UID == uid {
			target.State = "Terminating"
			change.Targets = append(change.Targets, target)
		}
		next.Targets = append(next.Targets, target)
	}
	d.list = next
	d.changes = append(d.changes, change)
	close(d.changed)
	d.changed = make(chan struct{})
}

// Replace takes workers out of the list and puts others in.
func (d *Discovery) Replace(gone, added []Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change := List{Rev: d.list.Rev + 1}
	isGone := map[string]bool{}
	for _, target := range gone {
		isGone[target.UID] = true
		target.State = "Gone"
		change.Targets = append(change.Targets, target)
	}
	change.Targets = append(change.Targets, added...)
	next := List{Rev: change.Rev, All: true}
	for _, target := range d.list.Targets {
		if !isGone[target.UID] {
			next.Targets = append(next.Targets, target)
		}
	}
	next.Targets = append(next.Targets, added...)
	d.list = next
	d.changes = append(d.changes, change)
	close(d.changed)
	d.changed = make(chan struct{})
}

// List returns the present list.
func (d *Discovery) List() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list
}

// after returns what a watch gets that has a revision, 0 for none, and a channel that is closed at the next change.
func (d *Discovery) after(revision uint64) ([]List, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if revision == 0 || revision > d.list.Rev {
		return []List{d.list}, d.changed
	}
	return d.changes[revision-1:], d.changed
}

// ServeHTTP answers with the whole list, or with a stream of changes and empty lines.
func (d *Discovery) ServeHTTP(out http.ResponseWriter, request *http.Request) {
	encoder := json.NewEncoder(out)
	if request.URL.Query().Get("stream") == "" {
		encoder.Encode(d.List())
		return
	}
	for revision := uint64(0); ; {
		lists, changed := d.after(revision)
		for _, list := range lists {
			encoder.Encode(list)
			revision = list.Rev
		}
		out.(http.Flusher).Flush()
		for waiting := true; waiting; {
			select {
			case <-changed:
				waiting = false
			case <-time.After(2 * time.Second):
				out.Write([]byte("\n"))
				out.(http.Flusher).Flush()
			case <-request.Context().Done():
				return
			}
		}
	}
}
