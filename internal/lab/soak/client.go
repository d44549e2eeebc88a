package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	thinkTime       = 200 * time.Millisecond // usual time between two requests of a client
	dialTimeout     = time.Second            // of a client
	redialAfter     = 50 * time.Millisecond  // pause after a connection that could not be made
	shortBudgetOf   = 8                      // one of so many requests has little time left
	shortBudgetFrom = 20                     // ms, the least of these budgets
	shortBudgetSpan = 300                    // ms, how far they spread
	splitWriteOf    = 12                     // one of so many requests is written in two pieces
	splitPauseMost  = 40                     // ms between the two pieces
	disconnectMost  = 150                    // ms after which a client disconnects that does
	keys            = 7                      // resources that the requests name

	leastWork = 0.3 // of the mean; the rest of a request's work is drawn
)

// client sends requests to one scheduler, one after the other, and disconnects from some of them.
type client struct {
	harness   *harness
	name      string
	rng       *rand.Rand
	scheduler *scheduler
	conn      net.Conn
	reader    *bufio.Reader
}

// startClients starts the clients; stop waits until each has the answer to its last request.
func (h *harness) startClients() (stop func()) {
	var stopping atomic.Bool
	for _, s := range h.schedulers {
		for n := range h.Clients {
			c := newClient(h, s, n)
			h.clientsRunning.Go(func() { c.run(&stopping) })
		}
	}
	return func() {
		stopping.Store(true)
		h.clientsRunning.Wait()
	}
}

func newClient(h *harness, s *scheduler, n int) *client {
	return &client{
		harness:   h,
		name:      fmt.Sprintf("%d-%d", s.number, n),
		rng:       rand.New(rand.NewSource(h.Seed<<16 + int64(s.number*100+n))),
		scheduler: s,
	}
}

func (c *client) run(stopping *atomic.Bool) {
	defer c.closeConn()
	for n := 0; !stopping.Load(); n++ {
		c.sendRequest(n)
		c.harness.mu.Lock()
		factor := c.harness.thinkFactor
		c.harness.mu.Unlock()
		time.Sleep(time.Duration(c.rng.ExpFloat64() * factor * float64(thinkTime)))
	}
}

// millisUpTo draws a time below so many milliseconds.
func millisUpTo(rng *rand.Rand, most int) time.Duration {
	return time.Duration(rng.Intn(most)) * time.Millisecond
}

func (c *client) closeConn() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// sendRequest sends a request and records its outcome. It is sent again once where its connection
// had ended before it was read.
func (c *client) sendRequest(n int) {
	q := c.drawRequest(n)
	text := requestText(q, n)
	c.harness.observed.addRequest(q)
	c.harness.mu.Lock()
	disconnects := c.rng.Float64() < c.harness.disconnectRate
	c.harness.mu.Unlock()
	if disconnects {
		c.sendAndDisconnect(q, text)
		return
	}
	if c.exchange(q, text) == outcomeClosedIdle {
		c.exchange(q, text)
	}
}

func (c *client) drawRequest(n int) *request {
	class := requestClasses[c.rng.Intn(len(requestClasses))]
	budget := class.timeout
	if c.rng.Intn(shortBudgetOf) == 0 { // a later attempt of the client, with little time left
		budget = millisUpTo(c.rng, shortBudgetSpan) + shortBudgetFrom*time.Millisecond
	}
	return &request{
		id:        fmt.Sprintf("%s-%s-%d", class.name, c.name, n),
		class:     class,
		scheduler: c.scheduler,
		budget:    budget,
		work:      time.Duration((leastWork + (1-leastWork)*c.rng.ExpFloat64()) * float64(meanWork)),
	}
}

func requestText(q *request, n int) string {
	var text strings.Builder
	fmt.Fprintf(&text, "POST /%s/k%d HTTP/1.1\r\nHost: soak\r\n", q.class.name, n%keys)
	fmt.Fprintf(&text, "X-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Budget: %.3f\r\n", q.id, q.class.name, q.budget.Seconds())
	if q.class.effect == effectKeyed {
		fmt.Fprintf(&text, "Idempotency-Key: %s\r\n", q.id)
	}
	fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(q.id), q.id)
	return text.String()
}

// connect opens a connection where there is none. False: nobody is there, which is counted.
func (c *client) connect() bool {
	if c.conn != nil {
		return true
	}
	if !c.scheduler.routed.Load() {
		c.harness.countOutcome("not dealt to")
		time.Sleep(redialAfter)
		return false
	}
	conn, err := net.DialTimeout("tcp", c.scheduler.address, dialTimeout)
	if err != nil {
		c.harness.countOutcome("nobody there")
		time.Sleep(redialAfter)
		return false
	}
	c.conn = conn
	c.reader = bufio.NewReader(conn)
	return true
}

// sendAndDisconnect sends a request and disconnects soon, by a reset or in order.
func (c *client) sendAndDisconnect(q *request, text string) {
	if !c.connect() {
		return
	}
	io.WriteString(c.conn, text)
	q.markSent(time.Now())
	time.Sleep(millisUpTo(c.rng, disconnectMost))
	q.markDisconnected(time.Now())
	if c.rng.Intn(2) == 0 {
		abort(c.conn)
		c.conn = nil
	}
	c.closeConn()
}

// Outcomes of a request that has no status.
const (
	outcomeUnanswered = "unanswered"
	outcomeClosedIdle = "closed between two requests"
	outcomeNotSent    = ""
)

// exchange sends a request, awaits its answer, and counts and returns the outcome: a status or one
// of the constants.
func (c *client) exchange(q *request, text string) (outcome string) {
	isNew := c.conn == nil
	if !c.connect() {
		return outcomeNotSent
	}
	c.conn.SetDeadline(time.Now().Add(q.budget + unansweredAfter))
	err := c.write(text)
	q.markSent(time.Now())
	var answer *http.Response
	var body []byte
	if err == nil {
		answer, body, err = c.readAnswer()
	}
	if err == nil {
		q.markAnswered(time.Now(), answer.StatusCode, string(body))
		if answer.Close {
			c.closeConn()
		}
		outcome = fmt.Sprint(answer.StatusCode)
	} else {
		outcome = c.exchangeFailed(q, err, isNew)
	}
	c.harness.countOutcome(outcome)
	return outcome
}

func (c *client) write(text string) error {
	half := len(text)
	if c.rng.Intn(splitWriteOf) == 0 {
		half = c.rng.Intn(len(text))
	}
	_, err := io.WriteString(c.conn, text[:half])
	if half < len(text) && err == nil {
		time.Sleep(millisUpTo(c.rng, splitPauseMost))
		_, err = io.WriteString(c.conn, text[half:])
	}
	return err
}

func (c *client) readAnswer() (*http.Response, []byte, error) {
	answer, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, nil, err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return answer, body, err
}

func (c *client) exchangeFailed(q *request, err error, isNew bool) (outcome string) {
	now := time.Now()
	c.closeConn()
	switch {
	case isTimeout(err):
		q.markUnanswered(now, "no answer")
	case !isNew:
		q.clearSent()
		return outcomeClosedIdle
	default:
		q.markUnanswered(now, "closed: "+err.Error())
	}
	return outcomeUnanswered
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
