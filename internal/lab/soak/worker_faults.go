package soak

import (
	"math/rand"
	"time"
)

// workerFault is a kind of fault that is injected into a part of the workers.
func workerFault(name string, part float64, inject func(*worker, *rand.Rand)) faultKind {
	return faultKind{name: name, inject: func(h *harness, rng *rand.Rand) string {
		return injectInto(h.workers, part, rng, inject)
	}}
}

var workerFaults = []faultKind{
	workerFault("drain", 0.25, drainAndRestart),
	workerFault("restart", 0.3, func(w *worker, _ *rand.Rand) { w.restart() }),
	workerFault("hang", 0.25, hang),
	workerFault("vanish", 0.2, vanish),
	workerFault("reset", 0.6, resetConnections),
	workerFault("refuse", 0.3, refuseConnections),
	workerFault("late", 0.5, delayConnections),
	workerFault("odd", 0.6, answerOftenOddly),
}

func drainAndRestart(w *worker, rng *rand.Rand) {
	w.publish(stateDraining, w.lastBootMS())
	time.Sleep(800*time.Millisecond + millisUpTo(rng, 1500))
	w.publish(stateGone, w.lastBootMS())
	time.Sleep(300 * time.Millisecond)
	w.restart()
}

// hang has a worker read requests and answer none.
func hang(w *worker, rng *rand.Rand) {
	w.update(func() { w.hangs = true })
	time.Sleep(500*time.Millisecond + millisUpTo(rng, 1500))
	w.update(func() { w.hangs = false })
}

// vanish freezes the network to a worker.
func vanish(w *worker, rng *rand.Rand) {
	w.proxy.setMode(proxyFreeze)
	time.Sleep(300*time.Millisecond + millisUpTo(rng, 1500))
	w.proxy.setMode(proxyForward)
}

func resetConnections(w *worker, rng *rand.Rand) {
	for range 3 {
		w.proxy.resetConns()
		time.Sleep(millisUpTo(rng, 200))
	}
}

func refuseConnections(w *worker, rng *rand.Rand) {
	w.proxy.setMode(proxyRefuse)
	w.proxy.resetConns()
	time.Sleep(200*time.Millisecond + millisUpTo(rng, 600))
	w.proxy.setMode(proxyForward)
}

func delayConnections(w *worker, _ *rand.Rand) {
	w.proxy.setMode(proxyDelay)
	w.proxy.resetConns()
	time.Sleep(time.Second)
	w.proxy.setMode(proxyForward)
}

func answerOftenOddly(w *worker, _ *rand.Rand) {
	const oftenOddRate = 0.5
	w.update(func() { w.oddRate = oftenOddRate })
	time.Sleep(time.Second)
	w.update(func() { w.oddRate = usualOddRate })
}
