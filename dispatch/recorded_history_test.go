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
	record  = flag.Bool("record", false, "write the recorded histories anew")
	written = flag.String("written", "", "a history, as \"seed workers\", whose actions are written to standard output")
)

const recorded = "testdata/histories.txt"

// recordedText is an action as the recorded histories have it.
func recordedText(action Action) string {
	if line, isLog := action.(Log); isLog {
		return recordedName(action) + "{" + recordedLine(line) + "}"
	}
	return fmt.Sprintf("%s%v", recordedName(action), action)
}

// recordedReasons are the reasons of ejections as the recorded histories have them.
var recordedReasons = map[ejectReason]string{
	ejectRejects:     "turns away what others take",
	ejectFails:       "fails what it gets",
	ejectUnreachable: "can't be reached",
	ejectUnanswered:  "probes go unanswered",
	ejectSilent:      "silent",
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

// told plays one history and tells how many actions it had and what they hash to, with all that was learned at the end.
func told(seed int64, workers int, span time.Duration, to *bufio.Writer) (actions int, sum uint64) {
	w := newWorld(seed, workers, varied(seed))
	w.rate = []float64{3, 15, 60}[seed%3] * float64(workers) / 12
	if workers > 100 {
		w.rate = min(w.rate, 150)
	}
	w.share = []float64{0.2, 0.45, 0.05}[seed/3%3]
	h := fnv.New64a()
	w.seen = func(now time.Duration, a Action) {
		actions++
		text := recordedText(a)
		fmt.Fprintf(h, "%d %s\n", now, text)
		if to != nil {
			fmt.Fprintf(to, "%v %s\n", now, text)
		}
	}
	w.begin()
	w.play(span)
	l := w.d.Snapshot()
	slices.SortFunc(l.Workers, func(a, b WorkerSnapshot) int {
		return cmp.Or(a.Worker.Addr().Compare(b.Worker.Addr()), cmp.Compare(a.Worker.Port(), b.Worker.Port()))
	})
	fmt.Fprintf(h, "%v %d", l, w.d.Ejected())
	if to != nil {
		fmt.Fprintf(to, "%+v\n", l)
		to.Flush()
	}
	return actions, h.Sum64()
}

// The module does what the one before did, action for action, in histories that a seed draws: arrivals, outcomes, signs,
// reports, lists with restarts, drains and departures, other schedulers' notes, new settings, successors, at small and
// middling sizes. Where a change is meant to decide otherwise they are recorded anew (-record), and the commit says why.
func TestHistories(t *testing.T) {
	if *written != "" {
		var seed int64
		var workers int
		fmt.Sscan(*written, &seed, &workers)
		told(seed, workers, 12*time.Second, bufio.NewWriter(os.Stdout))
		return
	}
	var lines []string
	for _, size := range []struct{ workers, seeds int }{{3, 12}, {12, 40}, {60, 10}, {240, 6}} {
		for seed := range int64(size.seeds) {
			seed += int64(1000 * size.workers)
			n, sum := told(seed, size.workers, 12*time.Second, nil)
			lines = append(lines, fmt.Sprintf("%d %d: %d actions %016x", seed, size.workers, n, sum))
		}
	}
	if *record {
		if err := os.WriteFile(recorded, []byte(strings.Join(lines, "\n")+"\n"), 0o666); err != nil {
			t.Fatal(err)
		}
	}
	before, err := os.ReadFile(recorded)
	if err != nil {
		t.Fatal(err)
	}
	for n, line := range strings.Split(strings.TrimSpace(string(before)), "\n") {
		if n >= len(lines) || lines[n] != line {
			t.Errorf("recorded: %s, now: %s", line, lines[min(n, len(lines)-1)])
		}
	}
}
