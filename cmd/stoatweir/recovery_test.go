package main

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// All workers are unreachable for some time and come back, with and without health checks: clients
// are served again within the maximum ejection time and a margin, as it takes a little longer if all
// requests are non-idempotent. This guards against a scheduler that rejects all requests forever
// because nothing tells it that the workers are back, or because no request may be used to try them.
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
							t.Error("first served after the outage at ", servedAgainAt)
						}
					})
				})
			}
		}
	}
}

// firstTime returns the time of the first line of a party that begins with text, at notBefore or
// later. It returns 0 if there is none.
func (t *transcript) firstTime(party, text string, notBefore time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, line := range t.lines {
		if line.party == party && line.at >= notBefore && strings.HasPrefix(line.text, text) {
			return line.at
		}
	}
	return 0
}
