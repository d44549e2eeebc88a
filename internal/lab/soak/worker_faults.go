package soak

import (
	"math/rand"
	"time"
)

// workerFault returns a kind of fault that is injected into a fraction of the workers.
func workerFault(name string, fraction float64, inject func(*worker, *rand.Rand)) faultKind {
	return faultKind{name: name, inject: func(h *harness, rng *rand.Rand) string {
		return injectInto(h.workers, fraction, rng, inject)
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
	workerFault("odd", 0.6, raiseUnusualRate),
	workerFault("responses lost", 0.6, loseCallbackResponses),
}

// drainAndRestart takes a worker through draining and removal from the list to its next incarnation.
func drainAndRestart(w *worker, rng *rand.Rand) {
	w.publish(stateDraining, w.lastBootMS())
	time.Sleep(800*time.Millisecond + millisUpTo(rng, 1500))
	w.publish(stateGone, w.lastBootMS())
	time.Sleep(300 * time.Millisecond)
	w.restart()
}

// hang has a worker read requests and answer none for a while.
func hang(w *worker, rng *rand.Rand) {
	w.update(func() { w.hangs = true })
	time.Sleep(500*time.Millisecond + millisUpTo(rng, 1500))
	w.update(func() { w.hangs = false })
}

// vanish freezes all connections to a worker for a while.
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

// refuseConnections resets a worker's connections, and new ones for a while.
func refuseConnections(w *worker, rng *rand.Rand) {
	w.proxy.setMode(proxyRefuse)
	w.proxy.resetConns()
	time.Sleep(200*time.Millisecond + millisUpTo(rng, 600))
	w.proxy.setMode(proxyForward)
}

// delayConnections resets a worker's connections, and delays the first bytes of new ones for a while.
func delayConnections(w *worker, _ *rand.Rand) {
	w.proxy.setMode(proxyDelay)
	w.proxy.resetConns()
	time.Sleep(time.Second)
	w.proxy.setMode(proxyForward)
}

func raiseUnusualRate(w *worker, _ *rand.Rand) {
	const highUnusualRate = 0.5
	w.update(func() { w.unusualRate = highUnusualRate })
	time.Sleep(time.Second)
	w.update(func() { w.unusualRate = defaultUnusualRate })
}

// loseCallbackResponses has workers return many requests, and lose many responses to their callbacks,
// for a while.
func loseCallbackResponses(w *worker, rng *rand.Rand) {
	const highReturnRate = 0.4
	const highLossRate = 0.5
	w.update(func() {
		w.returnsOnly = true
		w.unusualRate = highReturnRate
		w.lossRate = highLossRate
	})
	time.Sleep(time.Second + millisUpTo(rng, 1000))
	w.update(func() {
		w.returnsOnly = false
		w.unusualRate = defaultUnusualRate
		w.lossRate = 0
	})
}
