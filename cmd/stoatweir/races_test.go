package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"stoatweir/dispatch"
	"stoatweir/internal/handover"
	"stoatweir/internal/settings"
	"stoatweir/internal/workers"
)

// sendWithoutWaiting sends a request on a new connection and returns the connection and a reader
// for the answer.
func (r *testRig) sendWithoutWaiting(class, id string) (net.Conn, *bufio.Reader) {
	r.t.Helper()
	conn, err := net.Dial("tcp", r.listenAddr)
	if err != nil {
		r.t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	io.WriteString(conn, postRequest("/"+class+"/k", "X-Call-Id: "+id+"\r\nX-Call-Class: "+class+"\r\nX-Budget: 10\r\n", id))
	return conn, bufio.NewReader(conn)
}

// waitForInFlight waits until the given number of requests is in flight.
func (r *testRig) waitForInFlight(p *process, n int) {
	r.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); p.stats(r.t)["svc_outstanding"] != n; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			r.t.Fatal("not ", n, " requests in flight after 10 s: ", p.stats(r.t))
		}
	}
}

// The client timeout is half a second, the workers hang, and the process would be killed 0.7 s
// after that time: by then every request in flight has its answer, the answer to a non-idempotent
// request that was sent to a worker does not declare it safe to repeat, and requests on connections
// that stay open are answered until the end.
func TestStopAnswersAllBeforeEarlyKill(t *testing.T) {
	const clientTimeout = 500 * time.Millisecond
	r := newTestRig(t, 2, time.Hour)
	r.setOperations(map[string]any{"Name": "render", "Effect": "read_like", "LatencyObjective": 0.3, "ClientTimeout": clientTimeout.Seconds()},
		map[string]any{"Name": "sale", "Effect": "non_idempotent", "LatencyObjective": 0.3, "ClientTimeout": clientTimeout.Seconds()})
	r.writeConfig()
	p := r.startProcess()
	r.waitUntilReady(p)
	answers := make(chan string, 2)
	for _, class := range []string{"render", "sale"} {
		_, reader := r.sendWithoutWaiting(class, class+"-hangs")
		go func() {
			statusLine, _, _, err := readAnswer(reader)
			answers <- fmt.Sprint(class, " ", statusLine, " ", err)
		}()
	}
	r.waitForInFlight(p, 2)
	conn := &reusedConn{addr: r.listenAddr}
	conn.request("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	stopRequested, requests := time.Now(), 0
	p.Process.Signal(syscall.SIGTERM)
	r.waitForLog(p, "stop requested", 1)
	for ; conn.conn != nil; requests++ { // as long as the connection stays open
		previousConn := conn.conn
		status, body := conn.request("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
		if conn.conn != nil && conn.conn != previousConn { // closed between two requests; the new one is the last one accepted
			break
		}
		if status != 503 && conn.conn != nil {
			t.Error("readiness on a reused connection while stopping, want 503: ", status, body)
		}
		time.Sleep(5 * time.Millisecond)
	}
	conn.close()
	r.waitForExit(p, clientTimeout+700*time.Millisecond-time.Since(stopRequested))
	t.Log("exited after ", time.Since(stopRequested), ", requests on the reused connection: ", requests)
	for range 2 {
		got := <-answers
		if strings.HasPrefix(got, "sale") && got != "sale HTTP/1.1 500 <nil>" || !strings.HasSuffix(got, "<nil>") {
			t.Errorf("got answer %q, want one read without an error, and status 500 for sale", got)
		}
	}
}

// The process is told to stop before it has an endpoint list, with a request in flight that cannot
// be sent to any worker: the request gets its answer, and a second signal changes nothing.
func TestStopBeforeEndpointListAnswersRequests(t *testing.T) {
	discoveryListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer discoveryListener.Close()
	r := newTestRig(t, 0, 0)
	r.config["discovery"], r.config["known"] = discoveryListener.Addr().String(), nil
	r.writeConfig()
	p := r.startProcess()
	var conn net.Conn
	for conn == nil { // the process listens before it is ready
		if conn, err = net.Dial("tcp", r.listenAddr); err != nil {
			time.Sleep(time.Millisecond)
		}
	}
	conn.Close()
	for !strings.HasPrefix(p.adminCommand("status"), "-ERR") { // the admin address is opened a moment later
		time.Sleep(time.Millisecond)
	}
	_, reader := r.sendWithoutWaiting("render", "early")
	r.waitForInFlight(p, 1)
	p.Process.Signal(syscall.SIGTERM)
	r.waitForLog(p, "stop requested", 1)
	p.Process.Signal(syscall.SIGTERM)
	p.Process.Signal(syscall.SIGHUP)
	if statusLine, _, _, err := readAnswer(reader); statusLine != "HTTP/1.1 503" || err != nil {
		t.Errorf("got status line %q and error %v, want status 503 and no error", statusLine, err)
	}
	r.waitForExit(p, 4*time.Second)
}

// A signal to stop that arrives before the process listens makes it exit normally instead of
// killing it.
func TestStopBeforeListening(t *testing.T) {
	r := newTestRig(t, 1, 0)
	// A silent listener at the hand-over socket of the address takes the new process's call and
	// delays it before it listens.
	tmp := filepath.Join(r.dir, "tmp")
	os.MkdirAll(tmp, 0o700)
	socketPath, err := handover.SocketPath(tmp, r.listenAddr)
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: socketPath, Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	p := r.startProcess()
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	p.Process.Signal(syscall.SIGTERM)
	r.waitForExit(p, 6*time.Second)
}

// Guards against the loss of requests where both processes are ordered to stop in the middle of a
// replacement: the successor, which has none in flight, does not exit before its predecessor, which
// answers all that it has.
func TestSuccessorDoesNotExitFirst(t *testing.T) {
	for _, ready := range []bool{false, true} {
		t.Run(fmt.Sprintf("successor ready=%v", ready), func(t *testing.T) {
			t.Parallel()
			r := newTestRig(t, 3, 2500*time.Millisecond)
			p := r.startProcess()
			r.waitUntilReady(p)
			_, reader := r.sendWithoutWaiting("render", "long")
			r.waitForInFlight(p, 1)
			if !ready {
				silent, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer silent.Close()
				r.config["discovery"] = silent.Addr().String()
				r.writeConfig()
			}
			successor := r.startProcess()
			r.waitForLog(p, "successor accepted", 1)
			if ready {
				r.waitUntilReady(successor)
			} else {
				r.waitForLog(successor, "deployment configured", 1)
			}
			p.Process.Signal(syscall.SIGTERM)
			successor.Process.Signal(syscall.SIGTERM)
			if statusLine, _, _, err := readAnswer(reader); statusLine != "HTTP/1.1 200" || err != nil {
				t.Errorf("got status line %q and error %v, want status 200 and no error", statusLine, err)
			}
			r.waitForExit(successor, 4*time.Second)
			select {
			case <-p.exited:
			case <-time.After(100 * time.Millisecond):
				t.Error("the successor has exited before its predecessor")
			}
			r.checkPeers()
		})
	}
}

// A process with another name that is started at the same address gets neither the listening socket
// nor any requests, and logs why it exits.
func TestSuccessorWithOtherNameIsRejected(t *testing.T) {
	r := newTestRig(t, 1, 10*time.Millisecond)
	p := r.startProcess()
	r.waitUntilReady(p)
	r.config["name"] = "n1"
	r.writeConfig()
	other := r.startProcess()
	select {
	case <-other.exited:
	case <-time.After(5 * time.Second):
		t.Fatal("the process with the other name has not exited after 5 s")
	}
	if text, _ := os.ReadFile(other.logFile); other.exitErr == nil || !strings.Contains(string(text), string(handover.ReasonNameMismatch)) {
		t.Errorf("got exit error %v, want one, and %q in the log:\n%s", other.exitErr, handover.ReasonNameMismatch, text)
	}
	conn := &reusedConn{addr: r.listenAddr}
	defer conn.close()
	for n := range 20 {
		if status, body := conn.request(postRequest("/render/k",
			fmt.Sprintf("X-Call-Id: a%d\r\nX-Call-Class: render\r\nX-Budget: 10\r\n", n), "")); status != 200 {
			t.Errorf("got status %d and body %q, want 200", status, body)
		}
		conn.close()
	}
	r.checkPeers()
}

// A successor exits, or hangs, while a request migrates to it: the client gets one answer, which
// leaves open whether the request has run, the request is sent to a worker once, and its connection
// is not served by both processes.
func TestSuccessorExitsDuringMigration(t *testing.T) {
	for _, hangs := range []bool{false, true} {
		t.Run(fmt.Sprint("hangs: ", hangs), func(t *testing.T) {
			r := newTestRig(t, 1, time.Hour)
			p := r.startProcess()
			r.waitUntilReady(p)
			_, reader := r.sendWithoutWaiting("sale", "sale-passed")
			r.waitForInFlight(p, 1)
			socketPath, err := handover.SocketPath(filepath.Join(r.dir, "tmp"), r.listenAddr)
			if err != nil {
				t.Fatal(err)
			}
			predecessor, err := handover.Dial(socketPath, r.listenAddr, "n0")
			if err != nil {
				t.Fatal(err)
			}
			defer predecessor.Listener.Close()
			link := predecessor.Link
			migrations, linkClosed := make(chan handover.Message, 10), make(chan bool)
			link.Start(func(migration handover.Message) {
				if migration.Kind == handover.KindMigrate {
					migrations <- migration
				}
			}, func() { close(linkClosed) })
			link.Send(handover.Message{Kind: handover.KindReady})
			r.waitForLog(p, "successor accepted", 1)
			p.Process.Signal(syscall.SIGTERM)
			migration := <-migrations
			if !hangs {
				link.Close()
			}
			<-linkClosed
			if statusLine, _, willClose, err := readAnswer(reader); statusLine != "HTTP/1.1 500" || !willClose || err != nil {
				t.Errorf("got status line %q, connection to be closed %v and error %v, want status 500, true and no error",
					statusLine, willClose, err)
			}
			if _, err := reader.ReadByte(); err != io.EOF {
				t.Error("reading after the answer, want EOF: ", err)
			}
			// The successor has received the connection, but can read nothing from it.
			migrated, err := net.FileConn(migration.File)
			if err != nil {
				t.Fatal(err)
			}
			defer migrated.Close()
			migrated.SetDeadline(time.Now().Add(5 * time.Second))
			if n, err := migrated.Read(make([]byte, 1)); n > 0 || err != io.EOF {
				t.Error("the successor's read of the migrated connection, want EOF: ", n, err)
			}
			r.waitForExit(p, 5*time.Second)
			r.checkPeers()
			if worker := r.workers[0]; len(worker.attemptsByID) != 1 || worker.attemptsByID["sale-passed"] != 1 {
				t.Error("attempts, want one of sale-passed: ", worker.attemptsByID)
			}
		})
	}
}

// A request has the effect class that the settings define when it arrives. A later reload does not
// change it.
func Example_effectAtArrival() {
	const text = `{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{"Operations":[
		{"Name":"render","Effect":"read_like"},{"Name":"keyed","Effect":"idempotency_key"},{"Name":"sale","Effect":"non_idempotent"}]}}`
	read := func(text string) settings.Process {
		process, err := settings.ParseProcess([]byte(text), func(string) string { return "" })
		if err != nil {
			panic(err)
		}
		return process
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s, err := newService(read(text), logrus.NewEntry(log))
	if err != nil {
		panic(err)
	}
	admit := func(first dispatch.InvocationID) {
		for n, name := range []string{"render", "keyed", "sale"} {
			invocation := &workers.Invocation{Number: first + dispatch.InvocationID(n)}
			s.clients.OnRequest(invocation, s.deployment.OperationIndex[name])
			fmt.Println(name, invocation.Effect == dispatch.NonIdempotent)
		}
	}
	admit(1)
	s.applyConfiguration(read(strings.NewReplacer("read_like", "non_idempotent", "non_idempotent", "read_like").Replace(text)), nil)
	admit(10)
	fmt.Println("in hand before:", s.requests[1].Effect == dispatch.NonIdempotent, s.requests[3].Effect == dispatch.NonIdempotent)
	// Output:
	// render false
	// keyed false
	// sale true
	// render true
	// keyed false
	// sale false
	// in hand before: false true
}

// A process is killed just after it has accepted connections, with requests unread, partly read or
// just forwarded: none of them is sent twice, and the next process serves at once.
func TestKillAfterAcceptDuplicatesNothing(t *testing.T) {
	r := newTestRig(t, 3, 10*time.Millisecond)
	for run := range 6 {
		p := r.startProcess()
		r.waitUntilReady(p)
		var conns []net.Conn
		for n := range 10 {
			conn, err := net.Dial("tcp", r.listenAddr)
			if err != nil {
				t.Fatal(err)
			}
			conns = append(conns, conn)
			id := fmt.Sprintf("sale-%d-%d", run, n)
			request := postRequest("/sale/k", "X-Call-Id: "+id+"\r\nX-Call-Class: sale\r\nX-Budget: 10\r\n", id)
			io.WriteString(conn, request[:len(request)-n%2]) // every second request lacks its last byte
		}
		time.Sleep(time.Duration(run) * time.Millisecond / 2)
		p.Process.Kill()
		<-p.exited
		for _, conn := range conns {
			conn.Close()
		}
	}
	p := r.startProcess()
	r.waitUntilReady(p)
	lastConn := &reusedConn{addr: r.listenAddr}
	defer lastConn.close()
	status, body := lastConn.request(postRequest("/sale/k", "X-Call-Id: sale-last\r\nX-Call-Class: sale\r\nX-Budget: 10\r\n", "sale-last"))
	if status != 200 {
		t.Errorf("got status %d and body %q, want 200", status, body)
	}
	r.mu.Lock()
	for _, worker := range r.workers {
		worker.mu.Lock()
		worker.unacknowledgedResults = nil // while no process ran, callbacks for requests of a killed process could not be delivered
		worker.mu.Unlock()
	}
	r.mu.Unlock()
	r.checkPeers()
}
