package invariant

import (
	"fmt"
	"iter"
	"time"

	"stoatweir/dispatch"
)

// historyLength is how many transitions are kept, of all requests together.
const historyLength = 1024

// Transition is one step of a request.
type Transition struct {
	At      time.Duration // since the start of the process
	Request dispatch.InvocationID
	ID      string // given by its client; only set when the request is admitted
	Attempt int
	Worker  string // its UID; empty: it concerns no attempt
	Event   string
}

// String formats the transition as a line of a history.
func (t Transition) String() string {
	if t.Worker == "" {
		return fmt.Sprintf("%.3f %s", t.At.Seconds(), t.Event)
	}
	return fmt.Sprintf("%.3f attempt %d at %s: %s", t.At.Seconds(), t.Attempt, t.Worker, t.Event)
}

// History returns the transitions that are still known of a request, oldest first.
func (c *Checker) History(id dispatch.InvocationID) []Transition { return c.history.of(id) }

// HistoryByID returns the transitions that are still known of the last request to which its client gave that id, oldest
// first.
func (c *Checker) HistoryByID(id string) []Transition {
	request, known := c.history.lastAdmitted(id)
	if !known {
		return nil
	}
	return c.History(request)
}

// record adds an event that concerns a request as a whole.
func (c *Checker) record(id dispatch.InvocationID, event string) {
	c.history.add(Transition{At: c.clock(), Request: id, Event: event})
}

// history is a ring of the last transitions.
type history struct {
	ring []Transition
	next int // the oldest, once the ring is full
}

func (h *history) add(t Transition) {
	if len(h.ring) < historyLength {
		h.ring = append(h.ring, t)
		return
	}
	h.ring[h.next] = t
	h.next = (h.next + 1) % historyLength
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

// lastAdmitted finds the last request that was admitted under an id.
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

func (h *history) of(id dispatch.InvocationID) []Transition {
	var transitions []Transition
	for t := range h.all() {
		if t.Request == id {
			transitions = append(transitions, t)
		}
	}
	return transitions
}
