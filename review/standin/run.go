// Package standin holds what the cases of the review share: the start of the program by the command
// of the deploy file, and small stand-ins of clients, workers and discovery. All addresses are
// loopback addresses.
package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// longestRun ends a case that does not end by itself.
const longestRun = 110 * time.Second

// Run is one run of a case.
type Run struct {
	Trouble bool // false: the same without the disruption
	Root    string
	Temp    string

	start   time.Time
	mu      sync.Mutex
	record  *os.File
	started []*Process
	done    bool
}

// Process is one process of the scheduler.
type Process struct {
	Name string
	cmd  *exec.Cmd
	out  *os.File
	gone chan struct{}
}

// Open begins a run. The working folder is the repository's root, and the first argument is the folder
// of the case.
func Open() *Run {
	runtime.LockOSThread() // the processes started here end with this thread
	dir := os.Args[1]
	root, err := os.Getwd()
	if err != nil {
		panic(err)
	}
	r := &Run{Trouble: os.Getenv("TROUBLE") != "0", Root: root, start: time.Now()}
	r.record, err = os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	r.Temp, err = os.MkdirTemp("", "review-")
	if err != nil {
		r.Fail("no temporary folder: %v", err)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		select {
		case <-stop:
			r.Fail("told to stop")
		case <-time.After(longestRun):
			r.Fail("not done after %v", longestRun)
		}
	}()
	r.Log("trouble=%v", r.Trouble)
	return r
}

// Since returns the time since the start of the run.
func (r *Run) Since() time.Duration { return time.Since(r.start) }

// Log writes one line to record.txt.
func (r *Run) Log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Fail ends the run as one that could not be played.
func (r *Run) Fail(format string, args ...any) {
	r.End(NotRun, "could not run: "+fmt.Sprintf(format, args...))
}

// End ends all processes and exits with a code.
func (r *Run) End(code int, verdict string) {
	r.mu.Lock()
	if r.done {
		r.mu.Unlock()
		select {}
	}
	r.done = true
	started := r.started
	r.mu.Unlock()
	for _, p := range started {
		p.cmd.Process.Kill()
	}
	for _, p := range started {
		<-p.gone
		text, _ := os.ReadFile(p.out.Name())
		for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
			r.Log("log of %s: %s", p.Name, line)
		}
	}
	r.Log("verdict: %s", verdict)
	fmt.Println(verdict)
	os.RemoveAll(r.Temp)
	os.Exit(code)
}

// runCommand returns the command of the deploy file that starts a scheduler.
func (r *Run) runCommand() string {
	text, err := os.ReadFile(filepath.Join(r.Root, "deploy", "balancer.toml"))
	if err != nil {
		r.Fail("%v", err)
	}
	found := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(text)
	if found == nil {
		r.Fail("the deploy file has no run command")
	}
	return string(found[1])
}

// WriteConfig replaces a configuration file at once and returns its path.
func (r *Run) WriteConfig(name string, config map[string]any) string {
	path := filepath.Join(r.Temp, name+".json")
	text, err := json.MarshalIndent(config, "", " ")
	if err == nil {
		err = os.WriteFile(path+".new", text, 0o600)
	}
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	if err != nil {
		r.Fail("%v", err)
	}
	return path
}

// Start starts a scheduler by the command of the deploy file. All processes of a run share TMPDIR.
func (r *Run) Start(name, configPath string) *Process {
	out, err := os.Create(filepath.Join(r.Temp, name+".log"))
	if err != nil {
		r.Fail("%v", err)
	}
	shared := filepath.Join(r.Temp, "tmp")
	os.Mkdir(shared, 0o700)
	p := &Process{Name: name, out: out, gone: make(chan struct{})}
	p.cmd = exec.Command("/bin/sh", "-c", r.runCommand())
	p.cmd.Dir = r.Root
	p.cmd.Env = append(os.Environ(), "PROXY_CONFIG="+configPath, "TMPDIR="+shared)
	p.cmd.Stdout = out
	p.cmd.Stderr = out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		r.Fail("%v", err)
	}
	r.mu.Lock()
	r.started = append(r.started, p)
	r.mu.Unlock()
	r.Log("process %s started, pid %d", name, p.cmd.Process.Pid)
	go func() {
		p.cmd.Wait()
		r.Log("process %s ended: %v", name, p.cmd.ProcessState)
		close(p.gone)
	}()
	return p
}

// Signal sends a signal to a process that this run has started.
func (r *Run) Signal(p *Process, s syscall.Signal) {
	r.Log("process %s gets signal %v", p.Name, s)
	p.cmd.Process.Signal(s)
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.gone:
		return true
	default:
		return false
	}
}

// FreeAddress returns a loopback address at which nobody listens.
func (r *Run) FreeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.Fail("%v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

// WaitFor waits until a condition holds, and reports whether it does within the time.
func (r *Run) WaitFor(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}
