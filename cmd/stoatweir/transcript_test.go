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

// The transcripts under testdata are whole exchanges of a client, a scheduler, its workers and discovery, in virtual time. Each
// file holds a case, a line of dashes, and what came of it for each effect class, which a person has read and approved.
//
// A case is made of lines:
//
//	workers NAME/ZONE ...        the list of workers
//	window SPAN                  of deduplicated work, whose scope is the zone
//	timeout SPAN                 of the client; 3s unless it is told
//	dial N: STEP                 refuse, never, or after SPAN: how the Nth connection to a worker comes up
//	request N: STEP, STEP ...    what a worker does with the Nth request that reaches one; the next ones follow the last such line
//	at SPAN: STEP                an event: drain NAME, move NAME ZONE, cut NAME, heal NAME, leave
//
// The steps of a request are: read all, read all-1, wait SPAN, answer TEXT, news STATE, reset, close. Lines that begin with # are notes.
//
// Messages between two parties take a millisecond, so that time tells what came of what.

const (
	hop           = time.Millisecond
	settled       = 2 * time.Second // the list is known then, and the watch stands
	transcriptEnd = "\n----\n"
	schedulerAddr = "127.0.0.1:3"
)

// effectClasses are what each case is played for, by the settings' names.
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
					fmt.Fprintf(&got, "\n%s\n%s", effect, script.play(t, effect))
				})
			}
			golden.Compare(t, filepath.Join("transcripts", filepath.Base(file)), []byte(source+transcriptEnd+got.String()))
		})
	}
}

// exchangeScript is a case.
type exchangeScript struct {
	workers         []string // name/zone
	window, timeout time.Duration
	schedulers      int  // that there are, by the settings; 0: one
	probes          bool // are allowed
	dials           map[int][]string
	requests        map[int][]string
	events          []scheduledStep
}

// scheduledStep is an event of a case.
type scheduledStep struct {
	at   time.Duration
	step string
}

func parseExchangeScript(script string) (*exchangeScript, error) {
	e := &exchangeScript{timeout: 3 * time.Second, dials: map[int][]string{}, requests: map[int][]string{}}
	for line := range strings.SplitSeq(script, "\n") {
		word, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
		head, steps, _ := strings.Cut(rest, ": ")
		number, err := 0, error(nil)
		switch word {
		case "", "#":
		case "workers":
			e.workers = strings.Fields(rest)
		case "window":
			e.window, err = time.ParseDuration(rest)
		case "timeout":
			e.timeout, err = time.ParseDuration(rest)
		case "dial":
			if _, err = fmt.Sscan(head, &number); err == nil {
				e.dials[number] = strings.Split(steps, ", ")
			}
		case "request":
			if _, err = fmt.Sscan(head, &number); err == nil {
				e.requests[number] = strings.Split(steps, ", ")
			}
		case "at":
			var at time.Duration
			at, err = time.ParseDuration(head)
			e.events = append(e.events, scheduledStep{at, steps})
		default:
			err = fmt.Errorf("unknown word %q", word)
		}
		if err != nil {
			return nil, fmt.Errorf("%q: %w", line, err)
		}
	}
	return e, nil
}

// transcript is what the parties of one exchange say, by the party and the time.
type transcript struct {
	began time.Time

	mu    sync.Mutex
	lines []transcriptLine
}

type transcriptLine struct {
	at    time.Duration
	party string
	text  string
}

func (r *transcript) say(party, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at := time.Since(r.began); at >= 0 {
		r.lines = append(r.lines, transcriptLine{at, party, fmt.Sprintf(format, args...)})
	}
}

// String is in the order of time. What different parties say in one moment has no order between them.
func (r *transcript) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.SortStableFunc(r.lines, func(a, b transcriptLine) int {
		if a.at != b.at {
			return int(a.at - b.at)
		}
		return strings.Compare(a.party, b.party)
	})
	var text strings.Builder
	for _, line := range r.lines {
		fmt.Fprintf(&text, "%6.3f  %-9s  %s\n", line.at.Seconds(), line.party, line.text)
	}
	return text.String()
}

