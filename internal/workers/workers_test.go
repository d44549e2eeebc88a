package workers

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net"
	"net/netip"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/conn"
	"stoatweir/internal/discovery"
	"stoatweir/internal/http1"
	"stoatweir/internal/invariant"
	"stoatweir/internal/settings"
)

// stage is a fleet of one worker on loopback, whose answers are written down beforehand.
type stage struct {
	*Transport
	loop   *conn.Loop
	id     dispatch.WorkerID
	heard  chan string // requests at the worker, by connection
	ended  int
	lines  []string // what was told, in order
	mu     sync.Mutex
	conns  []net.Conn // at the worker
	closed map[dispatch.InvocationID]bool
}

// perform listens; each request takes the next answer. One that ends in "-" closes the connection behind the rest of it, ""
// says nothing.
func perform(answers ...string) *stage {
	site, err := settings.ParseDeployment([]byte(`{"Limits": {"Cancel": true, "Probes": true, "ConnIdle": 5, "ConnectTimeout": 0.5},
		"FamilyInfo": {"ReportX0": "free slots"}, "Report": {"How": "answers", "Names": ["x0"]}}`))
	if err != nil {
		panic(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s := &stage{loop: conn.NewLoop(time.Now()), id: netip.MustParseAddrPort(l.Addr().String()),
		heard: make(chan string, 100), closed: map[dispatch.InvocationID]bool{}}
	script := make(chan string, len(answers))
	for _, a := range answers {
		script <- a
	}
	go func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, c)
			s.mu.Unlock()
			go func() {
				for r := bufio.NewReader(c); ; {
					text := textproto.NewReader(r)
					first, err := text.ReadLine()
					if err != nil {
						s.heard <- fmt.Sprintf("connection %d ends", n)
						return
					}
					head, _ := text.ReadMIMEHeader()
					size, _ := strconv.Atoi(head.Get("Content-Length"))
					body := make([]byte, size)
					io.ReadFull(r, body)
					s.heard <- fmt.Sprintf("connection %d: %s %s%s", n, first, head.Get("X-Call-Id"), body)
					answer, ends := strings.CutSuffix(<-script, "-")
					if c.Write([]byte(answer)); ends {
						c.Close()
						return
					}
				}
			}()
		}
	}()
	s.Transport = NewTransport(s.loop, site, s.loop.NewQuota(36))
	s.OnEvent = func(e dispatch.Event) {
		switch e := e.(type) {
		case dispatch.Outcome:
			s.ended++
			s.note("inv %d forward %d ends: %d closed=%v load=%v", e.Invocation, e.Attempt, e.Result, e.Answered, e.Load != nil)
		case dispatch.HealthCheckResult:
			s.ended++
			s.note("probe ends: %d load=%v", e.Result, e.Load != nil)
		case dispatch.AttemptProgress:
			s.ended++
			s.note("inv %d forward %d: taken=%v started=%v done=%v", e.Invocation, e.Attempt, e.Accepted, e.Started, e.Done)
		}
	}
	s.Deliver = func(inv dispatch.InvocationID, result string) {
		s.note("to the client: %d %s", inv, result)
		s.closed[inv] = true
	}
	s.AwaitsAnswer = func(inv dispatch.InvocationID) bool { return !s.closed[inv] }
	s.ClientWaiting = s.AwaitsAnswer
	s.stand(dispatch.Ready)
	return s
}

// Forward begins an attempt that the client timeout alone bounds.
func (s *stage) Forward(inv *Invocation, fwd int, to dispatch.WorkerID) {
	s.Transport.Forward(inv, fwd, to, 0)
}

// say has the worker send something over its nth connection.
func (s *stage) say(n int, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	io.WriteString(s.conns[n-1], text)
}

