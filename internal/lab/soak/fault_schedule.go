package soak

import (
	"math/rand"
	"slices"
	"time"
)

const (
	minFaultInterval  = 600 * time.Millisecond // shortest time between the starts of two groups of faults; the longest is twice this
	maxFaultDelay     = 250 * time.Millisecond // the faults of a group start within this time
	minGroupSize      = 2                      // fewest faults in a group
	groupSizeVariants = 2                      // number of possible group sizes, from minGroupSize up
)

// faultKind is a kind of fault. inject injects the fault, waits, undoes it, and returns the names of
// its targets.
type faultKind struct {
	name   string
	inject func(h *harness, rng *rand.Rand) (targets string)
}

// faultKinds lists all kinds of faults. Their order is fixed, as a seed selects them by index.
var faultKinds = slices.Concat(schedulerFaults, workerFaults, listFaults, clientFaults, systemFaults)

// selectedFaults returns the kinds of faults that this run may inject.
func (h *harness) selectedFaults() []faultKind {
	kinds := slices.Clone(faultKinds)
	// With pushed updates, another rule says when a change counts as notified after the list has
	// changed its address. The soak doesn't check that rule.
	if h.endpointsPushed() {
		kinds = slices.DeleteFunc(kinds, func(k faultKind) bool { return k.name == faultMove || k.name == faultSlowMove })
	}
	if len(h.Only) > 0 {
		kinds = slices.DeleteFunc(kinds, func(k faultKind) bool { return !slices.Contains(h.Only, k.name) })
	}
	return kinds
}

// injectFaults starts groups of overlapping faults until Config.FaultDuration has passed.
func (h *harness) injectFaults() {
	kinds := h.selectedFaults()
	for end := time.Now().Add(h.FaultDuration); time.Now().Before(end); {
		order := h.rng.Perm(len(kinds))
		size := min(len(order), minGroupSize+h.rng.Intn(groupSizeVariants))
		for _, n := range order[:size] {
			kind := kinds[n]
			rng := childRand(h.rng)
			delay := time.Duration(h.rng.Int63n(int64(maxFaultDelay)))
			h.faultsRunning.Go(func() {
				time.Sleep(delay)
				h.injectFault(kind, rng)
			})
		}
		time.Sleep(minFaultInterval + time.Duration(h.rng.Int63n(int64(minFaultInterval))))
	}
}

// injectFault injects a fault, waits until it is undone, and records it.
func (h *harness) injectFault(kind faultKind, rng *rand.Rand) {
	startedAt := h.sinceLoadStarted()
	targets := kind.inject(h, rng)
	h.mu.Lock()
	h.injectedFaults = append(h.injectedFaults, InjectedFault{At: roundToMillis(startedAt), Name: kind.name, Targets: targets})
	h.mu.Unlock()
}

// childRand returns a new random source, whose seed is drawn from rng.
func childRand(rng *rand.Rand) *rand.Rand { return rand.New(rand.NewSource(rng.Int63())) }

// faultTarget is a scheduler or worker that faults are injected into. While it is claimed for one
// fault, other faults leave it out.
type faultTarget interface {
	claim() bool
	unclaim()
	label() string
}

func (s *scheduler) claim() bool   { return s.claimed.CompareAndSwap(false, true) }
func (s *scheduler) unclaim()      { s.claimed.Store(false) }
func (s *scheduler) label() string { return s.name() }

func (w *worker) claim() bool   { return w.claimed.CompareAndSwap(false, true) }
func (w *worker) unclaim()      { w.claimed.Store(false) }
func (w *worker) label() string { return w.uid }

// injectInto picks a random fraction of the targets, at least one, injects a fault into all of them
// at once except those that are claimed already, and returns the labels of the affected ones.
func injectInto[T faultTarget](targets []T, fraction float64, rng *rand.Rand, inject func(T, *rand.Rand)) (labels string) {
	var injections []func()
	count := max(1, int(fraction*float64(len(targets))))
	for _, n := range rng.Perm(len(targets))[:count] {
		target := targets[n]
		child := childRand(rng)
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
