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
	const longestAside, margin, every = 8 * time.Second, 3 * time.Second, 100 * time.Millisecond
	for _, effect := range effectClasses {
		for _, probes := range []bool{false, true} {
			for _, down := range []time.Duration{time.Second, 4 * time.Second, 10 * time.Second, 30 * time.Second} {
				t.Run(fmt.Sprintf("%s, probes %v, lost for %v", effect, probes, down), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						script := &exchangeScript{timeout: time.Second, probes: probes, workers: []string{"s-1/a", "s-2/a", "s-3/b", "s-4/b"},
							dials: map[int][]string{}, requests: map[int][]string{1: {"read all", "answer 202", "wait 10ms", "news done"}}}
						r := &transcript{began: time.Now().Add(settled)}
						_, world, stop := script.start(t, effect, r)
						time.Sleep(settled)
						each := func(event string) {
							for n := range script.workers {
								world.event(fmt.Sprintf("%s s-%d", event, n+1))
							}
						}
						each("cut")
						time.AfterFunc(down, func() { each("heal") })
						for time.Since(r.began) < down+longestAside+margin {
							go world.client(script.timeout)
							time.Sleep(every)
						}
						time.Sleep(2 * script.timeout)
						stop()
						again := r.first("client", "gets 200", down)
						if again == 0 || again > down+longestAside+margin {
							t.Error("served again at ", again)
						}
					})
				})
			}
		}
	}
}

// first is when a party first said something from some time on; 0: never.
func (r *transcript) first(party, text string, from time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, line := range r.lines {
		if line.party == party && line.at >= from && strings.HasPrefix(line.text, text) {
			return line.at
		}
	}
	return 0
}
