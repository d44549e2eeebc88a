package main

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// All workers are unreachable for some time and come back, with health checks and where the settings allow none: clients are served
// again within the longest ejection time, and a little more where all requests are non-idempotent. A scheduler that was not notified of
// their return, or had no other requests to attempt them with, rejected all requests for good.
func TestServesAgainAfterAllWorkersWereLost(t *testing.T) {
	const maxEjection, margin, requestInterval = 8 * time.Second, 3 * time.Second, 100 * time.Millisecond
	for _, effect := range effectClasses {
		for _, healthChecks := range []bool{false, true} {
			for _, outage := range []time.Duration{time.Second, 4 * time.Second, 10 * time.Second, 30 * time.Second} {
				t.Run(fmt.Sprintf("%s, probes %v, lost for %v", effect, healthChecks, outage), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						script := &exchangeScript{timeout: time.Second, healthChecks: healthChecks, workers: []string{"s-1/a", "s-2/a", "s-3/b", "s-4/b"},
							dials: map[int][]string{}, requests: map[int][]string{1: {"read all", "answer 202", "wait 10ms", "news done"}}}
						record := &transcript{start: time.Now().Add(settleTime)}
						_, peers, stop := script.start(t, effect, record)
						time.Sleep(settleTime)
						runEvents := func(event string) {
							for n := range script.workers {
								peers.runEvent(fmt.Sprintf("%s s-%d", event, n+1))
							}
						}
						runEvents("cut")
						time.AfterFunc(outage, func() { runEvents("heal") })
						for time.Since(record.start) < outage+maxEjection+margin {
							go peers.runClient(script.timeout)
							time.Sleep(requestInterval)
						}
						time.Sleep(2 * script.timeout)
						stop()
						servedAgainAt := record.firstTime("client", "gets 200", outage)
						if servedAgainAt == 0 || servedAgainAt > outage+maxEjection+margin {
							t.Error("served again at ", servedAgainAt)
						}
					})
				})
			}
		}
	}
}

// first is when a party first said something from some time on; 0: never.
func (r *transcript) firstTime(party, text string, notBefore time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, line := range r.lines {
		if line.party == party && line.at >= notBefore && strings.HasPrefix(line.text, text) {
			return line.at
		}
	}
	return 0
}
