package soak

import (
	"math/rand"
	"time"
)

const (
	faultMove     = "move"      // the address of the endpoint list changes
	faultSlowMove = "slow move" // it changes to an address that answers slowly, and the old one closes

	oldAddressClosesAfter = 1500 * time.Millisecond // time from the change of the address
	slowMoveLength        = maxPollDelay + 2*time.Second
	minSlowAnswer         = 1600 * time.Millisecond
	maxSlowAnswerExtra    = 1000 // milliseconds
)

// schedulerFault returns a kind of fault that is injected into a fraction of the schedulers.
func schedulerFault(name string, fraction float64, inject func(*harness, *scheduler, *rand.Rand)) faultKind {
	return faultKind{name: name, inject: func(h *harness, rng *rand.Rand) string {
		return injectInto(h.schedulers, fraction, rng, func(s *scheduler, rng *rand.Rand) { inject(h, s, rng) })
	}}
}

var schedulerFaults = []faultKind{
	schedulerFault("stop", 0.25, stopAndStart),
	schedulerFault("kill", 0.3, killAndStart),
	schedulerFault("reload", 0.6, reloadSettings),
	schedulerFault(faultMove, 0.5, moveEndpointList),
	schedulerFault(faultSlowMove, 0.3, moveToSlowEndpointList),
	schedulerFault("replace", 0.2, func(h *harness, s *scheduler, _ *rand.Rand) { s.replace(h) }),
	schedulerFault("stop both", 0.2, replaceAndStopBoth),
	schedulerFault("pause", 0.5, pauseShortly),
	schedulerFault("freeze", 0.15, func(_ *harness, s *scheduler, rng *rand.Rand) {
		s.freeze(time.Second + millisUpTo(rng, 1500))
	}),
}

func stopAndStart(h *harness, s *scheduler, _ *rand.Rand) {
	s.stop(h)
	time.Sleep(50 * time.Millisecond)
	s.startAndAwaitReady(h)
}

func killAndStart(h *harness, s *scheduler, _ *rand.Rand) {
	s.kill()
	s.startAndAwaitReady(h)
}

// reloadSettings has a scheduler read changed settings, up to three times in quick succession.
func reloadSettings(h *harness, s *scheduler, rng *rand.Rand) {
	for range 1 + rng.Intn(3) {
		s.settingsVariant++
		s.reload(h, h.endpoints.servers[s.number].proxy.addr())
		time.Sleep(millisUpTo(rng, 60))
	}
}

// moveEndpointList configures a scheduler to reach the endpoint list without the proxy for a while.
func moveEndpointList(h *harness, s *scheduler, rng *rand.Rand) {
	server := h.endpoints.servers[s.number]
	s.reload(h, server.listener.Addr().String())
	time.Sleep(millisUpTo(rng, 1200))
	s.reload(h, server.proxy.addr())
}

// moveToSlowEndpointList configures a scheduler to reach the endpoint list at an address that answers
// each call late, and closes the old address, until the next change must have arrived.
func moveToSlowEndpointList(h *harness, s *scheduler, rng *rand.Rand) {
	server := h.endpoints.servers[s.number]
	server.setAnswerDelay(minSlowAnswer + millisUpTo(rng, maxSlowAnswerExtra))
	s.reload(h, server.listener.Addr().String())
	time.Sleep(oldAddressClosesAfter)
	server.proxy.setMode(proxyRefuse)
	server.proxy.resetConns()
	time.Sleep(slowMoveLength - oldAddressClosesAfter)
	server.proxy.setMode(proxyForward)
	server.setAnswerDelay(0)
	s.reload(h, server.proxy.addr())
}

// replaceAndStopBoth starts a second process, and stops both while it takes over.
func replaceAndStopBoth(h *harness, s *scheduler, rng *rand.Rand) {
	predecessor := s.current()
	if err := s.start(h); err != nil {
		h.observed.addViolation("play", s.name(), err.Error())
		return
	}
	successor := s.current()
	successor.awaitLog("taking over from predecessor")
	time.Sleep(millisUpTo(rng, 500))
	s.stopBoth(h, predecessor, successor)
	time.Sleep(50 * time.Millisecond)
	s.startAndAwaitReady(h)
}

// pauseShortly freezes a scheduler several times, each time for less than the pause that a scheduler
// has to tolerate.
func pauseShortly(_ *harness, s *scheduler, rng *rand.Rand) {
	for range 4 {
		s.freeze(time.Duration(rng.Intn(int(maxToleratedPause))))
		time.Sleep(millisUpTo(rng, 150))
	}
}
