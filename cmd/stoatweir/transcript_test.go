package main

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"stoatweir/internal/golden"
	"stoatweir/internal/settings"
	"stoatweir/internal/takeover"
)

// The transcripts under testdata record complete exchanges between a client, a scheduler, its
// workers and discovery, in virtual time. Each file holds a script, a line of dashes, and the
// recorded exchange for each effect class, which a person has read and approved.
//
// A script consists of these lines:
//
//	workers NAME/ZONE ...        the workers in the endpoint list
//	window SPAN                  the deduplication window; the deduplication scope is the zone
//	timeout SPAN                 the client timeout; 3s if left out
//	dial N: STEP                 the outcome of the Nth dial of a worker: refuse, never, or after SPAN
//	request N: STEP, STEP ...    what a worker does with the Nth request that reaches any
//	                             worker; a request without a line follows the last one before
//	at SPAN: STEP                an event: drain NAME, move NAME ZONE, cut NAME, heal NAME, leave
//
// The steps of a request are: read all, read all-1, wait SPAN, answer TEXT, news STATE, reset,
// close. The step news sends a callback. Lines that begin with # are comments.
//
// A message between two parties takes a millisecond, so that the times show the order of causes
// and effects.

const (
	messageDelay  = time.Millisecond
	settleTime    = 2 * time.Second // time until the endpoint list is known and the watch is established
	transcriptEnd = "\n----\n"
	schedulerAddr = "127.0.0.1:3"
)

// effectClasses are the effect classes, by their names in the settings, that each script is run
// for.
var effectClasses = []string{"read_like", "idempotency_key", "non_idempotent"}

func TestTranscripts(t *testing.T) {
	files, err := filepath.Glob("testdata/transcripts/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no transcripts: ", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			t.Parallel()
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			source, _, _ := strings.Cut(string(text), transcriptEnd)
			script, err := parseExchangeScript(source)
			if err != nil {
				t.Fatal(err)
			}
			var got strings.Builder
			for _, effect := range effectClasses {
				synctest.Test(t, func(t *testing.T) {
					fmt.Fprintf(&got, "\n%s\n%s", effect, script.run(t, effect))
				})
			}
			golden.Compare(t, filepath.Join("transcripts", filepath.Base(file)), []byte(source+transcriptEnd+got.String()))
		})
	}
}

// exchangeScript is a parsed script.
type exchangeScript struct {
	workers         []string // name/zone
	window, timeout time.Duration
	schedulers      int  // number of schedulers in the settings; 0: one
	healthChecks    bool // the settings allow health checks
	dials           map[int][]string
	requests        map[int][]string
	events          []scheduledStep
}

// scheduledStep is an event of a script.
type scheduledStep struct {
	at   time.Duration
	step string
}

func parseExchangeScript(script string) (*exchangeScript, error) {
	parsed := &exchangeScript{timeout: 3 * time.Second, dials: map[int][]string{}, requests: map[int][]string{}}
	for line := range strings.SplitSeq(script, "\n") {
		word, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
		argument, steps, _ := strings.Cut(rest, ": ")
		number, err := 0, error(nil)
		switch word {
		case "", "#":
		case "workers":
			parsed.workers = strings.Fields(rest)
		case "window":
			parsed.window, err = time.ParseDuration(rest)
		case "timeout":
			parsed.timeout, err = time.ParseDuration(rest)
		case "dial":
			if _, err = fmt.Sscan(argument, &number); err == nil {
				parsed.dials[number] = strings.Split(steps, ", ")
			}
		case "request":
			if _, err = fmt.Sscan(argument, &number); err == nil {
				parsed.requests[number] = strings.Split(steps, ", ")
			}
		case "at":
			var at time.Duration
			at, err = time.ParseDuration(argument)
			parsed.events = append(parsed.events, scheduledStep{at, steps})
		default:
			err = fmt.Errorf("unknown word %q", word)
		}
		if err != nil {
			return nil, fmt.Errorf("%q: %w", line, err)
		}
	}
	return parsed, nil
}

// transcript records what the parties of an exchange do, with the party and the time.
type transcript struct {
	start time.Time

	mu    sync.Mutex
	lines []transcriptLine
}

type transcriptLine struct {
	at    time.Duration
	party string
	text  string
}

// add records a line for a party. Lines from before the start are dropped.
func (t *transcript) add(party, format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at := time.Since(t.start); at >= 0 {
		t.lines = append(t.lines, transcriptLine{at, party, fmt.Sprintf(format, args...)})
	}
}

