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

// testRig runs processes of the built program on loopback, with a discovery that serves one
// endpoint list, workers that accept requests, send callbacks and count attempts, and clients that
// record a failure if a request gets no answer.
type testRig struct {
	t           *testing.T
	dir         string // holds the configuration, the logs and the TMPDIR of the processes
	listenAddr  string
	config      map[string]any
	workers     []*rigWorker
	programPath string

	mu                sync.Mutex
	processes         []*process
	clientGroup       sync.WaitGroup
	stopClientsSignal chan struct{}
	answersByStatus   map[int]int // status -1: no answer
	failures          []string
}

// rigWorker is a worker that runs each job for a fixed duration.
type rigWorker struct {
	*testRig
	uid, addr string
	duration  time.Duration
	slots     chan struct{} // one element per job in progress; nil: no limit

	mu                    sync.Mutex
	attemptsByID          map[string]int // attempts received, by request ID
	runningByID           map[string]int // attempts in progress, by request ID
	concurrentDuplicates  []string       // IDs received while an attempt with the same ID was in progress here
	unacknowledgedResults []string       // IDs of results that the scheduler did not acknowledge
}

// process is a started process of the program.
type process struct {
	*exec.Cmd
	adminAddr string
	logFile   string
	exited    chan struct{}
	exitErr   error
}

var (
	buildOnce    sync.Once
	builtProgram string
	buildErr     error
)

// buildProgram builds the program, once per test run, and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	buildOnce.Do(func() {
		dir, err := os.MkdirTemp("", "stoatweir-test")
		if err != nil {
			buildErr = err
			return
		}
		builtProgram = filepath.Join(dir, "stoatweir")
		if text, err := exec.Command("go", "build", "-o", builtProgram, ".").CombinedOutput(); err != nil {
			buildErr = fmt.Errorf("%w: %s", err, text)
		}
	})
	if buildErr != nil {
		t.Fatalf("the program was not built: %v", buildErr)
	}
	return builtProgram
}

func TestMain(m *testing.M) {
	code := m.Run()
	if builtProgram != "" {
		os.RemoveAll(filepath.Dir(builtProgram))
	}
	os.Exit(code)
}

// loopbackHost returns a loopback address that only this process uses. On 127.0.0.1 a port that was
// just found to be free may already be the local port of a connection that another package's tests
// have opened.
func loopbackHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 32+pid>>16&63, pid>>8&255, pid&255)
}

// returnedAddrs holds the addresses that unusedAddr has returned.
var returnedAddrs sync.Map

// unusedAddr returns a loopback address at which nothing listens. It returns no address twice: its
// listener is closed before the address is used, so the kernel may choose the same port again.
func unusedAddr(t *testing.T) string {
	t.Helper()
	for {
		listener, err := net.Listen("tcp", loopbackHost()+":0")
		if err != nil {
			t.Fatal(err)
		}
		addr := listener.Addr().String()
		listener.Close()
		if _, returned := returnedAddrs.LoadOrStore(addr, true); !returned {
			return addr
		}
	}
}

