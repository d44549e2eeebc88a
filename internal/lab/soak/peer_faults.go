package soak

import (
	"fmt"
	"math/rand"
	"time"
)

// Target names of faults that are not injected into single schedulers or workers.
const (
	targetAll     = "all"
	targetClients = "clients"
)

var listFaults = []faultKind{
	{name: "list down", inject: failEndpointList},
	{name: "list silent", inject: silenceEndpointList},
	{name: "list slow", inject: slowEndpointList},
	{name: "watches reset", inject: resetWatches},
}

// failEndpointList has the list answer requests with an error for a while.
func failEndpointList(h *harness, rng *rand.Rand) string {
	l := h.endpoints
	l.causeOutage(func() { l.setDown(true) }, func() { l.setDown(false) }, 500*time.Millisecond+millisUpTo(rng, 2500))
	return targetAll
}

// silenceEndpointList freezes the connections to the list for a while.
func silenceEndpointList(h *harness, rng *rand.Rand) string {
	l := h.endpoints
	l.causeOutage(func() { l.setProxyMode(proxyFreeze) }, func() { l.setProxyMode(proxyForward) }, 500*time.Millisecond+millisUpTo(rng, 4000))
	return targetAll
}

// slowEndpointList delays the list's answers for a while.
func slowEndpointList(h *harness, rng *rand.Rand) string {
	l := h.endpoints
	l.causeOutage(func() { l.setDelay(200*time.Millisecond + millisUpTo(rng, 1500)) }, func() { l.setDelay(0) }, 2*time.Second)
	return targetAll
}

func resetWatches(h *harness, _ *rand.Rand) string {
	for _, s := range h.endpoints.servers {
		s.proxy.resetConns()
	}
	return targetAll
}

var clientFaults = []faultKind{
	{name: "leave", inject: disconnectClients},
	{name: "burst", inject: raiseRequestRate},
	schedulerFault("bad clients", 0.5, startMalformedClients),
}

// disconnectClients has more clients than usual disconnect for a second.
func disconnectClients(h *harness, _ *rand.Rand) string {
	const highDisconnectRate = 0.6
	h.updateLoad(func() { h.disconnectRate = highDisconnectRate })
	time.Sleep(time.Second)
	h.updateLoad(func() { h.disconnectRate = defaultDisconnectRate })
	return targetClients
}

// raiseRequestRate has clients wait less between requests for a second.
func raiseRequestRate(h *harness, _ *rand.Rand) string {
	const burstThinkFactor = 0.4
	h.updateLoad(func() { h.thinkFactor = burstThinkFactor })
	time.Sleep(time.Second)
	h.updateLoad(func() { h.thinkFactor = defaultThinkFactor })
	return targetClients
}

func startMalformedClients(h *harness, s *scheduler, rng *rand.Rand) {
	for range 8 {
		child := childRand(rng)
		h.faultsRunning.Go(func() { h.sendMalformed(s, child) })
	}
}

var systemFaults = []faultKind{
	{name: "clock", inject: stepWallClock},
	schedulerFault("calls fail", 0.4, failSystemCalls),
}

// stepWallClock steps the emulated wall clock by up to an hour, forward or backward.
func stepWallClock(h *harness, rng *rand.Rand) string {
	offset := time.Duration(1+rng.Intn(3600)) * time.Second
	if rng.Intn(2) == 0 {
		offset = -offset
	}
	h.stepClock(offset)
	return fmt.Sprint(targetAll, ", by ", offset)
}

// failSystemCalls makes connects and accepts of a scheduler fail with randomly chosen errors, or with
// none, and interrupts some of its peeks and polls, for a while.
func failSystemCalls(h *harness, s *scheduler, rng *rand.Rand) {
	h.setSystemFaults(s, Faults{
		Connect:     connectErrors[rng.Intn(len(connectErrors))],
		Accept:      acceptErrors[rng.Intn(len(acceptErrors))],
		Interrupted: 0.3,
	})
	time.Sleep(300*time.Millisecond + millisUpTo(rng, 900))
	h.setSystemFaults(s, Faults{})
}