// String returns the lines in the order of time. Lines of different parties at the same time are
// sorted by party, as their order is not determined.
func (t *transcript) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	slices.SortStableFunc(t.lines, func(a, b transcriptLine) int {
		if a.at != b.at {
			return int(a.at - b.at)
		}
		return strings.Compare(a.party, b.party)
	})
	var text strings.Builder
	for _, line := range t.lines {
		fmt.Fprintf(&text, "%6.3f  %-9s  %s\n", line.at.Seconds(), line.party, line.text)
	}
	return text.String()
}

// logHook adds the scheduler's log entries to the transcript.
type logHook struct{ *transcript }

func (l logHook) Levels() []logrus.Level { return logrus.AllLevels }

func (l logHook) Fire(entry *logrus.Entry) error {
	if entry.Message == "deployment configured" {
		return nil
	}
	line := entry.Message
	for _, key := range slices.Sorted(maps.Keys(entry.Data)) {
		line += fmt.Sprintf(" %s=%v", key, entry.Data[key])
	}
	l.add("scheduler", "logs: %s", line)
	return nil
}

// run runs the script for one effect class and returns the transcript.
func (e *exchangeScript) run(t *testing.T, effect string) string {
	record := &transcript{start: time.Now().Add(settleTime)}
	s, peers, stop := e.start(t, effect, record)
	time.Sleep(settleTime)
	peers.start()
	time.Sleep(e.timeout + 2*time.Second)
	text := record.String()
	stop()
	ended, stopped := s.workers.Counts.AttemptsByReason, s.workers.Counts.StoppedAttempts
	if len(stopped) > 0 {
		text += fmt.Sprintf("        stopped before the first byte: %v\n", stopped)
	}
	return text + fmt.Sprintf("        ended: %v\n", ended)
}

// start starts a scheduler with the workers and the discovery of the script. stop stops all of
// them.
func (e *exchangeScript) start(t *testing.T, effect string, record *transcript) (s *service, peers *scriptedPeers, stop func()) {
	peers = newScriptedPeers(e, record)
	process, err := settings.ParseProcess(fmt.Appendf(nil, `{"name":"n","listen":%q,"discovery":%q,"seed":"5","known":%s,
		"settings":{"Discovery":"ask","PeersTotal":%d,"Dcs":["a","b"],"FamilyInfo":{"TellsStart":true},"Report":{"How":"none"},
		"Rules":{"AskWithin":10,"StopSendingWithin":0.5},
		"Limits":{"Probes":%v,"Cancel":true,"SecondCopies":true,"RetryAfter":true,"MaxRetryAfter":1,"MostForwards":3,"ConnectTimeout":0.25,"ConnIdle":5},
		"Operations":[{"Name":"render","Effect":%q,"LatencyObjective":10,"ClientTimeout":10,"DedupScope":"zone","DedupWindow":%g}]}}`,
		schedulerAddr, discoveryAddr, peers.endpointList(), max(1, e.schedulers), e.healthChecks, effect,
		e.window.Seconds()), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.AddHook(logHook{record})
	if s, err = newService(process, logrus.NewEntry(log)); err != nil {
		t.Fatal(err)
	}
	s.loop.DialContext = peers.DialContext
	s.loop.Panicked = func(cause any) { panic(cause) }
	done := make(chan struct{})
	go func() {
		s.run(takeover.Address{Listener: peers.listener})
		close(done)
	}()
	return s, peers, func() {
		peers.stop()
		time.Sleep(3 * time.Second) // long enough for all connections to end
		s.loop.PostUrgent(loopTask(s.loop.Stop))
		<-done
	}
}

// runClient sends one request and records its answer.
func (p *scriptedPeers) runClient(timeout time.Duration) {
	conn := p.dialScheduler()
	if conn == nil {
		return
	}
	p.mu.Lock()
	p.clientConn = conn
	p.clientRequests++
	id := p.clientRequests
	p.mu.Unlock()
	defer conn.Close()
	p.add("client", "asks, and waits for %v", timeout)
	time.Sleep(messageDelay)
	headers := fmt.Sprintf("X-Call-Id: %d\r\nX-Call-Class: render\r\nIdempotency-Key: k\r\nX-Budget: %g\r\n", id, timeout.Seconds())
	io.WriteString(conn, postRequest("/render/k", headers, "work"))
	statusLine, body, _, err := readAnswer(bufio.NewReader(conn))
	time.Sleep(messageDelay)
	switch {
	case p.hasClientLeft():
	case err != nil:
		p.add("client", "gets no answer")
	default:
		p.add("client", "gets %s %s", strings.TrimPrefix(statusLine, "HTTP/1.1 "), body)
	}
}
