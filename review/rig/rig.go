// Package rig holds the stand-ins of the second review: the platform, which starts and signals schedulers,
// discovery, workers and clients. They follow the operators' protocol page. Every address is a loopback address.
package rig

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"
)

// longestPlay is the time after which a play is given up and all that it started is ended.
const longestPlay = 115 * time.Second

// longestFolder is the longest path of the folder of a play, in bytes.
const longestFolder = 60

// Run is one play of a case: its temporary folder, its record and the processes that it started.
type Run struct {
	Dir     string // temporary folder of the play
	Root    string // root of the repository
	Trouble bool   // false if TROUBLE=0: the same play without the disruption

	start    time.Time
	mu       sync.Mutex
	record   *os.File
	failures []string
	cleanups []func()
	reserved map[string]bool          // addresses that FreeAddr has returned
	results  map[string]time.Duration // when the scheduler had acknowledged the result, by the client's id
}

// New begins a play. caseDir is the folder of the case, in which record.txt is written.
func New(caseDir string) *Run {
	root, err := filepath.Abs(filepath.Join(caseDir, "..", ".."))
	if err != nil {
		CannotRun(err)
	}
	dir, err := os.MkdirTemp("", "rv")
	if err != nil {
		CannotRun(err)
	}
	if len(dir) > longestFolder {
		os.RemoveAll(dir)
		CannotRun("the path of the temporary folder is too long for the Unix socket that two processes meet at")
	}
	record, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		CannotRun(err)
	}
	r := &Run{Dir: dir, Root: root, Trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), record: record,
		reserved: map[string]bool{}, results: map[string]time.Duration{}}
	r.Defer(func() { os.RemoveAll(dir) })
	time.AfterFunc(longestPlay, func() { r.Abort("it took too long") })
	return r
}

// CannotRun ends the play of a case that could not be run.
func CannotRun(cause any) {
	fmt.Fprintln(os.Stderr, "the case could not run:", cause)
	os.Exit(2)
}

// Abort ends the play as one that could not run, after it has ended what it started.
func (r *Run) Abort(cause any) {
	r.Note("could not run: %v", cause)
	r.clean()
	CannotRun(cause)
}

// Defer registers a function that is called when the play ends, the last one first.
func (r *Run) Defer(cleanup func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cleanups = append(r.cleanups, cleanup)
}

// Now is the time since the begin of the play.
func (r *Run) Now() time.Duration { return time.Since(r.start) }

// Note writes a line to the record.
func (r *Run) Note(format string, args ...any) {
	line := fmt.Sprintf("%9.3f %s\n", r.Now().Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.WriteString(line)
}

// Broken records that the rule was broken.
func (r *Run) Broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.Note("BROKEN: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = append(r.failures, text)
}

func (r *Run) clean() {
	for {
		r.mu.Lock()
		last := len(r.cleanups) - 1
		if last < 0 {
			r.mu.Unlock()
			return
		}
		cleanup := r.cleanups[last]
		r.cleanups = r.cleanups[:last]
		r.mu.Unlock()
		cleanup()
	}
}

// End ends the play: exit code 1 if the rule was broken, otherwise 0.
func (r *Run) End() {
	r.clean()
	r.mu.Lock()
	failures := r.failures
	r.mu.Unlock()
	if len(failures) == 0 {
		r.Note("the rule held")
		fmt.Println("the rule held")
		os.Exit(0)
	}
	r.Note("the rule was broken %d times", len(failures))
	fmt.Printf("the rule was broken %d times; the first: %s\n", len(failures), failures[0])
	os.Exit(1)
}

// acknowledged records that a scheduler has taken the result of a request. Where tenants are hosted, workers
// know the request by its tenant's handle and the client's id.
func (r *Run) acknowledged(id string) {
	if _, own, hosted := strings.Cut(id, "~"); hosted {
		id = own
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results[id] = time.Since(r.start)
}

// CheckResult checks that a request whose result was taken while its client waited, with half a second or more
// left, was answered with that result.
func (r *Run) CheckResult(q *Request) {
	r.mu.Lock()
	at, taken := r.results[q.ID]
	r.mu.Unlock()
	if taken && at < q.Ended && at < q.Sent+q.Budget-500*time.Millisecond && q.Status != 200 {
		r.Broken("%s %s: its result was taken with 200 or 204 at %.3f, and its client was answered %d at %.3f (%v)",
			q.Class, q.ID, at.Seconds(), q.Status, q.Ended.Seconds(), q.Failure)
	}
}

// CheckAnswer checks that a request got a whole answer no later than half a second after its time.
func (r *Run) CheckAnswer(q *Request) {
	if took := q.Ended - q.Sent; q.Status == 0 || took > q.Budget+500*time.Millisecond {
		r.Broken("%s %s: status %d (0: none) %v after it was sent, with a budget of %v (%v)",
			q.Class, q.ID, q.Status, took.Round(time.Millisecond), q.Budget, q.Failure)
	}
}

// host returns a loopback address of this play. What only reserves a port has another one than what listens at once, as
// a port that was just found to be free may be given out again.
func host(number int) string {
	return fmt.Sprintf("127.%d.%d.%d", 100+number, os.Getpid()>>8&255, 1+os.Getpid()&127)
}

// FreeAddr returns a loopback address at which nothing listens, and returns none twice.
func (r *Run) FreeAddr() string {
	for {
		l, err := net.Listen("tcp", host(0)+":0")
		if err != nil {
			r.Abort(err)
		}
		addr := l.Addr().String()
		l.Close()
		r.mu.Lock()
		known := r.reserved[addr]
		r.reserved[addr] = true
		r.mu.Unlock()
		if !known {
			return addr
		}
	}
}

// listen listens at a free loopback address.
func (r *Run) listen() net.Listener {
	l, err := net.Listen("tcp", host(1)+":0")
	if err != nil {
		r.Abort(err)
	}
	return l
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// runCommand returns the command of the deploy file that starts a scheduler.
func (r *Run) runCommand() string {
	text, err := os.ReadFile(filepath.Join(r.Root, "deploy", "balancer.toml"))
	if err != nil {
		r.Abort(err)
	}
	found := runLine.FindSubmatch(text)
	if found == nil {
		r.Abort("deploy/balancer.toml has no run")
	}
	return string(found[1])
}
