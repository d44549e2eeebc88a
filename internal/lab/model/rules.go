package model

import (
	"fmt"
	"time"

	"stoatweir/internal/lab/scenario"
)

// Rule is a rule that holds whatever faults hit.
type Rule uint8

// The rules.
const (
	OneAnswer        Rule = iota // one final answer before the client timeout, and no attempt after it
	OneEffect                    // no effect twice, within the effect class; no more attempts than allowed
	NoSendToDraining             // no attempt at a draining or gone worker after the grace period
	NoOverload                   // no warming worker is sent more than it can bear

	ruleCount = iota
)

var ruleNames = [...]string{"one answer", "one effect", "drains", "cold"}

// String gives the rule as reports have it.
func (r Rule) String() string { return ruleNames[r] }

const (
	// maxViolations is how many violations of each rule are kept whole; all are counted.
	maxViolations = 5
	// maxHistory is how many lines of a request's history are kept.
	maxHistory = 40
	// recordRetention is how long after its deadline a request is remembered.
	recordRetention = 2 * time.Second
	// notAnswered stands for the time of an answer that was not given.
	notAnswered time.Duration = -1
	// minNotReadySince keeps the start of the run apart from "ready", which is 0.
	minNotReadySince time.Duration = 1
)

// Violation is one violation of a rule, with the history of the request.
type Violation struct {
	Rule      string        `json:"Rule"`
	At        time.Duration `json:"At"`
	Scheduler int           `json:"Scheduler"`
	Request   int64         `json:"Job"` // its ID; 0: it concerns no known request
	Text      string        `json:"Text"`
	History   []string      `json:"Before"`
}

// RuleChecker checks what schedulers do against the rules. It goes by what the model sees, never by what schedulers tell of
// themselves.
type RuleChecker struct {
	Violations []Violation    // the first ones of each rule
	Counts     [ruleCount]int // by Rule

	scenario scenario.Scenario
	machine  func(int) *Machine
	open     map[int64]*requestRecord // by request
	byEnd    []*requestRecord         // nearly in the order of their ends
	// notReadySince is by machine: since when the list has it as not ready; 0: it is ready.
	notReadySince []time.Duration
	// notReadyKnownSince is by scheduler and machine: since when the scheduler knows that it is not ready.
	notReadyKnownSince []map[int]time.Duration
}

// requestRecord is one request at one scheduler.
type requestRecord struct {
	request    *Request
	scheduler  int
	answeredAt time.Duration
	excused    bool // no answer is owed: its client has disconnected, or its scheduler was killed
	forgetAt   time.Duration
	attempts   []attemptRecord
	history    []string
}

// attemptRecord is one attempt of a request.
type attemptRecord struct {
	number   int
	machine  int
	sentAt   time.Duration
	inFlight bool
	neverRan bool // proved
}

func newRuleChecker(s scenario.Scenario) *RuleChecker {
	c := &RuleChecker{scenario: s, open: map[int64]*requestRecord{}}
	for range s.Schedulers.Count {
		c.notReadyKnownSince = append(c.notReadyKnownSince, map[int]time.Duration{})
	}
	return c
}

// Total counts the violations of all rules.
func (c *RuleChecker) Total() int {
	total := 0
	for _, n := range c.Counts {
		total += n
	}
	return total
}

// violate counts a violation, and keeps it if it is among the first. r is the request; nil: it is not known.
func (c *RuleChecker) violate(rule Rule, now time.Duration, scheduler int, r *requestRecord, format string, args ...any) {
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

// note adds a line to the request's history.
func (r *requestRecord) note(now time.Duration, format string, args ...any) {
	if len(r.history) < maxHistory {
		r.history = append(r.history, fmt.Sprintf("%.4f s  ", now.Seconds())+fmt.Sprintf(format, args...))
	}
}

// expire forgets requests whose time is long over.
func (c *RuleChecker) expire(now time.Duration) {
	for len(c.byEnd) > 0 && c.byEnd[0].forgetAt < now {
		c.closeRecord(now, c.byEnd[0])
		c.byEnd[0] = nil
		c.byEnd = c.byEnd[1:]
	}
}

func (c *RuleChecker) closeRecord(now time.Duration, r *requestRecord) {
	if r.answeredAt == notAnswered && !r.excused {
		c.violate(OneAnswer, now, r.scheduler, r, "no final answer")
	}
	delete(c.open, r.request.ID)
}

// Close ends the run: all requests whose time is over must have been answered.
func (c *RuleChecker) Close(now time.Duration) {
	for _, r := range c.byEnd {
		if r.request.Deadline+c.scenario.Rules.AnswerSlack.D() < now {
			c.closeRecord(now, r)
		}
	}
	c.byEnd = nil
}
