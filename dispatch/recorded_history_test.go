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
	rewriteRecorded = flag.Bool("record", false, "record the histories again")
	printHistory    = flag.String("written", "", "history, as \"seed workers\", whose actions are printed to standard output")
)

// recordedFile holds a line for each history: seed, workers, number of actions, hash.
const recordedFile = "testdata/histories.txt"

// recordedSpan is the duration of each history in virtual time.
const recordedSpan = 12 * time.Second

// recordedText returns the text of an action in the recorded histories.
func recordedText(action Action) string {
	if line, isLog := action.(Log); isLog {
		return recordedTypeName(action) + "{" + recordedLogLine(line) + "}"
	}
	return fmt.Sprintf("%s%v", recordedTypeName(action), action)
}

// recordedReasons holds the texts of ejection reasons in the recorded histories.
var recordedReasons = map[ejectReason]string{
	ejectRejectsValidRequests: "turns away what others take",
	ejectFailsAttempts:        "fails what it gets",
	ejectUnreachable:          "can't be reached",
	ejectChecksUnanswered:     "probes go unanswered",
	ejectNoProgress:           "silent",
}

// recordedLogLine returns the text of a log line in the recorded histories.
func recordedLogLine(line Log) string {
	switch line.Message {
	case logWorkerEjected:
		return fmt.Sprintf("worker %v is set aside: %s", line.Worker, recordedReasons[ejectReason(line.Reason)])
	case logWorkerReinstated:
		return fmt.Sprintf("worker %v is back, on trial", line.Worker)
	}
	return fmt.Sprintf("list call failed or subscription lost, asking again at %v", line.RetryAt)
}

// recordedTypeName returns the name of an action's type in the recorded histories, which does not change
// when the type is renamed.
func recordedTypeName(action Action) string {
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

// runHistory runs one history. It returns the number of actions, and a hash of the actions and of the
// snapshot at the end.
func runHistory(seed int64, workers int, trace *bufio.Writer) (actions int, sum uint64) {
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

// Changes that are not meant to alter decisions must produce the recorded actions, action for action,
// in histories drawn from a seed: arrivals, outcomes, progress, load reports, endpoint updates with
// restarts, draining and departures, gossip, reconfiguration and successors, with few to 240 workers.
// For a change that is meant to alter decisions, record the histories again (-record) and explain why
// in the commit.
func TestRecordedHistories(t *testing.T) {
	if *printHistory != "" {
		var seed int64
		var workers int
		fmt.Sscan(*printHistory, &seed, &workers)
		runHistory(seed, workers, bufio.NewWriter(os.Stdout))
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
			n, sum := runHistory(seed, size.workers, nil)
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
			t.Errorf("recorded: %s, got: %s", line, lines[min(n, len(lines)-1)])
		}
	}
}
