package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"regexp"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"stoatweir/dispatch"
	"stoatweir/internal/accounting"
	"stoatweir/internal/admin"
	"stoatweir/internal/clients"
	"stoatweir/internal/golden"
	"stoatweir/internal/gossip"
	"stoatweir/internal/invariant"
	"stoatweir/internal/lifecycle"
	"stoatweir/internal/settings"
	"stoatweir/internal/takeover"
	"stoatweir/internal/workers"
)

// The files testdata/*.golden hold texts that other processes, other builds and operators read.
// Renaming a Go field must not change them.

// compareGoldenLine compares a text without a line end to the recorded line, and returns the
// recorded line.
func compareGoldenLine(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	recorded := golden.Compare(t, name+".golden", append(bytes.Clone(got), '\n'))
	return bytes.TrimSuffix(recorded, []byte("\n"))
}

// newGoldenService returns a service that does not run yet, and a listener for it. Its endpoint
// list has one worker, which does not exist.
func newGoldenService(t *testing.T) (*service, net.Listener) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	discoveryListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { discoveryListener.Close() })
	config, err := settings.ParseProcess([]byte(`{"name":"n0","listen":"`+listener.Addr().String()+`","discovery":"`+discoveryListener.Addr().String()+`",
		"known":{"rev":1,"all":true,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:1","state":"Ready"}]},
		"settings":{"Discovery":"ask","Operations":[{"Name":"render","Effect":"read_like"}]}}`), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s, err := newService(config, logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	return s, listener
}

// memoryMetricPattern matches the only values in the counts of an idle service that differ from run
// to run.
var memoryMetricPattern = regexp.MustCompile(`"(heap_bytes|allocations|collections)":\d+`)

// fillLedger adds a different number of each kind of entry to a ledger.
func fillLedger(l *accounting.Ledger) {
	l.ForwardCount, l.Applied, l.Rejected = 1001, 1002, 1003
	class := l.Class("render")
	for range 30 {
		l.Admitted(class)
	}
	for disposition, times := range map[accounting.Disposition]int{accounting.Succeeded: 1, accounting.Declined: 2,
		accounting.Aborted: 3, accounting.Abandoned: 4, accounting.Migrated: 5} {
		for range times {
			l.Completed(class, disposition)
		}
	}
}

// fillCounts sets every counter of a service that is not running to a distinct value.
func fillCounts(t *testing.T, s *service) {
	t.Helper()
	fillLedger(s.ledger)
	s.clients.Counts, s.workers.Counts, s.workers.Invariants.Counts = golden.FilledByLeaf[clients.Counts](t),
		golden.FilledByLeaf[workers.Counts](t), golden.FilledByLeaf[invariant.Counts](t)
	s.clients.ClosedConnections, s.answersByReason = map[string]int{"idle": 1004}, map[string]int{"an attempt may have run": 1005}
	s.endpoints.WatchesStarted, s.panics = 1006, 1007
	s.gossip = &gossip.Transport{}
	for n, c := range []interface{ Store(uint64) }{&s.gossip.Counts.Sent, &s.gossip.Counts.Received, &s.gossip.Counts.NotSent,
		&s.gossip.Counts.UnknownSender,
		&s.gossip.Counts.Stale, &s.gossip.Counts.Malformed, &s.gossip.Counts.Dropped} {
		c.Store(uint64(1010 + n))
	}
	s.servingLatency.RecordValue(200)
	s.decisionLatency.RecordValue(100)
}

func TestCountsGolden(t *testing.T) {
	s, _ := newGoldenService(t)
	fillCounts(t, s)
	compareGoldenLine(t, "counts", memoryMetricPattern.ReplaceAll(s.countsReport(), []byte(`"$1":MEMORY`)))
	totals, err := json.Marshal(golden.FilledByLeaf[accounting.Totals](t))
	if err != nil {
		t.Fatal(err)
	}
	compareGoldenLine(t, "figures", totals)
}

// The Go constants that appear as keys of counts, as reasons of answers and in admin answers keep
// their texts.
func TestCountKeysGolden(t *testing.T) {
	keys := []any{invariant.WorkerUnavailable, invariant.WorkerRestarted, invariant.WorkerMoved, invariant.ClientGone, invariant.TimeoutPassed,
		invariant.WindowPassed, invariant.UnknownRequest, invariant.TooManyAttempts, invariant.TooManyInFlight, invariant.DuplicateAtWorker,
		invariant.RetriedAfterPossibleRun, invariant.RetriedOutsideScope, invariant.RetriedOutsideWindow, invariant.AnsweredTwice,
		invariant.AnsweredLate, invariant.RejectedAfterPossibleRun, invariant.ClosedUnanswered,
		invariant.StartInFuture, dispatch.ReasonTimeout, dispatch.ReasonTooLate, dispatch.ReasonAttempts, dispatch.ReasonBadRequest,
		dispatch.ReasonMayHaveRun, dispatch.ReasonWindow, lifecycle.Starting, lifecycle.Ready, lifecycle.Standby,
		lifecycle.HandingOver, lifecycle.Stopping}
	var text []byte
	for _, key := range keys {
		text = fmt.Appendln(text, key)
	}
	compareGoldenLine(t, "count_keys", bytes.TrimSuffix(text, []byte("\n")))
}

// The history of a request as operators read it: a first attempt that is stopped, an attempt that
// is sent, a cancelled migration, the end of the attempt, a repetition that is not allowed, and an
// answer.
func TestHistoryGolden(t *testing.T) {
	s, _ := newGoldenService(t)
	now := time.Duration(0)
	checker := invariant.New(func() time.Duration { now += 250 * time.Millisecond; return now })
	s.workers.Invariants = checker
	checker.RequestAdmitted(1, invariant.RequestLimits{ID: "job-1", Effect: dispatch.NonIdempotent, Deadline: time.Minute,
		MaxAttempts: 2, MaxInFlight: 1})
	worker := invariant.Target{UID: "s-1", Endpoint: dispatch.Endpoint{State: dispatch.Ready}}
	stopped := worker
	stopped.State++
	checker.CheckSend(invariant.Attempt{Request: 1, Chosen: worker, Current: stopped, Deadline: time.Minute})
	sent := invariant.Attempt{Request: 1, Number: 1, Chosen: worker, Current: worker, Deadline: time.Minute}
	if violation := checker.CheckSend(sent); violation != "" {
		t.Fatalf("got violation %q for an attempt at a ready worker, want none", violation)
	}
	checker.AttemptStarted(sent)
	checker.CancelMigration(1, checker.MigrateOut(1))
	checker.AttemptEnded(1, 1, "broken", true)
	checker.CheckSend(sent)
	checker.CheckClose(1)
	checker.CheckAnswer(1, invariant.Rejected, "an attempt may have run")
	compareGoldenLine(t, "history", s.requestHistory("job-1"))
	if text := s.requestHistory("another"); len(text) > 0 {
		t.Errorf("history of another request: %q, want none", text)
	}
}

// adminExchange sends an admin command and returns it together with its answer.
func adminExchange(t *testing.T, addr, command string) string {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	io.WriteString(conn, command+"\n")
	answer, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	return "> " + command + "\n" + string(answer)
}

func TestAdminAnswersGolden(t *testing.T) {
	s, listener := newGoldenService(t)
	adminListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer adminListener.Close()
	go admin.New(s.adminCommands(), maxConcurrentAdminCalls).Serve(adminListener)
	addr, got := adminListener.Addr().String(), ""
	sendCommands := func(commands ...string) {
		for _, command := range commands {
			got += adminExchange(t, addr, command)
		}
	}
	sendCommands("status", "stats")
	fillLedger(s.ledger)
	done := make(chan struct{})
	go func() { s.run(takeover.Address{Listener: listener}); close(done) }()
	for requestOnce(listener.Addr().String(), "GET /-/ready HTTP/1.1\r\n\r\n") != "HTTP/1.1 200 OK " {
		time.Sleep(time.Millisecond)
	}
	published := make(chan struct{})
	s.loop.PostUrgent(loopTask(func() { s.publishTotals(); close(published) }))
	<-published
	sendCommands("status", "stats", "active", "standby", "status", "standby", "active", "status", "other")
	s.loop.PostUrgent(loopTask(s.stop))
	sendCommands("standby", "active", "status")
	compareGoldenLine(t, "admin", []byte(got))
	s.loop.PostUrgent(loopTask(s.loop.Stop))
	<-done
}
