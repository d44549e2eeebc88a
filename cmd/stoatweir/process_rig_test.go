package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// rig runs real processes of the built program on loopback: one list of workers, workers that accept, call back and count, and
// clients that insist on one answer each.
type rig struct {
	t       *testing.T
	dir     string // of $TMPDIR and the configuration
	listen  string
	config  map[string]any
	workers []*rigWorker
	program string

	mu        sync.Mutex
	processes []*process
	load      sync.WaitGroup
	stopped   chan struct{}
	answers   map[int]int // by status; -1: none
	faults    []string
}

// rigWorker is a scripted worker.
type rigWorker struct {
	*rig
	uid, addr string
	runtime   time.Duration
	slots     chan struct{} // nil: no end of them

	mu             sync.Mutex
	attempts       map[string]int // attempts by id
	running        map[string]int // attempts under way by id
	duplicates     []string       // a second attempt while one was under way here
	unacknowledged []string       // results that the scheduler did not acknowledge
}

// process is one run of the program.
type process struct {
	*exec.Cmd
	admin  string
	log    string
	exited chan struct{}
	err    error
}

var (
	buildOnce sync.Once
	built     string
	buildErr  error
)

// program builds what is tested.
func program(t *testing.T) string {
	t.Helper()
	buildOnce.Do(func() {
		dir, err := os.MkdirTemp("", "stoatweir-test")
		if err != nil {
			buildErr = err
			return
		}
		built = filepath.Join(dir, "stoatweir")
		if text, err := exec.Command("go", "build", "-o", built, ".").CombinedOutput(); err != nil {
			buildErr = fmt.Errorf("%w: %s", err, text)
		}
	})
	if buildErr != nil {
		t.Fatal(buildErr)
	}
	return built
}

func TestMain(m *testing.M) {
	code := m.Run()
	if built != "" {
		os.RemoveAll(filepath.Dir(built))
	}
	os.Exit(code)
}

// ownHost is a loopback address of this process. On 127.0.0.1 a port that was free a moment ago may be one of a connection
// that another package's tests have just begun.
func ownHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 32+pid>>16&63, pid>>8&255, pid&255)
}

// freeAddr is an address that nobody listens at.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", ownHost()+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func newRig(t *testing.T, workers int, runs time.Duration) *rig {
	t.Helper()
	dir, err := os.MkdirTemp("", "sw") // short: a Unix socket's path goes in it
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, dir: dir, listen: freeAddr(t), program: program(t), stopped: make(chan struct{}), answers: map[int]int{}}
	var targets []string
	for n := range workers {
		w := &rigWorker{rig: r, uid: fmt.Sprint("s-", n), runtime: runs, attempts: map[string]int{}, running: map[string]int{}}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		w.addr = l.Addr().String()
		server := &http.Server{Handler: w}
		go server.Serve(l)
		t.Cleanup(func() { server.Close() })
		r.workers = append(r.workers, w)
		targets = append(targets, fmt.Sprintf(`{"uid":%q,"endpoint":%q,"state":"Ready"}`, w.uid, w.addr))
	}
	list := `{"rev":1,"all":true,"targets":[` + strings.Join(targets, ",") + `]}`
	discovery := serve(t, func(first, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n", len(list)+1, list)
	})
	r.config = map[string]any{"name": "n0", "listen": r.listen, "discovery": discovery, "seed": "8c1f",
		"limits": map[string]any{"memory_mb": 64, "sockets": 256}, "known": json.RawMessage(list),
		"settings": map[string]any{"Discovery": "ask", "PeersTotal": 1, "FamilyInfo": map[string]any{"TellsStart": true},
			"Limits": map[string]any{"MostForwards": 3, "Cancel": true, "RetryAfter": true, "MaxRetryAfter": 1},
			"Rules":  map[string]any{"AskWithin": 10},
			"Operations": []map[string]any{
				{"Name": "render", "Effect": "read_like", "LatencyObjective": 2, "ClientTimeout": 10},
				{"Name": "sale", "Effect": "non_idempotent", "LatencyObjective": 2, "ClientTimeout": 10}}}}
	r.writeConfig()
	t.Cleanup(func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, p := range r.processes {
			p.Process.Kill()
			<-p.exited
		}
		os.RemoveAll(dir)
	})
	return r
}

