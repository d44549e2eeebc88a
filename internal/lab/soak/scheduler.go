package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	schedulers, peers = 96, 160 // parts of 127.0.0.0/8
	zones             = 3
	grace             = 500 * time.Millisecond
	toldAfter         = 6 * time.Second
	longestTimeout    = 2 * time.Second
	dedupWindow       = 1500 * time.Millisecond
	connectTimeout    = 250 * time.Millisecond
	frontNotices      = 300 * time.Millisecond // after an order to stop, new connections go on coming for so long
)

func zoneName(n int) string { return string(rune('a' + n)) }

// host is a loopback address of this process, one for schedulers and one for all others: a scheduler listens at its port only while it
// runs, and nobody else may be given it meanwhile.
func host(part int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", part+pid>>16&31, pid>>8&255, max(1, pid&255))
}

// class is one kind of request.
type class struct {
	name, effect, scope string
	timeout             time.Duration
}

var classes = []class{{"render", "read_like", "", longestTimeout}, {"keyed", "idempotency_key", "zone", 1500 * time.Millisecond},
	{"sale", "non_idempotent", "", 1800 * time.Millisecond}}

// scheduler is one address, and the processes that serve there in turn.
type scheduler struct {
	number  int
	listen  string
	dir     string
	client  *http.Client
	variant int         // of the settings
	fronted atomic.Bool // new connections are dealt to it

	mu      sync.Mutex
	runs    []*run
	freezes []span
	busy    atomic.Bool // a trouble is being played on it
	// faultsNow is what its shims are told; the play's lock guards it.
	faultsNow Faults
}

// run is one process.
type run struct {
	cmd     *exec.Cmd
	began   time.Time
	killed  time.Time // by us; zero: it was not
	told    time.Time // to stop
	ended   chan struct{}
	endedAt time.Time
	err     error
	log     string
}

// span is a stretch of time.
type span struct{ from, to time.Time }

func (s span) meets(from, to time.Time) bool {
	return s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
}

func newScheduler(p *play, n int) (*scheduler, error) {
	l, err := net.Listen("tcp", host(schedulers)+":0")
	if err != nil {
		return nil, err
	}
	defer l.Close()
	s := &scheduler{number: n, listen: l.Addr().String(), dir: filepath.Join(p.Dir, fmt.Sprint("n", n)),
		client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	return s, os.MkdirAll(filepath.Join(s.dir, "tmp"), 0o700)
}

// configure writes the configuration.
func (s *scheduler) configure(p *play, discovery string) error {
	var operations []map[string]any
	for n, c := range classes {
		operations = append(operations, map[string]any{"Name": c.name, "Effect": c.effect, "DedupScope": c.scope, "DedupWindow": dedupWindow.Seconds(),
			"LatencyObjective": 0.4 + 0.1*float64((s.variant+n)%3), "LateBilledValue": 0.5, "ClientTimeout": c.timeout.Seconds(), "BilledValue": 1})
	}
	known, _, _, _ := p.list.text(0)
	text, err := json.Marshal(map[string]any{"name": fmt.Sprint("n", s.number), "listen": s.listen, "discovery": discovery,
		"seed": fmt.Sprintf("%016x", uint64(p.Seed)<<16|uint64(s.number)), "limits": map[string]any{"memory_mb": 64, "sockets": 256},
		"known": json.RawMessage(known), "settings": map[string]any{"Discovery": p.discovery(), "PeersTotal": p.Schedulers, "MyNumber": s.number,
			"MyZone": s.number % zones, "Dcs": []string{"a", "b", "c"}, "Kinds": []string{"m"}, "Operations": operations, "WeightKind": "none",
			"FamilyInfo": map[string]any{"ReportX0": "free slots", "TellsStart": true},
			"Report":     map[string]any{"How": "probe", "Names": []string{"x0", "waiting", "avg_ms"}},
			"Limits": map[string]any{"Probes": true, "Cancel": s.variant%4 != 3, "MostForwards": 3 + s.variant%2, "RetryAfter": true, "MaxRetryAfter": 0.5,
				"ConnectTimeout": connectTimeout.Seconds(), "ConnIdle": 1.0},
			"Rules": map[string]any{"AskWithin": 10, "StopSendingWithin": grace.Seconds(), "ColdFrom": coldFrom, "WarmAfter": warmAfter.Seconds(),
				"FallMultiple": fallMultiple, "Fall": fallSpan.Seconds()}}})
	if err != nil {
		return err
	}
	fresh := filepath.Join(s.dir, "config.new")
	if err := os.WriteFile(fresh, text, 0o600); err != nil {
		return err
	}
	return os.Rename(fresh, filepath.Join(s.dir, "config.json"))
}

// start runs the program once more.
func (s *scheduler) start(p *play) error {
	if err := s.configure(p, p.list.doors[s.number].proxy.addr()); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	name := fmt.Sprintf("n%d-%d", s.number, len(s.runs))
	log, err := p.log(name)
	if err != nil {
		return err
	}
	defer log.Close()
	r := &run{cmd: exec.Command(p.Program), began: time.Now(), ended: make(chan struct{}), log: log.Name()}
	r.cmd.Env = []string{"PROXY_CONFIG=" + filepath.Join(s.dir, "config.json"), "TMPDIR=" + filepath.Join(s.dir, "tmp"), ShimsVariable + "=" + p.shimsFile(s.number)}
	r.cmd.Stderr = log
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.cmd.Start(); err != nil {
		return err
	}
	s.runs = append(s.runs, r)
	go func() {
		err := r.cmd.Wait()
		s.mu.Lock()
		r.err, r.endedAt = err, time.Now()
		s.mu.Unlock()
		close(r.ended)
	}()
	return nil
}

func (s *scheduler) last() *run {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.runs) == 0 {
		return nil
	}
	return s.runs[len(s.runs)-1]
}