// newTestRig returns a rig with the given number of workers, whose jobs take jobDuration. It starts
// no process yet.
func newTestRig(t *testing.T, workers int, jobDuration time.Duration) *testRig {
	t.Helper()
	dir, err := os.MkdirTemp("", "sw") // short, as it is part of the path of a Unix socket, whose length is limited
	if err != nil {
		t.Fatal(err)
	}
	r := &testRig{t: t, dir: dir, listenAddr: unusedAddr(t), programPath: buildProgram(t), stopClientsSignal: make(chan struct{}),
		answersByStatus: map[int]int{}}
	var targets []string
	for n := range workers {
		worker := &rigWorker{testRig: r, uid: fmt.Sprint("s-", n), duration: jobDuration, attemptsByID: map[string]int{},
			runningByID: map[string]int{}}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		worker.addr = listener.Addr().String()
		server := &http.Server{Handler: worker}
		go server.Serve(listener)
		t.Cleanup(func() { server.Close() })
		r.workers = append(r.workers, worker)
		targets = append(targets, fmt.Sprintf(`{"uid":%q,"endpoint":%q,"state":"Ready"}`, worker.uid, worker.addr))
	}
	list := `{"rev":1,"all":true,"targets":[` + strings.Join(targets, ",") + `]}`
	discovery := serveRequests(t, func(requestLine, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n", len(list)+1, list)
	})
	r.config = map[string]any{"name": "n0", "listen": r.listenAddr, "discovery": discovery, "seed": "8c1f",
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

// writeConfig writes the configuration file that the processes read.
func (r *testRig) writeConfig() {
	text, err := json.Marshal(r.config)
	if err == nil {
		err = os.WriteFile(filepath.Join(r.dir, "config.json"), text, 0o600)
	}
	if err != nil {
		r.t.Fatal(err)
	}
}

// startProcess starts another process of the program, with its own admin address.
func (r *testRig) startProcess() *process {
	r.t.Helper()
	p := &process{Cmd: exec.Command(r.programPath), adminAddr: unusedAddr(r.t), exited: make(chan struct{})}
	tmp := filepath.Join(r.dir, "tmp")
	os.MkdirAll(tmp, 0o700)
	p.Env = []string{"TMPDIR=" + tmp, "PROXY_CONFIG=" + filepath.Join(r.dir, "config.json"), "PROXY_ADMIN=" + p.adminAddr}
	r.mu.Lock()
	p.logFile = filepath.Join(r.dir, fmt.Sprint("log", len(r.processes)))
	r.mu.Unlock()
	output, err := os.Create(p.logFile)
	if err == nil {
		p.Stderr = output
		err = p.Cmd.Start()
	}
	if err != nil {
		r.t.Fatal(err)
	}
	output.Close()
	go func() { p.exitErr = p.Wait(); close(p.exited) }()
	r.mu.Lock()
	r.processes = append(r.processes, p)
	r.mu.Unlock()
	return p
}

// waitUntilReady waits until the process reports that it is ready.
func (r *testRig) waitUntilReady(p *process) {
	r.t.Helper()
	for deadline := time.Now().Add(6 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if p.adminCommand("status") == "+OK ready\n" {
			return
		}
	}
	text, _ := os.ReadFile(p.logFile)
	r.t.Fatalf("not ready within 6 s\n%s", text)
}

// waitForLog waits until the log of the process contains a message the given number of times.
func (r *testRig) waitForLog(p *process, message string, count int) {
	r.t.Helper()
	var text []byte
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if text, _ = os.ReadFile(p.logFile); strings.Count(string(text), message) >= count {
			return
		}
	}
	r.t.Fatalf("%q was not logged %d times within 5 s\n%s", message, count, text)
}

// allLogs returns the logs of all processes.
func (r *testRig) allLogs() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all strings.Builder
	for _, p := range r.processes {
		text, _ := os.ReadFile(p.logFile)
		fmt.Fprintf(&all, "-- process %d\n%s", p.Process.Pid, text)
	}
	return all.String()
}

// adminCommand sends an admin command and returns the answer, or the text of the error.
func (p *process) adminCommand(command string) string {
	conn, err := net.Dial("tcp", p.adminAddr)
	if err != nil {
		return err.Error()
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	io.WriteString(conn, command+"\n")
	answer, err := io.ReadAll(conn)
	if err != nil {
		return err.Error()
	}
	return string(answer)
}

// waitForExit waits until the process exits and fails the test if it exits late or with an error.
func (r *testRig) waitForExit(p *process, timeout time.Duration) {
	r.t.Helper()
	select {
	case <-p.exited:
		if p.exitErr != nil {
			text, _ := os.ReadFile(p.logFile)
			r.t.Errorf("the process exited with %v\n%s", p.exitErr, text)
		}
	case <-time.After(timeout):
		text, _ := os.ReadFile(p.logFile)
		r.t.Errorf("the process has not exited after %v\n%s", timeout, text)
	}
}

// startClients starts clients that each send one request after the other on a reused connection
// until stopClients is called.
func (r *testRig) startClients(count int, class string) {
	for client := range count {
		r.clientGroup.Add(1)
		go func() {
			defer r.clientGroup.Done()
			conn := &reusedConn{addr: r.listenAddr}
			defer conn.close()
			for seq := 0; ; seq++ {
				select {
				case <-r.stopClientsSignal:
					return
				default:
				}
				r.sendRequest(conn, fmt.Sprintf("%s-%d-%d", class, client, seq), class)
			}
		}()
	}
}

// sendRequest sends a request and counts its answer by status.
func (r *testRig) sendRequest(conn *reusedConn, id, class string) {
	start := time.Now()
	status, body := conn.request(postRequest("/"+class+"/k", "X-Call-Id: "+id+"\r\nX-Call-Class: "+class+"\r\nX-Budget: 10\r\n", id))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answersByStatus[status]++
	if status == 200 && body != "made "+id {
		r.failures = append(r.failures, fmt.Sprintf("%s: got %q", id, body))
	}
	if status == -1 {
		r.failures = append(r.failures, fmt.Sprintf("%s: no answer after %v: %s", id, time.Since(start).Round(time.Millisecond), body))
	}
	if status == 429 || status == 503 {
		time.Sleep(10 * time.Millisecond)
	}
}

// stopClients stops the clients and waits until their last requests have been answered.
func (r *testRig) stopClients() {
	close(r.stopClientsSignal)
	r.clientGroup.Wait()
}

// checkPeers checks what clients and workers observed: one answer per request, no concurrent
// attempts at one worker, all results acknowledged, and no second attempt of non-idempotent
// requests.
func (r *testRig) checkPeers() {
	r.t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, failure := range r.failures {
		r.t.Errorf("got a wrong answer or none, want one right answer per request: %s", failure)
	}
	attempts := map[string]int{}
	for _, worker := range r.workers {
		worker.mu.Lock()
		for _, id := range worker.concurrentDuplicates {
			r.t.Error("a worker received a second attempt while one was in progress: ", id)
		}
		for _, id := range worker.unacknowledgedResults {
			r.t.Error("a worker's result was not acknowledged: ", id)
		}
		for id, n := range worker.attemptsByID {
			if attempts[id] += n; attempts[id] > 1 && strings.HasPrefix(id, "sale") {
				r.t.Error("a non-idempotent request was sent twice: ", id)
			}
		}
		worker.mu.Unlock()
	}
}

// reusedConn is a client's connection. If it was closed between two requests, the next request
// opens a new one and is repeated once.
type reusedConn struct {
	addr   string
	conn   net.Conn
	reader *bufio.Reader
}

func (k *reusedConn) close() {
	if k.conn != nil {
		k.conn.Close()
		k.conn = nil
	}
}

// request sends a request and returns the status and body of the answer, or -1 and the error.
func (k *reusedConn) request(request string) (status int, body string) {
	for attempt := range 2 {
		isNew := k.conn == nil
		if isNew {
			conn, err := net.Dial("tcp", k.addr)
			if err != nil {
				return -1, err.Error()
			}
			k.conn, k.reader = conn, bufio.NewReader(conn)
		}
		k.conn.SetDeadline(time.Now().Add(12 * time.Second))
		_, err := io.WriteString(k.conn, request)
		var statusLine string
		if err == nil {
			var willClose bool
			if statusLine, body, willClose, err = readAnswer(k.reader); err == nil {
				if willClose {
					k.close()
				}
				fmt.Sscanf(statusLine, "HTTP/1.1 %d", &status)
				return status, body
			}
		}
		k.close()
		if isNew || attempt == 1 || !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) &&
			!errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
			return -1, err.Error()
		}
	}
	return -1, "unreachable"
}

