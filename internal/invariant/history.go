package invariant

import (
	"fmt"
	"iter"
	"time"

	"stoatweir/dispatch"
)

// historyCapacity is the number of transitions kept, of all requests together.
const historyCapacity = 1024

// Transition is one recorded event of a request.
type Transition struct {
	At      time.Duration // since the start of the process
	Request dispatch.InvocationID
	ID      string // chosen by the client; only set in the transition that admits the request
	Attempt int
	Worker  string // the worker's UID; empty: the transition belongs to no attempt, or to the end of one
	Event   string
}

// String formats the transition as one line of a history.
func (t Transition) String() string {
	if t.Worker == "" {
		return fmt.Sprintf("%.3f %s", t.At.Seconds(), t.Event)
	}
	return fmt.Sprintf("%.3f attempt %d at %s: %s", t.At.Seconds(), t.Attempt, t.Worker, t.Event)
}

// History returns the transitions of a request that are still kept, oldest first.
func (c *Checker) History(id dispatch.InvocationID) []Transition { return c.history.transitionsOf(id) }

// HistoryByID returns the transitions that are still kept of the last admitted request whose client chose
// the given ID, oldest first.
func (c *Checker) HistoryByID(id string) []Transition {
	request, known := c.history.lastAdmitted(id)
	if !known {
		return nil
	}
	return c.History(request)
}

// recordEvent adds an event that belongs to a request but to none of its attempts.
func (c *Checker) recordEvent(id dispatch.InvocationID, event string) {
	c.history.add(Transition{At: c.clock(), Request: id, Event: event})
}

// history is a ring buffer of the last transitions.
type history struct {
	ring []Transition
	next int // index of the oldest transition, once the ring is full
}

func (h *history) add(t Transition) {
	if len(h.ring) < historyCapacity {
		h.ring = append(h.ring, t)
		return
	}
	h.ring[h.next] = t
	h.next = (h.next + 1) % historyCapacity
}

// all yields the transitions, oldest first.
func (h *history) all() iter.Seq[Transition] {
	return func(yield func(Transition) bool) {
		for offset := range h.ring {
			if !yield(h.ring[(h.next+offset)%len(h.ring)]) {
				return
			}
		}
	}
}

// lastAdmitted returns the last admitted request whose client chose the given ID; an empty ID matches none.
func (h *history) lastAdmitted(id string) (request dispatch.InvocationID, known bool) {
	if id == "" {
		return noRequest, false
	}
	for t := range h.all() {
		if t.ID == id {
			request = t.Request
			known = true
		}
	}
	return request, known
}

func (h *history) transitionsOf(id dispatch.InvocationID) []Transition {
	var transitions []Transition
	for t := range h.all() {
		if t.Request == id {
			transitions = append(transitions, t)
		}
	}
	return transitions
}
