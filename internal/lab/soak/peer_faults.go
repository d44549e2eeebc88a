package soak

import (
	"fmt"
	"math/rand"
	"time"
)

// Targets of faults that are not injected into a part of the schedulers or workers.
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

func failEndpointList(h *harness, rng *rand.Rand) string {
	l := h.endpoints
	l.causeOutage(func() { l.setDown(true) }, func() { l.setDown(false) }, 500*time.Millisecond+millisUpTo(rng, 2500))
	return targetAll
}

func silenceEndpointList(h *harness, rng *rand.Rand) string {
	l := h.endpoints
	l.causeOutage(func() { l.setProxies(proxyFreeze) }, func() { l.setProxies(proxyForward) }, 500*time.Millisecond+millisUpTo(rng, 4000))
	return targetAll
}

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
	{name: "burst", inject: burstOfRequests},
	schedulerFault("bad clients", 0.5, malformedClients),
}

func disconnectClients(h *harness, _ *rand.Rand) string {
	const highDisconnectRate = 0.6
	h.updateLoad(func() { h.disconnectRate = highDisconnectRate })
	time.Sleep(time.Second)
	h.updateLoad(func() { h.disconnectRate = usualDisconnectRate })
	return targetClients
}

func burstOfRequests(h *harness, _ *rand.Rand) string {
	const burstThinkFactor = 0.4
	h.updateLoad(func() { h.thinkFactor = burstThinkFactor })
	time.Sleep(time.Second)
	h.updateLoad(func() { h.thinkFactor = usualThinkFactor })
	return targetClients
}

func malformedClients(h *harness, s *scheduler, rng *rand.Rand) {
	for range 8 {
		child := childSource(rng)
		h.faultsRunning.Go(func() { h.sendMalformed(s, child) })
	}
}

var systemFaults = []faultKind{
	{name: "clock", inject: stepWallClock},
	schedulerFault("calls fail", 0.4, failSystemCalls),
}

// stepWallClock steps the machine's wall clock by up to an hour, forth or back.
func stepWallClock(h *harness, rng *rand.Rand) string {
	by := time.Duration(1+rng.Intn(3600)) * time.Second
	if rng.Intn(2) == 0 {
		by = -by
	}
	h.stepClock(by)
	return fmt.Sprint(targetAll, ", by ", by)
}

func failSystemCalls(h *harness, s *scheduler, rng *rand.Rand) {
	h.setShims(s, Faults{
		Connect:     connectErrors[rng.Intn(len(connectErrors))],
		Accept:      acceptErrors[rng.Intn(len(acceptErrors))],
		Interrupted: 0.3,
	})
	time.Sleep(300*time.Millisecond + millisUpTo(rng, 900))
	h.setShims(s, Faults{})
}