// schedulerLog takes what the scheduler logs into the transcript.
type schedulerLog struct{ *transcript }

func (l schedulerLog) Levels() []logrus.Level { return logrus.AllLevels }

func (l schedulerLog) Fire(entry *logrus.Entry) error {
	if entry.Message == "deployment configured" {
		return nil
	}
	line := entry.Message
	for _, key := range slices.Sorted(maps.Keys(entry.Data)) {
		line += fmt.Sprintf(" %s=%v", key, entry.Data[key])
	}
	l.say("scheduler", "logs: %s", line)
	return nil
}

// play plays the case for one effect class.
func (e *exchangeScript) play(t *testing.T, effect string) string {
	r := &transcript{began: time.Now().Add(settled)}
	s, world, stop := e.start(t, effect, r)
	time.Sleep(settled)
	world.begin()
	time.Sleep(e.timeout + 2*time.Second)
	text := r.String()
	stop()
	ended, stopped := s.workers.Counts.Ended, s.workers.Counts.Stopped
	if len(stopped) > 0 {
		text += fmt.Sprintf("        stopped before the first byte: %v\n", stopped)
	}
	return text + fmt.Sprintf("        ended: %v\n", ended)
}

// start starts a scheduler among the workers and the discovery of the case.
func (e *exchangeScript) start(t *testing.T, effect string, r *transcript) (s *service, world *scriptedWorld, stop func()) {
	world = newScriptedWorld(e, r)
	node, err := settings.ParseProcess(fmt.Appendf(nil, `{"name":"n","listen":%q,"discovery":%q,"seed":"5","known":%s,
		"settings":{"Discovery":"ask","PeersTotal":%d,"Dcs":["a","b"],"FamilyInfo":{"TellsStart":true},"Report":{"How":"none"},
		"Rules":{"AskWithin":10,"StopSendingWithin":0.5},
		"Limits":{"Probes":%v,"Cancel":true,"SecondCopies":true,"RetryAfter":true,"MaxRetryAfter":1,"MostForwards":3,"ConnectTimeout":0.25,"ConnIdle":5},
		"Operations":[{"Name":"render","Effect":%q,"LatencyObjective":10,"ClientTimeout":10,"DedupScope":"zone","DedupWindow":%g}]}}`,
		schedulerAddr, discoveryAddr, world.list(), max(1, e.schedulers), e.probes, effect, e.window.Seconds()), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.AddHook(schedulerLog{r})
	if s, err = newService(node, logrus.NewEntry(log)); err != nil {
		t.Fatal(err)
	}
	s.loop.DialContext = world.DialContext
	s.loop.Panicked = func(cause any) { panic(cause) }
	over := make(chan struct{})
	go func() {
		s.run(takeover.Address{Listener: world.door})
		close(over)
	}()
	return s, world, func() {
		world.end()
		time.Sleep(3 * time.Second) // all connections end
		s.loop.PostUrgent(loopTask(s.loop.Stop))
		<-over
	}
}

// client hands in one request and waits for its answer.
func (w *scriptedWorld) client(timeout time.Duration) {
	c := w.toScheduler()
	if c == nil {
		return
	}
	w.mu.Lock()
	w.clientConn = c
	w.asked++
	id := w.asked
	w.mu.Unlock()
	defer c.Close()
	w.say("client", "asks, and waits for %v", timeout)
	time.Sleep(hop)
	head := fmt.Sprintf("X-Call-Id: %d\r\nX-Call-Class: render\r\nIdempotency-Key: k\r\nX-Budget: %g\r\n", id, timeout.Seconds())
	io.WriteString(c, post("/render/k", head, "work"))
	first, body, _, err := answerOf(bufio.NewReader(c))
	time.Sleep(hop)
	switch {
	case w.hasLeft():
	case err != nil:
		w.say("client", "gets no answer")
	default:
		w.say("client", "gets %s %s", strings.TrimPrefix(first, "HTTP/1.1 "), body)
	}
}
