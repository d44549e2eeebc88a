package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

// Rig says with what a scenario is played.
type Rig struct {
	Scheduler string   // the program that is measured
	Hollow    []string // the command line of a hollow process
	Log       io.Writer
}

const (
	readyWithin = 20 * time.Second
	pollEvery   = 10 * time.Second // the service tells its worst turn of that long
)

// Play plays one step. All that it starts has ended when it returns.
func (r Rig) Play(ctx context.Context, s Scenario) (m Step, err error) {
	dir, err := os.MkdirTemp("", "stoatscale")
	if err != nil {
		return m, err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithTimeoutCause(ctx, s.Length()+time.Minute, errors.New("the step took a minute longer than it lasts"))
	defer cancel()
	x := &run{Rig: r, s: s, dir: dir, died: make(chan *process, s.Schedulers+8), ctx: ctx,
		http: &http.Client{Timeout: 5 * time.Second}}
	defer x.close()
	if err := x.begin(); err != nil {
		return m, err
	}
	return x.measure()
}

// run is one step that is being played.
type run struct {
	Rig
	s                      Scenario
	dir                    string
	ctx                    context.Context
	died                   chan *process
	all, schedulers        []*process
	fleet, clients, others *process
	listens                []string
	http                   *http.Client
}

func (x *run) close() {
	for _, p := range x.all {
		p.kill()
	}
}

// wait lets time pass. The end of any process is the end of the run.
func (x *run) wait(span time.Duration) error {
	select {
	case <-time.After(span):
		return nil
	case p := <-x.died:
		return p.fault()
	case <-x.ctx.Done():
		return context.Cause(x.ctx)
	}
}

// Addresses of our own: one for schedulers and one for all others, so that nobody else is given a scheduler's port.
func host(part int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 10+part+pid>>16&63, pid>>8&255, max(1, pid&255))
}

const schedulerHost, otherHost = 0, 100

