package invariant

import (
	"fmt"
	"time"

	"stoatweir/dispatch"
)

// historyLength is how many transitions are kept, of all requests together.
const historyLength = 1024

// Transition is one step of a request.
type Transition struct {
	At      time.Duration // since the start of the process
	Request dispatch.InvocationID
	ID      string // that its client gave it; told where it is taken
	Attempt int
	Worker  string // empty: it concerns no attempt
	Event   string
}

// String is the transition as the log has it.
func (t Transition) String() string {
	if t.Worker == "" {
		return fmt.Sprintf("%.3f %s", t.At.Seconds(), t.Event)
	}
	return fmt.Sprintf("%.3f %s at %s: %s", t.At.Seconds(), attemptName(t.Attempt), t.Worker, t.Event)
}

// history is a ring of the last transitions.
type history struct {
	ring []Transition
	next int
}

func (h *history) add(t Transition) {
	if len(h.ring) < historyLength {
		h.ring = append(h.ring, t)
		return
	}
	h.ring[h.next] = t
	h.next = (h.next + 1) % historyLength
}

// last finds the last request that was taken under an id.
func (h *history) last(id string) (request dispatch.InvocationID, known bool) {
	for n := range h.ring {
		if t := h.ring[(h.next+n)%len(h.ring)]; t.ID == id && id != "" {
			request, known = t.Request, true
		}
	}
	return request, known
}

func (h *history) of(id dispatch.InvocationID) (all []Transition) {
	for n := range h.ring {
		if t := h.ring[(h.next+n)%len(h.ring)]; t.Request == id {
			all = append(all, t)
		}
	}
	return all
}
