package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"stoatweir/internal/settings"
	"stoatweir/internal/takeover"
)

// faultTest runs a service on loopback whose peers misbehave at random, from a seed: workers that
// answer twice, send callbacks before their answer, never complete a request or close the
// connection without an answer, clients that disconnect, endpoint lists that are reset, silent or
// indented, and a stop while all of this goes on. The peers record what they see, and checkRules
// checks the records.
type faultTest struct {
	t              *testing.T
	schedulerAddr  string
	goroutineGroup sync.WaitGroup
	mu             sync.Mutex
	records        map[string]*requestRecord
	drainsByWorker map[string][]drainPeriod
	conns          []net.Conn
	eventCounts    map[string]int

	goroutines, descriptors int         // counts before the first client
	frontEndStopped         atomic.Bool // the front end has noticed the stop and opens no new connections
}

// requestRecord is what the peers have seen of a request.
type requestRecord struct {
	nonIdempotent bool
	clientLeftAt  time.Time // when its client disconnected; zero: it didn't
	attempts      []attemptRecord
}

// attemptRecord is an attempt that a worker received.
type attemptRecord struct {
	worker      string
	sentAt      time.Time
	notRunSince time.Time // since when it is certain that the attempt has not run; zero: it may have run
}

// drainPeriod is a time in which a worker was listed as draining. announcedAt is when the list was
// first sent.
type drainPeriod struct{ announcedAt, endedAt time.Time }

const (
	clientBudget           = 1500 * time.Millisecond
	drainGrace             = 500 * time.Millisecond
	timingTolerance        = 100 * time.Millisecond // for delays of sockets and of a busy machine
	maxSendAfterDisconnect = 300 * time.Millisecond
	// frontEndDelay is how long clients still open new connections after the service was told to stop.
	frontEndDelay = 400 * time.Millisecond
)

func (s *faultTest) countEvent(event string) {
	s.mu.Lock()
	s.eventCounts[event]++
	s.mu.Unlock()
}

func (s *faultTest) trackConn(c net.Conn) net.Conn {
	s.mu.Lock()
	s.conns = append(s.conns, c)
	s.mu.Unlock()
	return c
}

func (s *faultTest) record(id string) *requestRecord {
	record := s.records[id]
	if record == nil {
		record = &requestRecord{nonIdempotent: strings.HasPrefix(id, "sale")}
		s.records[id] = record
	}
	return record
}

func (s *faultTest) listen(serve func(conn net.Conn, rng *rand.Rand), seed int64) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.goroutineGroup.Add(1)
	go func() {
		defer s.goroutineGroup.Done()
		for n := int64(0); ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.trackConn(conn)
			s.goroutineGroup.Add(1)
			go func() {
				defer s.goroutineGroup.Done()
				defer conn.Close()
				serve(conn, rand.New(rand.NewSource(seed*1e6+n)))
			}()
		}
	}()
	return listener
}

