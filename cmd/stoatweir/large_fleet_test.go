package main

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// A scheduler with 1,024 workers and 1,024 schedulers in its configuration lists all workers,
// serves, and uses goroutines and memory only for the peers that it communicates with.
func TestThousandWorkersAndSchedulers(t *testing.T) {
	const count, maxGoroutines, maxHeapBytes = 1024, 40, 16 << 20
	script := &exchangeScript{timeout: 3 * time.Second, schedulers: count, dials: map[int][]string{},
		requests: map[int][]string{1: {"read all", "answer 202", "wait 100ms", "news done"}}}
	for n := range count {
		script.workers = append(script.workers, fmt.Sprintf("s-%d/%c", n, "ab"[n%2]))
	}
	for _, effect := range effectClasses {
		synctest.Test(t, func(t *testing.T) {
			goroutinesBefore, heapBefore := runtime.NumGoroutine(), heapBytes()
			record := &transcript{start: time.Now().Add(settleTime)}
			s, peers, stop := script.start(t, effect, record)
			time.Sleep(settleTime)
			peers.start()
			time.Sleep(script.timeout + 2*time.Second)
			synctest.Wait()
			goroutines, heap := runtime.NumGoroutine()-goroutinesBefore, int64(heapBytes())-int64(heapBefore)
			stop()
			if listed := s.workers.EndpointCount(); listed != count {
				t.Error("workers in the endpoint list: ", listed)
			}
			if text := record.String(); !strings.Contains(text, "client     gets 200 made by request 1") {
				t.Errorf("%v: want status 200 for request 1, got:\n%s", effect, text)
			}
			if goroutines > maxGoroutines || heap > maxHeapBytes {
				t.Errorf("%d more goroutines and %d more heap bytes than before", goroutines, heap)
			}
		})
	}
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