// readAnswer reads an HTTP response. statusLine has no reason phrase; willClose reports whether the
// server closes the connection.
func readAnswer(r *bufio.Reader) (statusLine, body string, willClose bool, err error) {
	answer, err := http.ReadResponse(r, nil)
	if err != nil {
		return "", "", false, err
	}
	content, err := io.ReadAll(answer.Body)
	return fmt.Sprint("HTTP/1.1 ", answer.StatusCode), string(content), answer.Close, err
}

// ServeHTTP accepts requests and sends their callbacks to the process that listens at the
// scheduler's address. It answers GET requests, which are health checks, with the number of free
// slots.
func (w *rigWorker) ServeHTTP(out http.ResponseWriter, request *http.Request) {
	if request.Method == "GET" && w.slots != nil {
		fmt.Fprintf(out, "TEXT x0=%d", cap(w.slots)-len(w.slots))
	}
	if request.Method != "POST" {
		return
	}
	io.Copy(io.Discard, request.Body)
	id := request.Header.Get("X-Call-Id")
	w.mu.Lock()
	w.attemptsByID[id]++
	if w.runningByID[id]++; w.runningByID[id] > 1 {
		w.concurrentDuplicates = append(w.concurrentDuplicates, id)
	}
	w.mu.Unlock()
	out.WriteHeader(202)
	go func() {
		time.Sleep(time.Millisecond)
		if w.slots != nil {
			w.slots <- struct{}{}
		}
		w.sendCallback(id, fmt.Sprintf(`{"id":%q,"from":%q,"state":"started"}`, id, w.uid))
		time.Sleep(w.duration)
		if w.slots != nil {
			<-w.slots
		}
		w.mu.Lock()
		w.runningByID[id]--
		w.mu.Unlock()
		if !w.sendCallback(id, fmt.Sprintf(`{"id":%q,"from":%q,"state":"done","result":"made %s"}`, id, w.uid, id)) {
			w.mu.Lock()
			w.unacknowledgedResults = append(w.unacknowledgedResults, id)
			w.mu.Unlock()
		}
	}()
}

// sendCallback sends a callback, with up to ten attempts as real workers make, and reports whether
// it was acknowledged.
func (w *rigWorker) sendCallback(id, body string) bool {
	for range 10 {
		conn := reusedConn{addr: w.listenAddr}
		status, _ := conn.request(postRequest("/_jobs/news", "", body))
		conn.close()
		if status == 200 || status == 204 {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}