// serveWorker serves a connection to a worker. It picks a behavior for each request at random, and
// records whether the attempt may have run by what it tells the scheduler.
func (s *faultTest) serveWorker(uid string, conn net.Conn, rng *rand.Rand) {
	if rng.Intn(6) == 0 { // accept the connection but read from it late
		time.Sleep(time.Duration(rng.Intn(60)) * time.Millisecond)
	}
	for reader := bufio.NewReader(conn); ; {
		requestLine, headers, body, err := readRequest(reader)
		if err != nil {
			return
		}
		if strings.HasPrefix(requestLine, "GET") {
			switch rng.Intn(12) {
			case 0: // no answer
				continue
			case 1: // an answer that never ends
				for range 50 {
					if _, err := io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
						return
					}
					time.Sleep(2 * time.Millisecond)
				}
				return
			}
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nTEXT x0=4")
			continue
		}
		if !strings.HasPrefix(requestLine, "POST") {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		id := headers["X-Call-Id"]
		s.mu.Lock()
		record := s.record(id)
		record.attempts = append(record.attempts, attemptRecord{worker: uid, sentAt: time.Now()})
		index := len(record.attempts) - 1
		s.mu.Unlock()
		markNotRun := func() {
			s.mu.Lock()
			record.attempts[index].notRunSince = time.Now()
			s.mu.Unlock()
		}
		sendCallback := func(state string) {
			result := ""
			if state == "done" {
				result = `,"result":"made ` + id + `"`
			}
			requestOnce(s.schedulerAddr, postRequest("/_jobs/news", "Connection: close\r\n",
				fmt.Sprintf(`{"id":%q,"from":%q,"state":%q%s}`, id, uid, state, result)))
		}
		after := func(delayMillis int, action func()) {
			s.goroutineGroup.Add(1)
			time.AfterFunc(time.Duration(delayMillis)*time.Millisecond, func() { defer s.goroutineGroup.Done(); action() })
		}
		const rejection = "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
		accept := func() { io.WriteString(conn, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n") }
		_ = body
		switch behavior := rng.Intn(20); behavior {
		case 0:
			s.countEvent("rejected")
			markNotRun()
			io.WriteString(conn, rejection)
		case 1:
			s.countEvent("answered twice")
			accept()
			after(1+rng.Intn(8), func() { io.WriteString(conn, rejection) })
			after(20, func() { sendCallback("done") })
		case 2:
			s.countEvent("closed unanswered")
			return
		case 3:
			s.countEvent("reset unanswered")
			conn.(*net.TCPConn).SetLinger(0)
			return
		case 4:
			s.countEvent("accepted and never completed")
			accept()
		case 5:
			s.countEvent("returned")
			accept()
			after(rng.Intn(10), func() { markNotRun(); sendCallback("returned") })
		case 6:
			s.countEvent("returned before the 202")
			markNotRun()
			sendCallback("returned")
			accept()
		case 7:
			s.countEvent("done before the 202")
			sendCallback("done")
			accept()
		case 8:
			s.countEvent("returned after it had started")
			accept()
			after(1, func() { sendCallback("started"); sendCallback("returned") })
		case 9:
			s.countEvent("failed")
			accept()
			after(5, func() { sendCallback("failed") })
		case 10:
			s.countEvent("rejected and closed")
			markNotRun()
			io.WriteString(conn, strings.Replace(rejection, "X-Rej", "Connection: close\r\nX-Rej", 1))
			return
		case 11:
			s.countEvent("more than one answer at once")
			io.WriteString(conn, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"+rejection)
			after(20, func() { sendCallback("done") })
		default:
			jobDuration := time.Duration(rng.Intn(10)) * time.Millisecond
			accept()
			after(rng.Intn(40), func() {
				sendCallback("started")
				time.Sleep(jobDuration)
				sendCallback("done")
			})
		}
	}
}

// readRequest reads an HTTP request.
func readRequest(r *bufio.Reader) (requestLine string, headers map[string]string, body string, err error) {
	line := func() string {
		text, e := r.ReadString('\n')
		if e != nil {
			err = e
		}
		return strings.TrimRight(text, "\r\n")
	}
	requestLine, headers = line(), map[string]string{}
	for text := line(); text != "" && err == nil; text = line() {
		name, value, _ := strings.Cut(text, ": ")
		headers[name] = value
	}
	size, _ := strconv.Atoi(headers["Content-Length"])
	content := make([]byte, size)
	if err == nil {
		_, err = io.ReadFull(r, content)
	}
	return requestLine, headers, string(content), err
}

// runClient sends one request after the other, and disconnects during some of them.
func (s *faultTest) runClient(name string, rng *rand.Rand, stop <-chan struct{}) {
	var conn net.Conn
	var reader *bufio.Reader
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		class := []string{"render", "sale", "keyed"}[rng.Intn(3)]
		id := fmt.Sprintf("%s-%s-%d", class, name, n)
		key := ""
		if class == "keyed" {
			key = "Idempotency-Key: " + id + "\r\n"
		}
		request := postRequest("/"+class+"/k", "X-Call-Id: "+id+"\r\nX-Call-Class: "+class+"\r\n"+key+"X-Budget: 1.5\r\n", id)
		isNew := conn == nil
		if isNew {
			if s.frontEndStopped.Load() {
				return
			}
			var err error
			if conn, err = net.Dial("tcp", s.schedulerAddr); err != nil {
				return // the service has stopped
			}
			reader = bufio.NewReader(conn)
		}
		start := time.Now()
		if rng.Intn(5) == 0 { // disconnect
			io.WriteString(conn, request)
			switch rng.Intn(3) {
			case 0:
				time.Sleep(time.Duration(rng.Intn(30)) * time.Millisecond)
			case 1:
				conn.Write(make([]byte, 16<<10))
			}
			s.mu.Lock()
			s.record(id).clientLeftAt = time.Now()
			s.mu.Unlock()
			conn.Close()
			conn = nil
			s.countEvent("client disconnected")
			continue
		}
		conn.SetDeadline(start.Add(4 * time.Second))
		io.WriteString(conn, request)
		statusLine, body, willClose, err := readAnswer(reader)
		elapsed := time.Since(start)
		switch {
		case err != nil && isNew:
			s.t.Errorf("%s: no answer after %v: %v", id, elapsed, err)
		case err != nil: // the reused connection was closed between two requests
			s.countEvent("connection closed between two requests")
		case elapsed > clientBudget+timingTolerance:
			s.t.Errorf("%s: answered after %v", id, elapsed)
		case strings.HasSuffix(statusLine, "200") && body != "made "+id:
			s.t.Errorf("%s: got %q", id, body)
		default:
			s.countEvent("answer " + statusLine[len(statusLine)-3:])
		}
		if err != nil || willClose {
			conn.Close()
			conn = nil
		}
	}
}

// serveEndpointList starts a discovery that drains workers one after the other and resets some of
// its watches in the middle of a list.
func (s *faultTest) serveEndpointList(uids, addrs []string, rng *rand.Rand, stop <-chan struct{}) (addr string, closeListener func()) {
	var mu sync.Mutex
	revision, draining := 1, -1
	changed := make(chan struct{})
	listText := func(indent bool) string {
		mu.Lock()
		defer mu.Unlock()
		var targets []map[string]any
		for n, uid := range uids {
			state := "Ready"
			if n == draining {
				state = "Terminating"
			}
			targets = append(targets, map[string]any{"uid": uid, "endpoint": addrs[n], "state": state})
		}
		list := map[string]any{"rev": revision, "all": true, "targets": targets}
		text, _ := json.Marshal(list)
		if indent {
			text, _ = json.MarshalIndent(list, "", "  ")
		}
		return string(text)
	}
	listener := s.listen(func(conn net.Conn, rng *rand.Rand) {
		if _, _, _, err := readRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for {
			mu.Lock()
			nextChange, drainingNow := changed, draining
			mu.Unlock()
			text := listText(rng.Intn(2) == 0)
			if rng.Intn(4) == 0 {
				fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text)/2, text[:len(text)/2])
				conn.(*net.TCPConn).SetLinger(0)
				s.countEvent("watch reset in the middle of a list")
				return
			}
			_, err := fmt.Fprintf(conn, "%x\r\n%s\n\r\n", len(text)+1, text)
			if err == nil && drainingNow >= 0 {
				s.mu.Lock()
				if periods := s.drainsByWorker[uids[drainingNow]]; periods[len(periods)-1].announcedAt.IsZero() {
					periods[len(periods)-1].announcedAt = time.Now()
				}
				s.mu.Unlock()
			}
			select {
			case <-nextChange:
			case <-stop:
				return
			}
		}
	}, 900)
	s.goroutineGroup.Add(1)
	go func() {
		defer s.goroutineGroup.Done()
		for n := 0; ; n++ {
			select {
			case <-time.After(time.Duration(500+rng.Intn(200)) * time.Millisecond):
			case <-stop:
				return
			}
			mu.Lock()
			now := time.Now()
			s.mu.Lock()
			if draining >= 0 {
				periods := s.drainsByWorker[uids[draining]]
				periods[len(periods)-1].endedAt = now
			}
			if draining = -1; n%2 == 0 {
				draining = rng.Intn(len(uids))
				s.drainsByWorker[uids[draining]] = append(s.drainsByWorker[uids[draining]], drainPeriod{})
			}
			s.mu.Unlock()
			revision++
			close(changed)
			changed = make(chan struct{})
			mu.Unlock()
		}
	}()
	return listener.Addr().String(), func() { listener.Close() }
}