func (r *rig) writeConfig() {
	text, err := json.Marshal(r.config)
	if err == nil {
		err = os.WriteFile(filepath.Join(r.dir, "config.json"), text, 0o600)
	}
	if err != nil {
		r.t.Fatal(err)
	}
}

// start runs the program once more, with an operators' address of its own.
func (r *rig) start() *process {
	r.t.Helper()
	p := &process{Cmd: exec.Command(r.program), admin: freeAddr(r.t), exited: make(chan struct{})}
	tmp := filepath.Join(r.dir, "tmp")
	os.MkdirAll(tmp, 0o700)
	p.Env = []string{"TMPDIR=" + tmp, "PROXY_CONFIG=" + filepath.Join(r.dir, "config.json"), "PROXY_ADMIN=" + p.admin}
	r.mu.Lock()
	p.log = filepath.Join(r.dir, fmt.Sprint("log", len(r.processes)))
	r.mu.Unlock()
	log, err := os.Create(p.log)
	if err == nil {
		p.Stderr = log
		err = p.Cmd.Start()
	}
	if err != nil {
		r.t.Fatal(err)
	}
	log.Close()
	go func() { p.err = p.Wait(); close(p.exited) }()
	r.mu.Lock()
	r.processes = append(r.processes, p)
	r.mu.Unlock()
	return p
}

// waitUntilReady waits until the process reports that it is ready.
func (r *rig) waitUntilReady(p *process) {
	r.t.Helper()
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if p.adminCommand("status") == "+OK ready\n" {
			return
		}
	}
	text, _ := os.ReadFile(p.log)
	r.t.Fatalf("no yes within 6 s\n%s", text)
}

// waitForLog waits until the process has logged something so many times.
func (r *rig) waitForLog(p *process, what string, times int) {
	r.t.Helper()
	var text []byte
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if text, _ = os.ReadFile(p.log); strings.Count(string(text), what) >= times {
			return
		}
	}
	r.t.Fatalf("%q was not logged %d times\n%s", what, times, text)
}

// logs are what all processes have said.
func (r *rig) logs() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all strings.Builder
	for _, p := range r.processes {
		text, _ := os.ReadFile(p.log)
		fmt.Fprintf(&all, "-- process %d\n%s", p.Process.Pid, text)
	}
	return all.String()
}

// adminCommand is an operator's call.
func (p *process) adminCommand(word string) string {
	c, err := net.Dial("tcp", p.admin)
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	io.WriteString(c, word+"\n")
	b, err := io.ReadAll(c)
	if err != nil {
		return err.Error()
	}
	return string(b)
}

// waitForExit waits for the process to exit by itself.
func (r *rig) waitForExit(p *process, within time.Duration) {
	r.t.Helper()
	select {
	case <-p.exited:
		if p.err != nil {
			text, _ := os.ReadFile(p.log)
			r.t.Errorf("ended with %v\n%s", p.err, text)
		}
	case <-time.After(within):
		text, _ := os.ReadFile(p.log)
		r.t.Errorf("has not ended after %v\n%s", within, text)
	}
}

// startClients starts clients that send one request after the other each, on reused connections.
func (r *rig) startClients(n int, class string) {
	for c := range n {
		r.load.Add(1)
		go func() {
			defer r.load.Done()
			kept := &reusedConn{addr: r.listen}
			defer kept.close()
			for i := 0; ; i++ {
				select {
				case <-r.stopped:
					return
				default:
				}
				r.request(kept, fmt.Sprintf("%s-%d-%d", class, c, i), class)
			}
		}()
	}
}

// request sends a request and counts its answer.
func (r *rig) request(kept *reusedConn, id, class string) {
	began := time.Now()
	status, body := kept.request(post("/"+class+"/k", "X-Call-Id: "+id+"\r\nX-Call-Class: "+class+"\r\nX-Budget: 10\r\n", id))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers[status]++
	if status == 200 && body != "made "+id {
		r.faults = append(r.faults, fmt.Sprintf("%s: got %q", id, body))
	}
	if status == -1 {
		r.faults = append(r.faults, fmt.Sprintf("%s: no answer after %v: %s", id, time.Since(began).Round(time.Millisecond), body))
	}
	if status == 429 || status == 503 {
		time.Sleep(10 * time.Millisecond)
	}
}

