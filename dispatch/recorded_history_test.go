package dispatch

import (
	"bufio"
	"cmp"
	"flag"
	"fmt"
	"hash/fnv"
	"os"
	"slices"
	"strings"
	"testing"
	"time"
)

var (
	rewriteRecorded = flag.Bool("record", false, "write the recorded histories anew")
	printHistory    = flag.String("written", "", "a history, as \"seed workers\", whose actions are written to standard output")
)

// recordedFile has a line for each history: seed, workers, number of actions, hash.
const recordedFile = "testdata/histories.txt"

// recordedSpan is how long each history runs.
const recordedSpan = 12 * time.Second

// recordedText is an action as the recorded histories have it.
func recordedText(action Action) string {
	if line, isLog := action.(Log); isLog {
		return recordedName(action) + "{" + recordedLine(line) + "}"
	}
	return fmt.Sprintf("%s%v", recordedName(action), action)
}

// recordedReasons are the reasons of ejections as the recorded histories have them.
var recordedReasons = map[ejectReason]string{
	ejectRejectsValidRequests: "turns away what others take",
	ejectFailsAttempts:        "fails what it gets",
	ejectUnreachable:          "can't be reached",
	ejectChecksUnanswered:     "probes go unanswered",
	ejectNoProgress:           "silent",
}

// recordedLine is a log line as the recorded histories have it.
func recordedLine(line Log) string {
	switch line.Message {
	case logWorkerEjected:
		return fmt.Sprintf("worker %v is set aside: %s", line.Worker, recordedReasons[ejectReason(line.Reason)])
	case logWorkerReinstated:
		return fmt.Sprintf("worker %v is back, on trial", line.Worker)
	}
	return fmt.Sprintf("list call failed or subscription lost, asking again at %v", line.RetryAt)
}

// recordedName is the name by which the recorded histories have an action. It stays when the type is renamed.
func recordedName(action Action) string {
	switch action.(type) {
	case Forward:
		return "dispatch.Forward"
	case Throttle:
		return "dispatch.Throttled"
	case Fail:
		return "dispatch.Errored"
	case Cancel:
		return "dispatch.Cancel"
	case HealthCheck:
		return "dispatch.Probe"
	case SetTimer:
		return "dispatch.Wake"
	case WatchEndpoints:
		return "dispatch.Follow"
	case Log:
		return "dispatch.Log"
	case SendGossip:
		return "dispatch.Tell"
	}
	return fmt.Sprintf("%T", action)
}

// playHistory runs one history, and gives the number of its actions and their hash, with the snapshot at the end.
func playHistory(seed int64, workers int, trace *bufio.Writer) (actions int, sum uint64) {
	s := newSimulation(seed, workers, randomConfig(seed))
	s.arrivalRate = []float64{3, 15, 60}[seed%3] * float64(workers) / 12
	if workers > 100 {
		s.arrivalRate = min(s.arrivalRate, 150)
	}
	s.otherLoad = []float64{0.2, 0.45, 0.05}[seed/3%3]
	hash := fnv.New64a()
	s.onAction = func(now time.Duration, a Action) {
		actions++
		text := recordedText(a)
		fmt.Fprintf(hash, "%d %s\n", now, text)
		if trace != nil {
			fmt.Fprintf(trace, "%v %s\n", now, text)
		}
	}
	s.start()
	s.run(recordedSpan)
	snapshot := s.dispatcher.Snapshot()
	slices.SortFunc(snapshot.Workers, func(a, b WorkerSnapshot) int {
		return cmp.Or(a.Worker.Addr().Compare(b.Worker.Addr()), cmp.Compare(a.Worker.Port(), b.Worker.Port()))
	})
	fmt.Fprintf(hash, "%v %d", snapshot, s.dispatcher.Ejected())
	if trace != nil {
		fmt.Fprintf(trace, "%+v\n", snapshot)
		trace.Flush()
	}
	return actions, hash.Sum64()
}

// The module does what the one before did, action for action, in histories that a seed draws: arrivals, outcomes, progress,
// load reports, endpoint updates with restarts, draining and departures, gossip, reconfiguration, successors, at small and
// middling sizes. Where a change is meant to decide otherwise they are recorded anew (-record), and the commit says why.
func TestRecordedHistories(t *testing.T) {
	if *printHistory != "" {
		var seed int64
		var workers int
		fmt.Sscan(*printHistory, &seed, &workers)
		playHistory(seed, workers, bufio.NewWriter(os.Stdout))
		return
	}
	var lines []string
	sizes := []struct{ workers, seeds int }{
		{workers: 3, seeds: 12},
		{workers: 12, seeds: 40},
		{workers: 60, seeds: 10},
		{workers: 240, seeds: 6},
	}
	for _, size := range sizes {
		for seed := range int64(size.seeds) {
			seed += int64(1000 * size.workers)
			n, sum := playHistory(seed, size.workers, nil)
			lines = append(lines, fmt.Sprintf("%d %d: %d actions %016x", seed, size.workers, n, sum))
		}
	}
	if *rewriteRecorded {
		if err := os.WriteFile(recordedFile, []byte(strings.Join(lines, "\n")+"\n"), 0o666); err != nil {
			t.Fatal(err)
		}
	}
	recorded, err := os.ReadFile(recordedFile)
	if err != nil {
		t.Fatal(err)
	}
	for n, line := range strings.Split(strings.TrimSpace(string(recorded)), "\n") {
		if n >= len(lines) || lines[n] != line {
			t.Errorf("recorded: %s, now: %s", line, lines[min(n, len(lines)-1)])
		}
	}
}