// TestCombinedFaults combines faults of workers, clients and discovery with a stop of the service.
// The environment variable STORM_SEED selects a single seed.
func TestCombinedFaults(t *testing.T) {
	seeds := []int64{1, 2, 3}
	if text := os.Getenv("STORM_SEED"); text != "" {
		seed, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		seeds = []int64{seed}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runCombinedFaults(t, seed) })
	}
}

func openDescriptors() int {
	all, _ := os.ReadDir("/proc/self/fd")
	return len(all)
}

func runCombinedFaults(t *testing.T, seed int64) {
	rng := rand.New(rand.NewSource(seed))
	s := &faultTest{t: t, records: map[string]*requestRecord{}, drainsByWorker: map[string][]drainPeriod{}, eventCounts: map[string]int{}}
	stopPeers := make(chan struct{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.schedulerAddr = listener.Addr().String()
	var uids, addrs []string
	var closers []func()
	for n := range 5 {
		uid := fmt.Sprint("s-", n)
		workerListener := s.listen(func(c net.Conn, rng *rand.Rand) { s.serveWorker(uid, c, rng) }, seed*100+int64(n))
		uids, addrs, closers = append(uids, uid), append(addrs, workerListener.Addr().String()),
			append(closers, func() { workerListener.Close() })
	}
	discovery, closeDiscovery := s.serveEndpointList(uids, addrs, rand.New(rand.NewSource(rng.Int63())), stopPeers)
	closers = append(closers, closeDiscovery)
	var cachedTargets []string
	for n, uid := range uids {
		cachedTargets = append(cachedTargets, fmt.Sprintf(`{"uid":%q,"endpoint":%q,"state":"Ready"}`, uid, addrs[n]))
	}
	config, err := settings.ParseProcess([]byte(`{"name":"n0","listen":"`+s.schedulerAddr+`","discovery":"`+discovery+`","seed":"8c1f",
		"known":{"rev":0,"all":true,"targets":[`+strings.Join(cachedTargets, ",")+`]},"settings":{"Discovery":"ask","PeersTotal":1,
		"Report":{"How":"probe","Names":["x0"]},"FamilyInfo":{"ReportX0":"free slots","TellsStart":true},
		"Limits":{"Probes":true,"Cancel":`+fmt.Sprint(seed%2 == 0)+`,"MostForwards":4,"RetryAfter":true,"MaxRetryAfter":1,"ConnectTimeout":0.25,"ConnIdle":1},
		"Rules":{"AskWithin":10,"StopSendingWithin":0.5},"Operations":[
		{"Name":"render","Effect":"read_like","LatencyObjective":1,"ClientTimeout":1.5},
		{"Name":"keyed","Effect":"idempotency_key","DedupScope":"all","DedupWindow":5,"LatencyObjective":1,"ClientTimeout":1.5},
		{"Name":"sale","Effect":"non_idempotent","LatencyObjective":1,"ClientTimeout":1.5}]}}`), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	service, err := newService(config, logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() { service.run(takeover.Address{Listener: listener}); close(done) }()
	for requestOnce(s.schedulerAddr, "GET /-/ready HTTP/1.1\r\nConnection: close\r\n\r\n") != "HTTP/1.1 200 OK " {
		time.Sleep(time.Millisecond)
	}
	s.goroutines, s.descriptors = runtime.NumGoroutine(), openDescriptors()
	phase := 0
	startClients := func() (stopClients func()) {
		phase++
		var clients sync.WaitGroup
		stop := make(chan struct{})
		for n := range 24 {
			clients.Add(1)
			clientRNG, name := rand.New(rand.NewSource(rng.Int63())), fmt.Sprint(phase, "-", n)
			go func() { defer clients.Done(); s.runClient(name, clientRNG, stop) }()
		}
		return func() { close(stop); clients.Wait() }
	}
	stopClients := startClients()
	time.Sleep(3 * time.Second)
	stopClients()
	s.checkLeaks()
	stopClients = startClients()
	time.Sleep(300 * time.Millisecond)
	service.loop.PostUrgent(loopTask(service.stop)) // while requests and faults continue
	stopRequested := time.Now()
	time.AfterFunc(frontEndDelay, func() { s.frontEndStopped.Store(true) })
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Error("the service has not stopped after 5 s")
	}
	if elapsed := time.Since(stopRequested); elapsed > clientBudget+700*time.Millisecond {
		t.Error("the service would have been killed before it stopped, after ", elapsed)
	}
	listener.Close()
	stopClients()
	close(stopPeers)
	for _, close := range closers {
		close()
	}
	s.closeConnections()
	s.goroutineGroup.Wait()
	s.checkRules()
	if service.panics > 0 {
		t.Error("panics: ", service.panics)
	}
	if violations := service.workers.Invariants.Counts.Violations; len(violations) > 0 {
		t.Error("the invariant checker counted violations: ", violations)
	}
	t.Log(s.eventCounts)
}

// closeConnections closes all connections of the peers.
func (s *faultTest) closeConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.Close()
	}
	s.conns = nil
}

// checkLeaks checks that the service keeps no goroutines and descriptors once the clients have
// stopped and the workers have closed their connections. The limits allow for a watch that starts
// and ends meanwhile.
func (s *faultTest) checkLeaks() {
	const maxGoroutines, maxDescriptors = 12, 6
	leaked := func() (int, int) { return runtime.NumGoroutine() - s.goroutines, openDescriptors() - s.descriptors }
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		s.closeConnections()
		if goroutineCount, descriptorCount := leaked(); goroutineCount <= maxGoroutines && descriptorCount <= maxDescriptors {
			return
		}
	}
	goroutineCount, descriptorCount := leaked()
	buf := make([]byte, 1<<16)
	s.t.Errorf("leaked %d goroutines and %d descriptors\n%s", goroutineCount, descriptorCount, buf[:runtime.Stack(buf, true)])
}

