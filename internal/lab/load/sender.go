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
	// dialTimeout limits how long connecting to a scheduler takes.
	dialTimeout = time.Second
	// minBudgetSeconds is the smallest budget that a request states. A client without time left states
	// it too.
	minBudgetSeconds = 0.001
	// microsPerSecond converts a cost hint to the unit of X-Call-Cost.
	microsPerSecond = 1e6
	// maxBodyBytes limits how much of an answer's body is read.
	maxBodyBytes = 1 << 20
	// maxRetryAfterSeconds is the highest Retry-After; higher values count as this one.
	maxRetryAfterSeconds = 3600
)

// Sender sends the requests of a scenario's clients over HTTP.
type Sender struct {
	Scenario    scenario.Scenario
	Credentials []string // of each tenant, by index; empty if the tenants are not hosted
	client      *http.Client
}

// NewSender returns a Sender that opens a new connection for each request. With reused connections, one
// that the peer closes between two requests could be taken for a lost answer.
func NewSender(s scenario.Scenario) *Sender {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
		DialContext:        dialer.DialContext,
	}
	return &Sender{Scenario: s, client: &http.Client{Transport: transport}}
}

// Answer is the outcome of a request.
type Answer struct {
	Reply      model.Reply
	RetryAfter time.Duration // 0 if the answer has none
	Body       string
	Status     int // HTTP status; 0 if there was no answer
}

// Send sends a request to the scheduler at addr and waits for its answer, for at most timeout. budget is
// the time that the client has left, which the request states.
func (s *Sender) Send(ctx context.Context, addr string, request *model.Request, budget, timeout time.Duration) Answer {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	httpRequest, err := s.newHTTPRequest(ctx, addr, request, budget)
	if err != nil {
		return Answer{Reply: model.NoScheduler}
	}
	response, err := s.client.Do(httpRequest)
	if err != nil {
		return Answer{Reply: replyForError(err)}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return Answer{Reply: model.Unanswered}
	}
	return newAnswer(response, string(body))
}

// newHTTPRequest returns the HTTP form of a request. A tenant with a credential is identified by it, any
// other by name.
func (s *Sender) newHTTPRequest(ctx context.Context, addr string, request *model.Request, budget time.Duration) (*http.Request, error) {
	operation := s.Scenario.Operations[request.Operation]
	invocation := strconv.FormatInt(request.Invocation, 16)
	url := "http://" + addr + "/" + operation.Name + "/" + invocation
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("work"))
	if err != nil {
		return nil, err
	}
	header := httpRequest.Header
	header.Set("X-Call-Id", strconv.FormatInt(request.ID, 16))
	header.Set("X-Call-Class", operation.Name)
	header.Set("X-Budget", strconv.FormatFloat(max(minBudgetSeconds, budget.Seconds()), 'f', 3, 64))
	if request.Hint > 0 {
		header.Set("X-Call-Cost", strconv.FormatInt(int64(request.Hint*microsPerSecond), 10))
	}
	if request.Slots > 1 {
		header.Set("X-Call-Info", "slots="+strconv.Itoa(request.Slots))
	}
	if request.Tenant < len(s.Credentials) {
		header.Set("Authorization", "Bearer "+s.Credentials[request.Tenant])
		header.Set("X-Attempt", strconv.Itoa(request.Retry+1))
	} else if request.Tenant < len(s.Scenario.Tenants) {
		header.Set("X-Caller", s.Scenario.Tenants[request.Tenant].Name)
	}
	if operation.Effect == scenario.Deduplicated {
		header.Set("Idempotency-Key", invocation)
	}
	return httpRequest, nil
}

// replyForError returns the reply that stands for an error: NoScheduler if no connection was
// established, else Unanswered.
func replyForError(err error) model.Reply {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return model.NoScheduler
	}
	return model.Unanswered
}

// newAnswer classifies a response by its status.
func newAnswer(response *http.Response, body string) Answer {
	answer := Answer{Reply: model.Errored, Body: body, Status: response.StatusCode}
	switch response.StatusCode {
	case http.StatusOK:
		answer.Reply = model.Succeeded
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		answer.Reply = model.Throttled
		answer.RetryAfter = retryAfter(response.Header)
	}
	return answer
}

// retryAfter returns the Retry-After of an answer, or 0 if it has none that is a positive number of
// seconds.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfterSeconds) * float64(time.Second))
}
