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

// The files testdata/*.golden hold the texts that other processes, other builds and operators read. Go's names of fields must not
// move them.

// compareLine holds a text without an end of line to the recorded line, and returns the latter.
func compareLine(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	recorded := golden.Compare(t, name+".golden", append(bytes.Clone(got), '\n'))
	return bytes.TrimSuffix(recorded, []byte("\n"))
}

// wireService is a service with one worker in its list that nobody needs to reach.
func wireService(t *testing.T) (*service, net.Listener) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { silent.Close() })
	config, err := settings.ParseProcess([]byte(`{"name":"n0","listen":"`+l.Addr().String()+`","discovery":"`+silent.Addr().String()+`",
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
	return s, l
}

// memoryFigures are the only values of the counts of a service at rest that differ from run to run.
var memoryFigures = regexp.MustCompile(`"(heap_bytes|allocations|collections)":\d+`)

// fillBook makes a different number of each kind of entry.
func fillBook(l *accounting.Ledger) {
	l.Forwards, l.Applied, l.Rejected = 1001, 1002, 1003
	class := l.Class("render")
	for range 30 {
		l.Admitted(class)
	}
	for how, times := range map[accounting.Disposition]int{accounting.Succeeded: 1, accounting.Declined: 2, accounting.Aborted: 3, accounting.Abandoned: 4, accounting.Migrated: 5} {
		for range times {
			l.Completed(class, how)
		}
	}
}

// fillCounts gives every counter of a service that does not run a value.
func fillCounts(t *testing.T, s *service) {
	t.Helper()
	fillBook(s.ledger)
	s.clients.Counts, s.workers.Counts, s.workers.Invariants.Counts = golden.FilledByLeaf[clients.Counts](t), golden.FilledByLeaf[workers.Counts](t), golden.FilledByLeaf[invariant.Counts](t)
	s.clients.ClosedConnections, s.answersByReason = map[string]int{"idle": 1004}, map[string]int{"an attempt may have run": 1005}
	s.endpoints.WatchesStarted, s.panics = 1006, 1007
	s.gossip = &gossip.Transport{}
	for n, c := range []interface{ Store(uint64) }{&s.gossip.Counts.Sent, &s.gossip.Counts.Received, &s.gossip.Counts.NotSent, &s.gossip.Counts.UnknownSender,
		&s.gossip.Counts.Stale, &s.gossip.Counts.Malformed, &s.gossip.Counts.Dropped} {
		c.Store(uint64(1010 + n))
	}
	s.servingLatency.RecordValue(200)
	s.decisionLatency.RecordValue(100)
}

func TestCountsGolden(t *testing.T) {
	s, _ := wireService(t)
	fillCounts(t, s)
	compareLine(t, "counts", memoryFigures.ReplaceAll(s.countsReport(), []byte(`"$1":MEMORY`)))
	figures, err := json.Marshal(golden.FilledByLeaf[accounting.Totals](t))
	if err != nil {
		t.Fatal(err)
	}
	compareLine(t, "figures", figures)
}

// The words that counts, answers' reasons and admin answers go by where they are constants of Go.
func TestCountKeysGolden(t *testing.T) {
	keys := []any{invariant.WorkerUnavailable, invariant.WorkerRestarted, invariant.WorkerMoved, invariant.ClientGone, invariant.TimeoutPassed,
		invariant.WindowPassed, invariant.UnknownRequest, invariant.TooManyAttempts, invariant.SecondOut, invariant.SecondAtWorker, invariant.RepeatedUnproven,
		invariant.RepeatedOutOfGroup, invariant.RepeatedTooLate, invariant.AnsweredTwice, invariant.AnsweredLate, invariant.RefusedUnproven, invariant.ClosedUnanswered,
		invariant.StartInFuture, dispatch.ReasonTimeout, dispatch.ReasonTooLate, dispatch.ReasonAttempts, dispatch.ReasonUnfit,
		dispatch.ReasonUnproven, dispatch.ReasonWindow, lifecycle.Starting, lifecycle.Ready, lifecycle.Standby, lifecycle.HandingOver, lifecycle.Stopping}
	var text []byte
	for _, key := range keys {
		text = fmt.Appendln(text, key)
	}
	compareLine(t, "count_keys", bytes.TrimSuffix(text, []byte("\n")))
}

// A request that is stopped once, sent, ended, repeated in vain, answered, and handed over or taken back, as operators read it.
func TestHistoryGolden(t *testing.T) {
	s, _ := wireService(t)
	now := time.Duration(0)
	g := invariant.New(func() time.Duration { now += 250 * time.Millisecond; return now })
	s.workers.Invariants = g
	g.RequestAdmitted(1, invariant.RequestLimits{ID: "job-1", Effect: dispatch.NonIdempotent, Deadline: time.Minute, MaxAttempts: 2, MaxInFlight: 1})
	worker := invariant.Target{UID: "s-1", Endpoint: dispatch.Endpoint{State: dispatch.Ready}}
	gone := worker
	gone.State++
	g.CheckSend(invariant.Attempt{Request: 1, Chosen: worker, Current: gone, Deadline: time.Minute})
	sent := invariant.Attempt{Request: 1, Number: 1, Chosen: worker, Current: worker, Deadline: time.Minute}
	if why := g.CheckSend(sent); why != "" {
		t.Fatal(why)
	}
	g.AttemptStarted(sent)
	g.CancelMigration(1, g.MigrateOut(1))
	g.AttemptEnded(1, 1, "broken", true)
	g.CheckSend(sent)
	g.CheckClose(1)
	g.CheckAnswer(1, invariant.Refused, "an attempt may have run")
	compareLine(t, "history", s.requestHistory("job-1"))
	if text := s.requestHistory("another"); len(text) > 0 {
		t.Errorf("of another request: %s", text)
	}
}

// operator is an operator's call: it gives the question with its answer.
func operator(t *testing.T, addr, word string) string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, word+"\n")
	answer, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	return "> " + word + "\n" + string(answer)
}

func TestAdminAnswersGolden(t *testing.T) {
	s, l := wireService(t)
	operators, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer operators.Close()
	go admin.New(s.adminCommands(), maxConcurrentAdminCalls).Serve(operators)
	addr, got := operators.Addr().String(), ""
	ask := func(words ...string) {
		for _, word := range words {
			got += operator(t, addr, word)
		}
	}
	ask("status", "stats")
	fillBook(s.ledger)
	over := make(chan struct{})
	go func() { s.run(takeover.Address{Listener: l}); close(over) }()
	for exchange(l.Addr().String(), "GET /-/ready HTTP/1.1\r\n\r\n") != "HTTP/1.1 200 OK " {
		time.Sleep(time.Millisecond)
	}
	published := make(chan struct{})
	s.loop.PostUrgent(loopTask(func() { s.publishTotals(); close(published) }))
	<-published
	ask("status", "stats", "active", "standby", "status", "standby", "active", "status", "other")
	s.loop.PostUrgent(loopTask(s.stop))
	ask("standby", "active", "status")
	compareLine(t, "admin", []byte(got))
	s.loop.PostUrgent(loopTask(s.loop.Stop))
	<-over
}