// checkRules checks the records: no attempt long after the client has disconnected, no second
// attempt of a non-idempotent request that may have run, and no attempt at a worker after its drain
// grace.
func (s *faultTest) checkRules() {
	s.mu.Lock()
	defer s.mu.Unlock()
	attempts, disconnects := 0, 0
	for id, record := range s.records {
		attempts += len(record.attempts)
		for n, attempt := range record.attempts {
			if !record.clientLeftAt.IsZero() && attempt.sentAt.After(record.clientLeftAt.Add(maxSendAfterDisconnect)) {
				s.t.Errorf("%s: sent to a worker %v after its client had disconnected", id, attempt.sentAt.Sub(record.clientLeftAt))
			}
			for _, earlier := range record.attempts[:n] {
				if record.nonIdempotent && (earlier.notRunSince.IsZero() || earlier.notRunSince.After(attempt.sentAt)) {
					s.t.Errorf("%s: sent to %s although %s may have run it", id, attempt.worker, earlier.worker)
				}
			}
			for _, d := range s.drainsByWorker[attempt.worker] {
				if !d.announcedAt.IsZero() && attempt.sentAt.After(d.announcedAt.Add(drainGrace+timingTolerance)) &&
					(d.endedAt.IsZero() || attempt.sentAt.Before(d.endedAt)) {
					s.t.Errorf("%s: sent to %s %v after its drain was announced", id, attempt.worker, attempt.sentAt.Sub(d.announcedAt))
				}
			}
		}
		if !record.clientLeftAt.IsZero() {
			disconnects++
		}
	}
	if attempts < 100 || disconnects < 10 {
		s.t.Errorf("too little load: %d attempts and %d disconnects, want at least 100 and 10", attempts, disconnects)
	}
}
