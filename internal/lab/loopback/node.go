package loopback

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"stoatweir/internal/lab/model"
)

// node is one scheduler: its process, and the address at which the list answers it alone, so that it shows who was told
// what.
type node struct {
	d         *Day
	number    int
	listen    string
	discovery string
	server    *http.Server
	client    *http.Client
	dir       string

	// of the loop
	up      bool
	noticed time.Duration
	rev     int
	watch   chan []byte // nil: none stands
	known   []model.Endpoint

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

const limitSockets, limitMemory = 1024, 192

const schedulers, others = 64, 128

// host is an address that belongs to this process alone, one for schedulers and one for all others: a scheduler listens
// at its port only once it runs, and nobody else may be given it until then, or while it is away.
func host(part int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", part+pid>>16&63, pid>>8&255, max(1, pid&255))
}

func newNode(d *Day, number int) (*node, error) {
	x := &node{d: d, number: number, dir: filepath.Join(d.dir, fmt.Sprint("n", number)),
		client: &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
	if err := os.MkdirAll(filepath.Join(x.dir, "tmp"), 0o700); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", host(schedulers)+":0")
	if err != nil {
		return nil, err
	}
	x.listen = l.Addr().String()
	l.Close()
	if l, err = net.Listen("tcp", host(others)+":0"); err != nil {
		return nil, err
	}
	x.discovery = l.Addr().String()
	x.server = &http.Server{Handler: http.HandlerFunc(x.targets)}
	go x.server.Serve(l)
	x.known, x.rev = d.world.Discovery.Snapshot(), d.world.Discovery.Version()
	return x, nil
}

// run starts the process; of the loop, or before there is one.
func (x *node) run() error {
	config := map[string]any{"name": fmt.Sprint("n", x.number), "listen": x.listen, "discovery": x.discovery,
		"seed": fmt.Sprintf("%016x", uint64(x.d.s.Seed)<<16|uint64(x.number)), "limits": map[string]any{"memory_mb": limitMemory, "sockets": limitSockets},
		"known":    json.RawMessage(x.d.list(x.known, x.rev, true)),
		"settings": json.RawMessage(x.d.s.Settings(x.number))}
	if x.d.s.Hosted.Capacity > 0 {
		config["tenants"] = map[string]any{"dir": x.d.tenants(), "room": x.d.s.Hosted.Capacity}
	}
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	file := filepath.Join(x.dir, "config.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(x.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(x.d.program)
	cmd.Env = []string{"PROXY_CONFIG=" + file, "TMPDIR=" + filepath.Join(x.dir, "tmp")}
	cmd.Stderr = log
	// Whatever becomes of us, no scheduler is left behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() { cmd.Wait(); close(ended) }()
	x.mu.Lock()
	x.cmd, x.ended = cmd, ended
	x.mu.Unlock()
	x.up = true
	return nil
}

func (x *node) said() string {
	text, _ := os.ReadFile(filepath.Join(x.dir, "log"))
	return string(text[max(0, len(text)-2000):])
}

func (x *node) ready() bool {
	out, err := x.client.Get("http://" + x.listen + "/-/ready")
	if err != nil {
		return false
	}
	out.Body.Close()
	return out.StatusCode == 200
}

// kill ends the process at once.
func (x *node) kill(now time.Duration) {
	x.up, x.noticed = false, now+x.d.s.Schedulers.FailureDetection.D()
	x.dropWatch()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cmd.Process.Kill()
	<-x.ended
}

// end stops it in order, and kills it if it does not.
func (x *node) end() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cmd == nil {
		return
	}
	x.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-x.ended:
	case <-time.After(stopWithin):
		x.cmd.Process.Kill()
		<-x.ended
	}
}

const newsTries, newsAgain = 10, 100 * time.Millisecond

// news calls the scheduler back until it has taken it, ten times at most.
func (x *node) news(news map[string]any) bool {
	text, err := json.Marshal(news)
	if err != nil {
		return false
	}
	for range newsTries {
		out, err := x.client.Post("http://"+x.listen+"/_jobs/news", "application/json", bytes.NewReader(text))
		if err == nil {
			out.Body.Close()
			if out.StatusCode == 200 || out.StatusCode == 204 {
				return true
			}
		}
		select {
		case <-time.After(newsAgain):
		case <-x.d.ctx.Done():
			return false
		}
	}
	return false
}

// targets answers calls to the list.
func (x *node) targets(out http.ResponseWriter, in *http.Request) {
	index, _ := strconv.Atoi(in.URL.Query().Get("index"))
	type answer struct {
		wait  time.Duration
		lines chan []byte
	}
	got := make(chan *answer, 1)
	x.d.put(func(now time.Duration) {
		at, answered := x.d.world.Discovery.Query(now)
		a := &answer{wait: at - now}
		if answered {
			a.lines = make(chan []byte, 64)
		}
		got <- a
	})
	var a *answer
	select {
	case a = <-got:
	case <-x.d.ctx.Done():
		return
	}
	select {
	case <-time.After(a.wait):
	case <-in.Context().Done():
		return
	}
	if a.lines == nil {
		out.WriteHeader(503)
		return
	}
	first := make(chan []byte, 1)
	x.d.put(func(time.Duration) {
		if x.d.world.Discovery.Down() {
			first <- nil
			return
		}
		if index == 0 {
			x.rev = x.d.world.Discovery.Version()
			first <- x.tell(x.d.world.Discovery.Snapshot(), true)
		} else {
			entries := x.d.world.Discovery.Since(index)
			x.rev = x.d.world.Discovery.Version()
			first <- x.tell(entries, false)
		}
		x.dropWatch()
		x.watch = a.lines
	})
	send := func(line []byte) bool {
		_, err := out.Write(append(line, '\n'))
		if f, can := out.(http.Flusher); can && err == nil {
			f.Flush()
		}
		return err == nil
	}
	select {
	case line := <-first:
		if line == nil {
			out.WriteHeader(503)
			return
		}
		if !send(line) || in.URL.Query().Get("stream") == "" {
			return
		}
	case <-x.d.ctx.Done():
		return
	}
	for alive := time.NewTicker(2 * time.Second); ; {
		select {
		case line, more := <-a.lines:
			if !more {
				panic(http.ErrAbortHandler) // the watch ends in the midst
			}
			if !send(line) {
				return
			}
		case <-alive.C:
			if !send(nil) {
				return
			}
		case <-in.Context().Done():
			return
		case <-x.d.ctx.Done():
			return
		}
	}
}

// tell writes entries for this scheduler, which counts as told with them.
func (x *node) tell(entries []model.Endpoint, whole bool) []byte {
	for _, e := range entries {
		x.d.world.Rules.EndpointReceived(x.d.now(), x.number, e.Machine, e.State)
	}
	x.known = x.d.world.Discovery.Snapshot()
	return x.d.list(entries, x.rev, whole)
}

// bring tells what has changed, to a watch that stands.
func (x *node) bring() {
	if x.watch == nil {
		return
	}
	entries := x.d.world.Discovery.Since(x.rev)
	x.rev = x.d.world.Discovery.Version()
	select {
	case x.watch <- x.tell(entries, false):
	default: // it takes nothing: it has to ask anew
		x.dropWatch()
	}
}

func (x *node) dropWatch() {
	if x.watch != nil {
		close(x.watch)
		x.watch = nil
	}
}

var states = map[model.MachineState]string{model.Gone: "Gone", model.Ready: "Ready", model.Draining: "Terminating"}

// list writes entries as the list does.
func (d *Day) list(entries []model.Endpoint, rev int, whole bool) []byte {
	targets := []map[string]any{}
	for _, e := range entries {
		m := d.world.Fleet.Machines[e.Machine]
		boot := int64(0)
		if e.StartedAt >= 0 {
			boot = d.epoch + e.StartedAt.Milliseconds()
		}
		targets = append(targets, map[string]any{"uid": m.UID, "endpoint": d.workers[e.Machine].addr, "az": d.s.Zones[m.Zone],
			"model": d.s.Workers[m.Kind].Name, "pod_group": m.Zone, "state": states[e.State], "capacity_hint": 1.0, "boot_ms": boot})
	}
	text, err := json.Marshal(map[string]any{"rev": rev, "all": whole, "targets": targets})
	if err != nil {
		panic(err) // nothing in it can fail to be written
	}
	return text
}