func (s *stage) stand(standing dispatch.EndpointState) {
	s.ApplyUpdate(discovery.Update{Kind: dispatch.DeltaUpdate, Workers: []discovery.Worker{{UID: "s-1", Address: s.id.String(),
		Endpoint: dispatch.Endpoint{Worker: s.id, State: standing}}}})
}

// job is a request that the guard knows, and lets out as often as a test likes.
func (s *stage) job(inv dispatch.InvocationID) *Invocation {
	s.Invariants.RequestAdmitted(inv, invariant.RequestLimits{MaxInFlight: math.MaxInt})
	return &Invocation{Number: inv, ID: fmt.Sprint("id", inv), Method: "POST", Target: "/render/7f", Body: []byte(" body"),
		Fields: []http1.Field{{Name: "X-Call-Id", Value: fmt.Sprint("id", inv)}}, Deadline: s.loop.Now() + 5*time.Second}
}

func (s *stage) note(format string, args ...any) {
	s.lines = append(s.lines, fmt.Sprintf(format, args...))
}

// until runs the loop until so many ends and signs have been told and so many requests heard. What the worker heard is
// printed first, by connection, as the two sides have no order between them.
func (s *stage) until(ended, heard int) {
	late := s.loop.After(10*time.Second, func() { panic("waited in vain") })
	var requests []string
	s.loop.Run(func() {
		for more := true; more && len(requests) < heard; {
			select {
			case text := <-s.heard:
				requests = append(requests, strings.TrimSpace(text))
			default:
				more = false
			}
		}
		s.loop.After(time.Millisecond, func() {})
		if s.ended >= ended && len(requests) == heard {
			s.loop.Stop()
		}
	})
	late.Stop()
	slices.SortStableFunc(requests, func(a, b string) int {
		return strings.Compare(a[:len("connection 1")], b[:len("connection 1")])
	})
	for _, line := range append(requests, s.lines...) {
		fmt.Println(line)
	}
	s.ended, s.lines = 0, nil
}

// settle runs the loop until something holds that no event tells of.
func (s *stage) settle(what string, holds func() bool) {
	late := s.loop.After(10*time.Second, func() { panic("waited in vain for " + what) })
	s.loop.Run(func() {
		if s.loop.After(time.Millisecond, func() {}); holds() {
			s.loop.Stop()
		}
	})
	late.Stop()
}

// answered waits until the last answer is in, also one of which nobody is told: its connection is idle again.
func (s *stage) answered() {
	s.settle("an idle connection", func() bool { return len(s.byUID["s-1"].idle) > 0 })
}

const (
	took  = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
	turns = "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nX-Load-Report: TEXT x0=0.5\r\nContent-Length: 0\r\n\r\n"
	fault = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
)

func result(text string) *string { return &text }

// A 202 frees the connection and ends nothing; news does, once, and only from the worker that has the forward.
func Example_news() {
	s := perform(took, took)
	s.Forward(s.job(1), 0, s.id)
	s.until(1, 1)
	s.HandleCallback(Callback{ID: "id1", From: "s-1", State: "started"})
	s.HandleCallback(Callback{ID: "id1", From: "s-1", State: "running", Share: 0.4})
	s.HandleCallback(Callback{ID: "id1", From: "s-2", State: "done", Result: result("another's")})
	s.HandleCallback(Callback{ID: "id9", From: "s-1", State: "failed"})
	s.HandleCallback(Callback{ID: "id1", From: "s-1", State: "unheard"})
	s.HandleCallback(Callback{ID: "id1", From: "s-1", State: "done", Result: result("fine")})
	s.HandleCallback(Callback{ID: "id1", From: "s-1", State: "done", Result: result("again")})
	s.until(3, 0)
	s.Forward(s.job(2), 0, s.id)
	s.until(1, 1)
	s.HandleCallback(Callback{ID: "id2", From: "s-1", State: "returned"})
	s.until(1, 0)
	fmt.Println("news:", s.Counts.News, "strange:", s.Counts.Strange, "dialled:", s.Counts.Dialled, "out:", s.InFlight())
	// Output:
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// inv 1 forward 0: taken=true started=false done=0
	// inv 1 forward 0: taken=false started=true done=0
	// inv 1 forward 0: taken=false started=false done=0.4
	// to the client: 1 fine
	// inv 1 forward 0 ends: 0 closed=true load=false
	// connection 1: POST /render/7f HTTP/1.1 id2 body
	// inv 2 forward 0: taken=true started=false done=0
	// inv 2 forward 0 ends: 2 closed=false load=false
	// news: 8 strange: 4 dialled: 1 out: 0
}