// stopClients waits for the clients' last requests.
func (r *rig) stopClients() {
	close(r.stopped)
	r.load.Wait()
}

// check looks at what the peers saw.
func (r *rig) check() {
	r.t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, trouble := range r.faults {
		r.t.Error(trouble)
	}
	attempts := map[string]int{}
	for _, w := range r.workers {
		w.mu.Lock()
		for _, id := range w.duplicates {
			r.t.Error("a second attempt at one worker while one is under way: ", id)
		}
		for _, id := range w.unacknowledged {
			r.t.Error("an end that nobody took: ", id)
		}
		for id, n := range w.attempts {
			if attempts[id] += n; attempts[id] > 1 && strings.HasPrefix(id, "sale") {
				r.t.Error("a non-idempotent invocation was sent twice: ", id)
			}
		}
		w.mu.Unlock()
	}
}

// reusedConn is a client's connection. One that was closed between two requests is opened anew, once.
type reusedConn struct {
	addr string
	c    net.Conn
	r    *bufio.Reader
}

func (k *reusedConn) close() {
	if k.c != nil {
		k.c.Close()
		k.c = nil
	}
}

func (k *reusedConn) request(request string) (status int, body string) {
	for try := range 2 {
		fresh := k.c == nil
		if fresh {
			c, err := net.Dial("tcp", k.addr)
			if err != nil {
				return -1, err.Error()
			}
			k.c, k.r = c, bufio.NewReader(c)
		}
		k.c.SetDeadline(time.Now().Add(12 * time.Second))
		_, err := io.WriteString(k.c, request)
		var first string
		if err == nil {
			var closes bool
			if first, body, closes, err = answerOf(k.r); err == nil {
				if closes {
					k.close()
				}
				fmt.Sscanf(first, "HTTP/1.1 %d", &status)
				return status, body
			}
		}
		k.close()
		if fresh || try == 1 || !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
			return -1, err.Error()
		}
	}
	return -1, "unreachable"
}

func answerOf(r *bufio.Reader) (first, body string, closes bool, err error) {
	answer, err := http.ReadResponse(r, nil)
	if err != nil {
		return "", "", false, err
	}
	b, err := io.ReadAll(answer.Body)
	return fmt.Sprint("HTTP/1.1 ", answer.StatusCode), string(b), answer.Close, err
}

// ServeHTTP accepts requests and sends their callbacks to whoever listens at the scheduler's address.
func (w *rigWorker) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	if in.Method == "GET" && w.slots != nil {
		fmt.Fprintf(out, "TEXT x0=%d", cap(w.slots)-len(w.slots))
	}
	if in.Method != "POST" {
		return
	}
	io.Copy(io.Discard, in.Body)
	id := in.Header.Get("X-Call-Id")
	w.mu.Lock()
	w.attempts[id]++
	if w.running[id]++; w.running[id] > 1 {
		w.duplicates = append(w.duplicates, id)
	}
	w.mu.Unlock()
	out.WriteHeader(202)
	go func() {
		time.Sleep(time.Millisecond)
		if w.slots != nil {
			w.slots <- struct{}{}
		}
		w.sendCallback(id, fmt.Sprintf(`{"id":%q,"from":%q,"state":"started"}`, id, w.uid))
		time.Sleep(w.runtime)
		if w.slots != nil {
			<-w.slots
		}
		w.mu.Lock()
		w.running[id]--
		w.mu.Unlock()
		if !w.sendCallback(id, fmt.Sprintf(`{"id":%q,"from":%q,"state":"done","result":"made %s"}`, id, w.uid, id)) {
			w.mu.Lock()
			w.unacknowledged = append(w.unacknowledged, id)
			w.mu.Unlock()
		}
	}()
}

// sendCallback makes ten attempts at most, as workers do.
func (w *rigWorker) sendCallback(id, news string) bool {
	for range 10 {
		kept := reusedConn{addr: w.listen}
		status, _ := kept.request(post("/_jobs/news", "", news))
		kept.close()
		if status == 200 || status == 204 {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}