// free finds ports that nobody has.
func free(n int, packets bool) (addrs []string, err error) {
	for range n {
		if packets {
			c, err := net.ListenPacket("udp", host(schedulerHost)+":0")
			if err != nil {
				return nil, err
			}
			defer c.Close()
			addrs = append(addrs, c.LocalAddr().String())
			continue
		}
		l, err := net.Listen("tcp", host(schedulerHost)+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		addrs = append(addrs, l.Addr().String())
	}
	return addrs, nil
}

func (x *run) hollow(role string, endpoints, peers []string) (*process, Stats, error) {
	cmd := exec.Command(x.Hollow[0], x.Hollow[1:]...)
	cmd.Env = append(os.Environ(), "GOMEMLIMIT=2GiB")
	p, err := start("hollow "+role, cmd, true, x.died)
	if err != nil {
		return nil, Stats{}, err
	}
	x.all = append(x.all, p)
	s, err := p.order(Part{Role: role, Scenario: x.s, Schedulers: x.listens, Host: host(otherHost), Endpoints: endpoints, Peers: peers})
	return p, s, err
}

// begin starts all processes and waits until the schedulers are ready.
func (x *run) begin() (err error) {
	if x.listens, err = free(x.s.Schedulers, false); err != nil {
		return err
	}
	var told Stats
	if x.fleet, told, err = x.hollow(FleetRole, nil, nil); err != nil {
		return err
	}
	if x.clients, _, err = x.hollow(ClientsRole, nil, nil); err != nil {
		return err
	}
	var peers []string
	if x.s.Messages {
		if peers, err = free(x.s.Schedulers, true); err != nil {
			return err
		}
		var heard Stats
		if x.others, heard, err = x.hollow(OthersRole, told.Endpoints, peers); err != nil {
			return err
		}
		peers = heard.Endpoints
	}
	for n, listen := range x.listens {
		if err := x.scheduler(n, listen, told.Discovery, peers); err != nil {
			return err
		}
	}
	for n := range x.listens {
		for end := time.Now().Add(readyWithin); !x.ready(n); {
			if err := x.wait(20 * time.Millisecond); err != nil {
				return err
			}
			if time.Now().After(end) {
				return fmt.Errorf("scheduler %d is not ready after %v: %s", n, readyWithin, x.schedulers[n].said)
			}
		}
	}
	return nil
}

func (x *run) scheduler(n int, listen, discovery string, peers []string) error {
	config := map[string]any{"name": fmt.Sprint("n", n), "listen": listen, "discovery": discovery, "seed": fmt.Sprintf("%016x", uint64(x.s.Seed)<<16|uint64(n)),
		"limits": map[string]any{"memory_mb": x.s.MemoryMB, "sockets": x.s.sockets()}, "settings": x.s.settings(n)}
	if len(peers) > 0 {
		config["peers"] = peers
	}
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	dir := filepath.Join(x.dir, fmt.Sprint("n", n))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	file := filepath.Join(dir, "config.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	cmd := exec.Command(x.Scheduler)
	cmd.Env = []string{"PROXY_CONFIG=" + file, "TMPDIR=" + dir}
	p, err := start(fmt.Sprint("scheduler ", n), cmd, false, x.died)
	if err != nil {
		return err
	}
	x.all, x.schedulers = append(x.all, p), append(x.schedulers, p)
	return nil
}

func (x *run) ready(n int) bool {
	out, err := x.http.Get("http://" + x.listens[n] + "/-/ready")
	if err != nil {
		return false
	}
	out.Body.Close()
	return out.StatusCode == 200
}

// counts are what the service tells of itself, as far as it is used here.
type counts struct {
	Workers struct {
		Sent    int `json:"Sent"`
		Probes  int `json:"Probes"`
		Cancels int `json:"Cancels"`
		News    int `json:"News"`
		Strange int `json:"Strange"`
		Dialled int `json:"Dialled"`
	} `json:"Workers"`
	InHand     int              `json:"in_hand"`
	Panics     int              `json:"Panics"`
	Sockets    int              `json:"Sockets"`
	Watches    int              `json:"Watches"`
	Decided    map[string]int64 `json:"decided_us"`
	Turns      *turns           `json:"turns"`
	Heap       int64            `json:"heap_bytes"`
	Allocated  int64            `json:"allocations"`
	Collection int64            `json:"collections"`
	Peers      map[string]int64 `json:"peers"`
}

type turns struct {
	Count  int64 `json:"count"`
	Worst  int64 `json:"worst_us"`
	Lately int64 `json:"worst_10s_us"`
}

// sample is all that is known at a moment.
type sample struct {
	at                     time.Time
	used                   []usage
	counts                 []counts
	fleet, clients, others Stats
}

func (x *run) counts(n int) (c counts, err error) {
	out, err := x.http.Get("http://" + x.listens[n] + "/-/counts")
	if err != nil {
		return c, err
	}
	defer out.Body.Close()
	return c, json.NewDecoder(out.Body).Decode(&c)
}

// look takes a sample. What the looking costs the schedulers comes after their processor time has been read.
func (x *run) look() (m sample, err error) {
	m.at = time.Now()
	for n, p := range x.schedulers {
		u, err := used(p.cmd.Process.Pid)
		if err != nil {
			select {
			case <-p.ended:
				return m, p.fault()
			case <-time.After(time.Second):
			}
			return m, fmt.Errorf("scheduler %d: %w", n, err)
		}
		m.used = append(m.used, u)
	}
	if m.fleet, err = x.fleet.order(Order{Do: "stats"}); err != nil {
		return m, err
	}
	if m.clients, err = x.clients.order(Order{Do: "stats"}); err != nil {
		return m, err
	}
	if x.others != nil {
		if m.others, err = x.others.order(Order{Do: "stats"}); err != nil {
			return m, err
		}
	}
	for n := range x.schedulers {
		c, err := x.counts(n)
		if err != nil {
			return m, fmt.Errorf("scheduler %d: its counts: %w", n, err)
		}
		m.counts = append(m.counts, c)
	}
	return m, nil
}

func (x *run) measure() (m Step, err error) {
	var first, last, before sample
	var worst time.Duration
	var course []sample
	if before, err = x.look(); err != nil {
		return m, err
	}
	if err = x.wait(x.s.Idle.D()); err != nil {
		return m, err
	}
	idle, err := x.look()
	if err != nil {
		return m, err
	}
	if x.others != nil {
		if _, err = x.others.order(Order{Do: "start"}); err != nil {
			return m, err
		}
	}
	if _, err = x.clients.order(Order{Do: "start", For: x.s.Fill.D()}); err != nil {
		return m, err
	}
	if err = x.wait(x.s.Fill.D()); err != nil {
		return m, err
	}
	if _, err = x.fleet.order(Order{Do: "start"}); err != nil {
		return m, err
	}
	if x.s.Frozen {
		if _, err = x.fleet.order(Order{Do: "freeze"}); err != nil {
			return m, err
		}
	}
	if err = x.wait(x.s.Settle.D()); err != nil {
		return m, err
	}
	if first, err = x.look(); err != nil {
		return m, err
	}
	if x.s.Lost > 0 {
		if _, err = x.fleet.order(Order{Do: "lose", Count: x.s.Lost}); err != nil {
			return m, err
		}
	}
	back := first.at.Add(x.s.LostFor.D())
	end := first.at.Add(x.s.Window.D())
	lost := x.s.Lost > 0
	for poll := first.at.Add(pollEvery); ; {
		next := end
		if poll.Before(next) {
			next = poll
		}
		if lost && back.Before(next) {
			next = back
		}
		if err = x.wait(time.Until(next)); err != nil {
			return m, err
		}
		if lost && !time.Now().Before(back) {
			if _, err = x.fleet.order(Order{Do: "return"}); err != nil {
				return m, err
			}
			lost = false
		}
		if now := time.Now(); !now.Before(end) {
			break
		} else if now.Before(poll) {
			continue
		}
		now, err := x.look()
		if err != nil {
			return m, err
		}
		for _, c := range now.counts {
			worst = max(worst, c.lately())
		}
		course = append(course, now)
		poll = poll.Add(pollEvery)
	}
	if last, err = x.look(); err != nil {
		return m, err
	}
	for _, c := range last.counts {
		worst = max(worst, c.lately())
	}
	m = x.step(before, idle, first, last, worst)
	for _, now := range append(course, last) {
		m.Course = append(m.Course, moment(first, now))
	}
	return m, nil
}

// lately is the worst turn of the last while; below 0: this program does not tell.
func (c counts) lately() time.Duration {
	if c.Turns == nil {
		return -1
	}
	return time.Duration(c.Turns.Lately) * time.Microsecond
}