// News may come before the 202, and a result with it ends the forward though the answer is still to come.
func Example_newsFirst() {
	s := perform("", took)
	s.Forward(s.job(1), 0, s.id)
	s.until(0, 1)
	s.HandleCallback(Callback{ID: "id1", From: "s-1", State: "lost"})
	s.until(1, 1) // the connection whose answer does not come is given up
	s.Forward(s.job(2), 0, s.id)
	s.until(1, 1)
	s.HandleCallback(Callback{ID: "id2", From: "s-1", State: "done"})
	s.until(1, 0)
	// Output:
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// connection 1 ends
	// inv 1 forward 0 ends: 5 closed=false load=false
	// connection 2: POST /render/7f HTTP/1.1 id2 body
	// inv 2 forward 0: taken=true started=false done=0
	// inv 2 forward 0 ends: 1 closed=false load=false
}

// What an answer, a break or garbage in the place of a 202 amounts to. A 200 is no result.
func Example_answers() {
	s := perform(turns, fault, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhm", "it is me\r\n\r\n")
	for n := dispatch.InvocationID(1); n <= 5; n++ {
		s.Forward(s.job(n), 0, s.id)
		s.until(1, 1)
	}
	s.Forward(s.job(9), 0, netip.AddrPort{})
	s.closed[7] = true
	s.Forward(s.job(7), 0, s.id)
	s.until(2, 0)
	// Output:
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// inv 1 forward 0 ends: 2 closed=false load=true
	// connection 1: POST /render/7f HTTP/1.1 id2 body
	// inv 2 forward 0 ends: 1 closed=false load=false
	// connection 1: POST /render/7f HTTP/1.1 id3 body
	// inv 3 forward 0 ends: 8 closed=false load=false
	// connection 1: POST /render/7f HTTP/1.1 id4 body
	// inv 4 forward 0 ends: 1 closed=false load=false
	// connection 1: POST /render/7f HTTP/1.1 id5 body
	// inv 5 forward 0 ends: 1 closed=false load=false
	// inv 9 forward 0 ends: 7 closed=false load=false
	// inv 7 forward 0 ends: 7 closed=true load=false
}

// Giving up: by closing the connection before the 202, by DELETE after it, at the client timeout too.
func Example_givingUp() {
	s := perform("", took, took, took, took)
	s.Forward(s.job(1), 0, s.id)
	s.until(0, 1)
	s.Cancel(1, 0)
	s.Cancel(1, 0)
	s.until(1, 1)
	s.Forward(s.job(2), 0, s.id)
	s.until(1, 1)
	s.Cancel(2, 0)
	s.until(1, 1)
	s.answered()
	late := s.job(3)
	late.Deadline = s.loop.Now() + time.Second
	s.Forward(late, 0, s.id)
	s.until(2, 2)
	// Output:
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// connection 1 ends
	// inv 1 forward 0 ends: 6 closed=false load=false
	// connection 2: POST /render/7f HTTP/1.1 id2 body
	// inv 2 forward 0: taken=true started=false done=0
	// connection 2: DELETE /jobs/id2 HTTP/1.1
	// inv 2 forward 0 ends: 6 closed=false load=false
	// connection 2: POST /render/7f HTTP/1.1 id3 body
	// connection 2: DELETE /jobs/id3 HTTP/1.1
	// inv 3 forward 0: taken=true started=false done=0
	// inv 3 forward 0 ends: 3 closed=false load=false
}

// A connection that comes up when its worker drains, or its client has given up, sends nothing.
func Example_comingUp() {
	s := perform()
	s.Forward(s.job(1), 0, s.id)
	s.stand(dispatch.Draining)
	s.until(1, 0)
	s.stand(dispatch.Gone) // closes the connection that was not used
	s.until(0, 1)
	s.stand(dispatch.Ready)
	s.Forward(s.job(2), 0, s.id)
	s.Cancel(2, 0)
	s.until(1, 0)
	s.settle("sockets in use", func() bool { return s.share.Used() == 0 })
	fmt.Println("sockets:", s.share.Used())
	// Output:
	// inv 1 forward 0 ends: 4 closed=false load=false
	// connection 1 ends
	// inv 2 forward 0 ends: 6 closed=false load=false
	// sockets: 0
}

// Noughts all over are no report until a worker has said something, and again after its restart.
func Example_blankReports() {
	blank, some := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nx0=0", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nx0=2"
	s := perform(blank, some, blank, blank)
	for range 3 {
		s.HealthCheck(s.id)
		s.until(1, 1)
	}
	s.ApplyUpdate(discovery.Update{Kind: dispatch.DeltaUpdate, Workers: []discovery.Worker{{UID: "s-1", Address: s.id.String(),
		Endpoint: dispatch.Endpoint{Worker: s.id, State: dispatch.Ready, StartKnown: true, StartedAt: time.Second}}}})
	s.HealthCheck(s.id)
	s.until(1, 1)
	// Output:
	// connection 1: GET /-/load HTTP/1.1
	// probe ends: 0 load=false
	// connection 1: GET /-/load HTTP/1.1
	// probe ends: 0 load=true
	// connection 1: GET /-/load HTTP/1.1
	// probe ends: 0 load=true
	// connection 1: GET /-/load HTTP/1.1
	// probe ends: 0 load=false
}

// Probes: a report, a refusal, silence. After silence kept connections are not trusted any more.
func Example_probes() {
	s := perform("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nTEXT x0=3", turns, "", took)
	for range 3 {
		s.HealthCheck(s.id)
		s.until(1, 1)
	}
	s.Forward(s.job(1), 0, s.id)
	s.until(1, 2)
	fmt.Println("dialled:", s.Counts.Dialled)
	// Output:
	// connection 1: GET /-/load HTTP/1.1
	// probe ends: 0 load=true
	// connection 1: GET /-/load HTTP/1.1
	// probe ends: 2 load=true
	// connection 1: GET /-/load HTTP/1.1
	// probe ends: 3 load=false
	// connection 1 ends
	// connection 2: POST /render/7f HTTP/1.1 id1 body
	// inv 1 forward 0: taken=true started=false done=0
	// dialled: 2
}

// A kept connection that breaks at its next use is no word on the worker, and connections are kept for less from then
// on, in the end for as long as the settings allow again. A new one that is closed tells that the request is at fault.
func Example_stale() {
	s := perform(took, "-", "-")
	s.Forward(s.job(1), 0, s.id)
	s.until(1, 1)
	for n := dispatch.InvocationID(2); n <= 3; n++ {
		s.Forward(s.job(n), 0, s.id)
		s.until(1, 1)
	}
	fmt.Println("kept for less:", s.idleTime() < keepLeast)
	s.brokeAt -= time.Minute
	fmt.Println(s.idleTime())
	// Output:
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// inv 1 forward 0: taken=true started=false done=0
	// connection 1: POST /render/7f HTTP/1.1 id2 body
	// inv 2 forward 0 ends: 9 closed=false load=false
	// connection 2: POST /render/7f HTTP/1.1 id3 body
	// inv 3 forward 0 ends: 8 closed=false load=false
	// kept for less: true
	// 3s
}