// awaitReady waits for a yes, and tells how long it took from the start.
func (s *scheduler) awaitReady(p *play) time.Duration {
	began := s.last().began
	for time.Since(began) < 2*readyMost {
		if out, err := s.client.Get("http://" + s.listen + "/-/ready"); err == nil {
			if out.Body.Close(); out.StatusCode == 200 {
				s.fronted.Store(true)
				break
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	took := time.Since(began)
	if took > readyMost {
		p.books.find("F1 ready", fmt.Sprint("n", s.number), fmt.Sprintf("not ready after %v", took.Round(time.Millisecond)))
	}
	return took
}

// begin starts the program anew, and waits for its yes.
func (s *scheduler) begin(p *play) {
	if err := s.start(p); err != nil {
		p.books.find("play", fmt.Sprint("n", s.number), err.Error())
		return
	}
	s.awaitReady(p)
}

// replace has a second process take over the address, and ends the first.
func (s *scheduler) replace(p *play) {
	before := s.last()
	s.begin(p)
	s.mu.Lock()
	before.told = time.Now()
	s.mu.Unlock()
	before.cmd.Process.Signal(syscall.SIGTERM)
	s.awaitEnd(p, before)
}

func (s *scheduler) signal(signal syscall.Signal) {
	if r := s.last(); r != nil {
		r.cmd.Process.Signal(signal)
	}
}

// stop tells the process to end, in order, and kills what does not.
func (s *scheduler) stop(p *play) {
	r := s.last()
	select {
	case <-r.ended:
		return // it is a crash, which judge sees
	default:
	}
	s.mu.Lock()
	r.told = time.Now()
	s.mu.Unlock()
	r.cmd.Process.Signal(syscall.SIGTERM)
	time.AfterFunc(frontNotices, func() {
		if s.last() == r {
			s.fronted.Store(false)
		}
	})
	s.awaitEnd(p, r)
}

// awaitEnd waits for the end of a process that was told to stop, and kills one that is late.
func (s *scheduler) awaitEnd(p *play, r *run) {
	select {
	case <-r.ended:
	case <-time.After(stopWithin):
		p.books.find("F2 stop", fmt.Sprint("n", s.number), fmt.Sprintf("still there %v after SIGTERM", stopWithin))
		s.killRun(r)
	}
}

func (s *scheduler) kill() {
	s.mu.Lock()
	all := s.runs
	s.mu.Unlock()
	for _, r := range all {
		select {
		case <-r.ended:
		default:
			s.killRun(r)
		}
	}
}

func (s *scheduler) killRun(r *run) {
	s.mu.Lock()
	r.killed = time.Now()
	s.mu.Unlock()
	r.cmd.Process.Kill()
	<-r.ended
}

// freeze stops the process for a while.
func (s *scheduler) freeze(length time.Duration) {
	r := s.last()
	from := time.Now()
	r.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(length)
	r.cmd.Process.Signal(syscall.SIGCONT)
	s.mu.Lock()
	s.freezes = append(s.freezes, span{from, time.Now()})
	s.mu.Unlock()
}

// frozen tells how long the process stood still between two moments.
func (s *scheduler) frozen(from, to time.Time) (length time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.freezes {
		if f.meets(from, to) {
			length += f.to.Sub(f.from)
		}
	}
	return length
}

// stoodStill tells whether it was frozen for longer than a scheduler has to bear; the lock is held.
func (s *scheduler) stoodStill() bool {
	return slices.ContainsFunc(s.freezes, func(f span) bool { return f.to.Sub(f.from) > heldUp })
}

// away tells whether no process of ours, or one that was killed, served between two moments.
func (s *scheduler) away(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runs {
		if !r.killed.IsZero() && (span{r.killed, time.Time{}}).meets(from, to) && r.began.Before(from) {
			return true
		}
	}
	return false
}

// faults are what the logs and the ends of the processes show.
func (s *scheduler) faults() (finds []Find) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n, r := range s.runs {
		name := fmt.Sprintf("n%d-%d", s.number, n)
		if r.killed.IsZero() && r.err != nil {
			finds = append(finds, Find{"G4 crash", name, r.err.Error()})
		}
		if r.killed.IsZero() && r.told.IsZero() {
			finds = append(finds, Find{"G4 crash", name, "it ended by itself"})
		}
		text, _ := os.ReadFile(r.log)
		for line := range strings.Lines(string(text)) {
			switch {
			case strings.Contains(line, "answered late") && s.stoodStill():
			case strings.Contains(line, "a rule would have been broken"):
				finds = append(finds, Find{"guard", name, strings.TrimSpace(line)})
			case strings.Contains(line, "panic"):
				if !strings.Contains(line, `"panics":0`) {
					finds = append(finds, Find{"G4 panic", name, strings.TrimSpace(line)})
				}
			}
		}
	}
	return finds
}
