package soak

import (
	"math/rand"
	"slices"
	"time"
)

const (
	faultInterval = 600 * time.Millisecond // at least, from one group of overlapping faults to the next; twice that at most
	faultSpread   = 250 * time.Millisecond // in which the faults of one group begin
	leastOverlap  = 2                      // faults of a group
	overlapSpread = 2                      // how many sizes of a group there are
)

// faultKind is one kind of fault. inject injects the fault, waits and undoes it, and returns its
// targets.
type faultKind struct {
	name   string
	inject func(h *harness, rng *rand.Rand) (targets string)
}

// faultKinds are all kinds, in one order, as a seed draws them by their place.
var faultKinds = slices.Concat(schedulerFaults, workerFaults, listFaults, clientFaults, systemFaults)

// selectedFaults are the kinds that this run may inject.
func (h *harness) selectedFaults() []faultKind {
	kinds := slices.Clone(faultKinds)
	if h.endpointsPushed() { // when a change counts as notified behind a change of address is another rule, which is not checked
		kinds = slices.DeleteFunc(kinds, func(k faultKind) bool { return k.name == faultMove })
	}
	if len(h.Only) > 0 {
		kinds = slices.DeleteFunc(kinds, func(k faultKind) bool { return !slices.Contains(h.Only, k.name) })
	}
	return kinds
}

// injectFaults begins groups of overlapping faults until the span is over.
func (h *harness) injectFaults() {
	kinds := h.selectedFaults()
	for end := time.Now().Add(h.Span); time.Now().Before(end); {
		order := h.rng.Perm(len(kinds))
		size := min(len(order), leastOverlap+h.rng.Intn(overlapSpread))
		for _, n := range order[:size] {
			kind := kinds[n]
			rng := childSource(h.rng)
			delay := time.Duration(h.rng.Int63n(int64(faultSpread)))
			h.faultsRunning.Go(func() {
				time.Sleep(delay)
				h.injectFault(kind, rng)
			})
		}
		time.Sleep(faultInterval + time.Duration(h.rng.Int63n(int64(faultInterval))))
	}
}

func (h *harness) injectFault(kind faultKind, rng *rand.Rand) {
	at := h.sinceLoadBegan()
	targets := kind.inject(h, rng)
	h.mu.Lock()
	h.injected = append(h.injected, InjectedFault{At: toMillis(at), Name: kind.name, On: targets})
	h.mu.Unlock()
}

// childSource is a random source of its own, which a source draws the seed of.
func childSource(rng *rand.Rand) *rand.Rand { return rand.New(rand.NewSource(rng.Int63())) }

// faultTarget is what a fault is injected into; one that is claimed for a fault is spared by others.
type faultTarget interface {
	claim() bool
	unclaim()
	label() string
}

func (s *scheduler) claim() bool   { return s.faulted.CompareAndSwap(false, true) }
func (s *scheduler) unclaim()      { s.faulted.Store(false) }
func (s *scheduler) label() string { return s.name() }

func (w *worker) claim() bool   { return w.faulted.CompareAndSwap(false, true) }
func (w *worker) unclaim()      { w.faulted.Store(false) }
func (w *worker) label() string { return w.uid }

// injectInto injects a fault into a part of the targets at once, at least one, and returns the
// labels of those that were not claimed.
func injectInto[T faultTarget](targets []T, part float64, rng *rand.Rand, inject func(T, *rand.Rand)) (labels string) {
	var injections []func()
	size := max(1, int(part*float64(len(targets))))
	for _, n := range rng.Perm(len(targets))[:size] {
		target := targets[n]
		child := childSource(rng)
		if !target.claim() {
			continue
		}
		labels += " " + target.label()
		injections = append(injections, func() {
			defer target.unclaim()
			inject(target, child)
		})
	}
	concurrently(injections)
	return labels
}
