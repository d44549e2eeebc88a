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
	meanThinkTime            = 200 * time.Millisecond // mean time that a client waits between two requests
	clientDialTimeout        = time.Second            // for a client's connection to a scheduler
	redialDelay              = 50 * time.Millisecond  // pause of a client after a failed connection attempt
	shortBudgetOneIn         = 8                      // one request in this many, on average, has a short budget
	minShortBudgetMillis     = 20                     // the shortest of these budgets
	shortBudgetRangeMillis   = 300                    // they are drawn from a range of this width above the shortest
	splitWriteOneIn          = 12                     // one request in this many, on average, is written in two parts
	maxSplitPauseMillis      = 40                     // upper limit of the pause between the two parts
	maxDisconnectDelayMillis = 150                    // upper limit of the time after which a disconnecting client disconnects
	resourceCount            = 7                      // number of distinct resources that the requests name

	minWorkFraction = 0.3 // fixed part of a request's work, as a fraction of the mean; the rest is random
)

// client sends requests to one scheduler, one at a time, and disconnects shortly after sending some
// of them.
type client struct {
	harness   *harness
	name      string
	rng       *rand.Rand
	scheduler *scheduler
	conn      net.Conn
	reader    *bufio.Reader
}

// startClients starts all clients. The returned function stops them and waits until each has
// finished its last request.
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
		time.Sleep(time.Duration(c.rng.ExpFloat64() * factor * float64(meanThinkTime)))
	}
}

// millisUpTo returns a random whole number of milliseconds, from 0 to below limit.
func millisUpTo(rng *rand.Rand, limit int) time.Duration {
	return time.Duration(rng.Intn(limit)) * time.Millisecond
}

func (c *client) closeConn() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// sendRequest sends the client's n-th request and records its outcome. If the scheduler had closed
// the reused connection before it read the request, the request is sent once more.
func (c *client) sendRequest(n int) {
	req := c.drawRequest(n)
	text := requestText(req, n)
	c.harness.observed.addRequest(req)
	c.harness.mu.Lock()
	disconnects := c.rng.Float64() < c.harness.disconnectRate
	c.harness.mu.Unlock()
	if disconnects {
		c.sendAndDisconnect(req, text)
		return
	}
	if c.exchange(req, text) == outcomeClosedIdle {
		c.exchange(req, text)
	}
}

func (c *client) drawRequest(n int) *request {
	class := requestClasses[c.rng.Intn(len(requestClasses))]
	budget := class.timeout
	if c.rng.Intn(shortBudgetOneIn) == 0 { // stands for a client's retry, which has little time left
		budget = millisUpTo(c.rng, shortBudgetRangeMillis) + minShortBudgetMillis*time.Millisecond
	}
	return &request{
		id:        fmt.Sprintf("%s-%s-%d", class.name, c.name, n),
		class:     class,
		scheduler: c.scheduler,
		budget:    budget,
		work:      time.Duration((minWorkFraction + (1-minWorkFraction)*c.rng.ExpFloat64()) * float64(meanWork)),
	}
}

func requestText(req *request, n int) string {
	var text strings.Builder
	fmt.Fprintf(&text, "POST /%s/k%d HTTP/1.1\r\nHost: soak\r\n", req.class.name, n%resourceCount)
	fmt.Fprintf(&text, "X-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Budget: %.3f\r\n", req.id, req.class.name, req.budget.Seconds())
	if req.class.effect == effectKeyed {
		fmt.Fprintf(&text, "Idempotency-Key: %s\r\n", req.id)
	}
	fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(req.id), req.id)
	return text.String()
}

// connect opens a connection unless there is one, and reports whether there is one now. A failure
// is counted as an outcome.
func (c *client) connect() bool {
	if c.conn != nil {
		return true
	}
	if !c.scheduler.routed.Load() {
		c.harness.countOutcome("not routed")
		time.Sleep(redialDelay)
		return false
	}
	conn, err := net.DialTimeout("tcp", c.scheduler.address, clientDialTimeout)
	if err != nil {
		c.harness.countOutcome("connect failed")
		time.Sleep(redialDelay)
		return false
	}
	c.conn = conn
	c.reader = bufio.NewReader(conn)
	return true
}

// sendAndDisconnect sends a request and disconnects shortly after, with a reset or an orderly close.
func (c *client) sendAndDisconnect(req *request, text string) {
	if !c.connect() {
		return
	}
	io.WriteString(c.conn, text)
	req.markSent(time.Now())
	time.Sleep(millisUpTo(c.rng, maxDisconnectDelayMillis))
	req.markDisconnected(time.Now())
	if c.rng.Intn(2) == 0 {
		abort(c.conn)
		c.conn = nil
	}
	c.closeConn()
}

// Outcomes of a request that got no status code.
const (
	outcomeUnanswered = "unanswered"
	outcomeClosedIdle = "closed between two requests"
	outcomeNotSent    = ""
)

// exchange sends a request, waits for its answer, and counts and returns the outcome: a status code
// or one of the outcome constants.
func (c *client) exchange(req *request, text string) (outcome string) {
	isNewConn := c.conn == nil
	if !c.connect() {
		return outcomeNotSent
	}
	c.conn.SetDeadline(time.Now().Add(req.budget + clientGiveUpDelay))
	err := c.write(text)
	req.markSent(time.Now())
	var answer *http.Response
	var body []byte
	if err == nil {
		answer, body, err = c.readAnswer()
	}
	if err == nil {
		req.markAnswered(time.Now(), answer.StatusCode, string(body))
		if answer.Close {
			c.closeConn()
		}
		outcome = fmt.Sprint(answer.StatusCode)
	} else {
		outcome = c.exchangeFailed(req, err, isNewConn)
	}
	c.harness.countOutcome(outcome)
	return outcome
}

// write sends a request's text, sometimes in two parts with a pause between them.
func (c *client) write(text string) error {
	splitAt := len(text)
	if c.rng.Intn(splitWriteOneIn) == 0 {
		splitAt = c.rng.Intn(len(text))
	}
	_, err := io.WriteString(c.conn, text[:splitAt])
	if splitAt < len(text) && err == nil {
		time.Sleep(millisUpTo(c.rng, maxSplitPauseMillis))
		_, err = io.WriteString(c.conn, text[splitAt:])
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

// exchangeFailed records why an exchange got no answer, and returns its outcome.
func (c *client) exchangeFailed(req *request, err error, isNewConn bool) (outcome string) {
	now := time.Now()
	c.closeConn()
	switch {
	case isTimeout(err):
		req.markUnanswered(now, "no answer")
	case !isNewConn:
		req.clearSent()
		return outcomeClosedIdle
	default:
		req.markUnanswered(now, "closed: "+err.Error())
	}
	return outcomeUnanswered
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
