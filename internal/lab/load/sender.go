package load

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"stoatweir/internal/lab/model"
	"stoatweir/internal/lab/scenario"
)

const (
	// dialTimeout is the timeout of a connection to a scheduler.
	dialTimeout = time.Second
	// minBudget is the least budget in seconds that a request gives.
	minBudget = 0.001
	// microsPerSecond converts to the unit of a cost hint.
	microsPerSecond = 1e6
	// maxBody is how much of an answer is read, in bytes.
	maxBody = 1 << 20
	// maxRetryAfter is the longest Retry-After that is followed, in seconds.
	maxRetryAfter = 3600
)

// Sender sends the requests of one scenario's clients.
type Sender struct {
	Scenario    scenario.Scenario
	Credentials []string // of the tenants, where they are hosted
	client      *http.Client
}

// NewSender returns a Sender. Each request has a connection of its own, so that a connection that ends between two of them
// is never taken for a lost answer.
func NewSender(s scenario.Scenario) *Sender {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
		DialContext:        dialer.DialContext,
	}
	return &Sender{Scenario: s, client: &http.Client{Transport: transport}}
}

// Answer is how a request ended.
type Answer struct {
	Reply      model.Reply
	RetryAfter time.Duration // 0: none was given
	Body       string
	Status     int // of HTTP; 0: there was no answer
}

// Send sends a request to the scheduler at addr and waits for its answer, at most for timeout. budget is the time that the
// client has left.
func (s *Sender) Send(ctx context.Context, addr string, r *model.Request, budget, timeout time.Duration) Answer {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := s.newHTTPRequest(ctx, addr, r, budget)
	if err != nil {
		return Answer{Reply: model.NoScheduler}
	}
	response, err := s.client.Do(request)
	if err != nil {
		return Answer{Reply: replyToError(err)}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBody))
	if err != nil {
		return Answer{Reply: model.Unanswered}
	}
	return newAnswer(response, string(body))
}

func (s *Sender) newHTTPRequest(ctx context.Context, addr string, r *model.Request, budget time.Duration) (*http.Request, error) {
	o := s.Scenario.Operations[r.Operation]
	invocation := strconv.FormatInt(r.Invocation, 16)
	url := "http://" + addr + "/" + o.Name + "/" + invocation
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("work"))
	if err != nil {
		return nil, err
	}
	h := request.Header
	h.Set("X-Call-Id", strconv.FormatInt(r.ID, 16))
	h.Set("X-Call-Class", o.Name)
	h.Set("X-Budget", strconv.FormatFloat(max(minBudget, budget.Seconds()), 'f', 3, 64))
	if r.Hint > 0 {
		h.Set("X-Call-Cost", strconv.FormatInt(int64(r.Hint*microsPerSecond), 10))
	}
	if r.Slots > 1 {
		h.Set("X-Call-Info", "slots="+strconv.Itoa(r.Slots))
	}
	if r.Tenant < len(s.Credentials) {
		h.Set("Authorization", "Bearer "+s.Credentials[r.Tenant])
		h.Set("X-Attempt", strconv.Itoa(r.Retry+1))
	} else if r.Tenant < len(s.Scenario.Tenants) {
		h.Set("X-Caller", s.Scenario.Tenants[r.Tenant].Name)
	}
	if o.Effect == scenario.Deduplicated {
		h.Set("Idempotency-Key", invocation)
	}
	return request, nil
}

// replyToError is the reply of a request that ended with an error.
func replyToError(err error) model.Reply {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return model.NoScheduler
	}
	return model.Unanswered
}

func newAnswer(response *http.Response, body string) Answer {
	a := Answer{Reply: model.Errored, Body: body, Status: response.StatusCode}
	switch response.StatusCode {
	case http.StatusOK:
		a.Reply = model.Succeeded
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		a.Reply = model.Throttled
		a.RetryAfter = retryAfter(response.Header)
	}
	return a
}

// retryAfter is the Retry-After of an answer; 0: it has none.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter) * float64(time.Second))
}
