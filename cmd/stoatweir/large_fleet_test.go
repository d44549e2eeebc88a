package main

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// A scheduler that is configured with 1,024 workers and 1,024 schedulers has them all, holds goroutines and memory for what it uses of them,
// and serves.
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
				t.Error("listed: ", listed)
			}
			if text := record.String(); !strings.Contains(text, "client     gets 200 made by request 1") {
				t.Error(effect, "\n", text)
			}
			if goroutines > maxGoroutines || heap > maxHeapBytes {
				t.Errorf("%d goroutines and %d bytes more", goroutines, heap)
			}
		})
	}
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
