package model

import (
	"fmt"
	"time"

	"stoatweir/internal/lab/scenario"
)

// Rule is a rule that schedulers must keep under any faults.
type Rule uint8

// The rules that a run checks.
const (
	OneAnswer        Rule = iota // exactly one final answer, before the client timeout, and no attempt after it
	OneEffect                    // no retry that the operation's effect class forbids, and no more attempts than allowed
	NoSendToDraining             // no attempt at a worker known to be draining or gone, after a grace period
	NoOverload                   // no warming worker is sent more work than it can handle

	ruleCount = iota
)

var ruleNames = [...]string{"one answer", "one effect", "drains", "cold"}

// String returns the rule's name in reports.
func (r Rule) String() string { return ruleNames[r] }

const (
	// maxViolations is the number of violations of each rule that are kept with their details; all
	// are counted.
	maxViolations = 5
	// maxHistory is the maximum number of lines of a request's history; later ones are dropped.
	maxHistory = 40
	// recordRetention is how long after its deadline a request's record is kept.
	recordRetention = 2 * time.Second
	// notAnswered is the answer time of a request that has no answer.
	notAnswered time.Duration = -1
	// minNotReadySince replaces the time 0 in notReadySince, where 0 means ready.
	minNotReadySince time.Duration = 1
)

// Violation is a violation of a rule, with the history of the request concerned.
type Violation struct {
	Rule      string        `json:"Rule"`
	At        time.Duration `json:"At"`
	Scheduler int           `json:"Scheduler"`
	Request   int64         `json:"Job"` // ID of the request; 0: no known request is concerned
	Text      string        `json:"Text"`
	History   []string      `json:"Before"`
}

// RuleChecker checks the behavior of schedulers against the rules. It relies only on what the model
// observes, never on what schedulers report about themselves.
type RuleChecker struct {
	Violations []Violation    // up to maxViolations of each rule
	Counts     [ruleCount]int // all violations, by Rule

	scenario    scenario.Scenario
	machine     func(int) *Machine
	open        map[int64]*requestRecord // records of requests that have not expired, by request ID
	expiryQueue []*requestRecord         // the records in open, roughly ordered by expiresAt
	// notReadySince has, by machine, the time since which the endpoint list shows it as not ready; 0:
	// it is ready.
	notReadySince []time.Duration
	// notReadyKnownSince has, by scheduler and machine, the time since which the scheduler knows
	// that it is not ready.
	notReadyKnownSince []map[int]time.Duration
}

// requestRecord is what the checker has recorded about a request at a scheduler.
type requestRecord struct {
	request       *Request
	scheduler     int
	answeredAt    time.Duration
	answerNotOwed bool // its client has disconnected, or its scheduler was killed
	expiresAt     time.Duration
	attempts      []attemptRecord
	history       []string
}

// attemptRecord is what the checker has recorded about an attempt of a request.
type attemptRecord struct {
	number   int
	machine  int
	sentAt   time.Duration
	inFlight bool
	neverRan bool // proved by how the attempt ended
}

func newRuleChecker(s scenario.Scenario) *RuleChecker {
	c := &RuleChecker{scenario: s, open: map[int64]*requestRecord{}}
	for range s.Schedulers.Count {
		c.notReadyKnownSince = append(c.notReadyKnownSince, map[int]time.Duration{})
	}
	return c
}

// Total returns the number of violations of all rules.
func (c *RuleChecker) Total() int {
	total := 0
	for _, n := range c.Counts {
		total += n
	}
	return total
}

// addViolation counts a violation, and keeps its details if fewer than maxViolations of its rule
// are kept. r may be nil if the request is not known.
func (c *RuleChecker) addViolation(rule Rule, now time.Duration, scheduler int, r *requestRecord, format string, args ...any) {
	c.Counts[rule]++
	if c.Counts[rule] > maxViolations {
		return
	}
	v := Violation{Rule: rule.String(), At: now, Scheduler: scheduler, Text: fmt.Sprintf(format, args...)}
	if r != nil {
		v.Request = r.request.ID
		v.History = append(v.History, r.history...)
	}
	c.Violations = append(c.Violations, v)
}

// addHistory adds a line to the request's history, unless it is full.
func (r *requestRecord) addHistory(now time.Duration, format string, args ...any) {
	if len(r.history) < maxHistory {
		r.history = append(r.history, fmt.Sprintf("%.4f s  ", now.Seconds())+fmt.Sprintf(format, args...))
	}
}

// expire closes the records of requests that have expired.
func (c *RuleChecker) expire(now time.Duration) {
	for len(c.expiryQueue) > 0 && c.expiryQueue[0].expiresAt < now {
		c.closeRecord(now, c.expiryQueue[0])
		c.expiryQueue[0] = nil
		c.expiryQueue = c.expiryQueue[1:]
	}
}

// closeRecord removes a request's record. It is a violation if the request needed an answer and got
// none.
func (c *RuleChecker) closeRecord(now time.Duration, r *requestRecord) {
	if r.answeredAt == notAnswered && !r.answerNotOwed {
		c.addViolation(OneAnswer, now, r.scheduler, r, "no final answer")
	}
	delete(c.open, r.request.ID)
}

// Close ends the run. Each request whose deadline has passed must have been answered.
func (c *RuleChecker) Close(now time.Duration) {
	for _, r := range c.expiryQueue {
		if r.request.Deadline+c.scenario.Rules.AnswerSlack.D() < now {
			c.closeRecord(now, r)
		}
	}
	c.expiryQueue = nil
}
