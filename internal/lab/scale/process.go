package scale

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	stderrTail   = 4000        // bytes of a process's standard error that are reported
	exitNoticeIn = time.Second // in which the end of a process is known after its pipe or its files have failed
)

// process is one that a run has started: a real scheduler or a hollow one.
type process struct {
	name   string
	cmd    *exec.Cmd
	in     io.WriteCloser // of a hollow one
	out    *json.Decoder  // of a hollow one
	stderr *tail
	exited chan struct{} // closed at its exit
	err    error         // of its exit
}

// tail is a writer that keeps the last bytes written.
type tail struct {
	mu   sync.Mutex
	text []byte
}

func (t *tail) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text = append(t.text, b...)
	t.text = t.text[max(0, len(t.text)-stderrTail):]
	return len(b), nil
}

func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.TrimSpace(string(t.text))
}

func newProcess(name string, cmd *exec.Cmd) *process {
	p := &process{name: name, cmd: cmd, stderr: &tail{}, exited: make(chan struct{})}
	cmd.Stderr = p.stderr
	// Whatever becomes of this process, the other is not left behind: the kernel kills it too.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return p
}

// connect opens the pipes of a hollow process that has not been started.
func (p *process) connect() error {
	in, err := p.cmd.StdinPipe()
	if err != nil {
		return err
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	p.in = in
	p.out = json.NewDecoder(out)
	return nil
}

// start starts it; its exit is sent to exits too.
func (p *process) start(exits chan<- *process) error {
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	go func() {
		state, err := p.cmd.Process.Wait()
		if err == nil {
			err = errors.New(state.String())
		}
		p.err = err
		close(p.exited)
		exits <- p
	}()
	return nil
}

// exitError says how it has exited.
func (p *process) exitError() error {
	return fmt.Errorf("%s has ended: %v: %s", p.name, p.err, p.stderr)
}

// explain returns the error of its exit, or the given one where it goes on.
func (p *process) explain(err error) error {
	select {
	case <-p.exited:
		return p.exitError()
	case <-time.After(exitNoticeIn):
		return fmt.Errorf("%s: %w", p.name, err)
	}
}

// begin sends a hollow process what it emulates, and returns what it says when it is ready.
func (p *process) begin(part Part) (Stats, error) { return p.exchange(part) }

// execute has a hollow process execute an order.
func (p *process) execute(o Order) (Stats, error) { return p.exchange(o) }

func (p *process) exchange(line any) (stats Stats, err error) {
	err = json.NewEncoder(p.in).Encode(line)
	if err == nil {
		err = p.out.Decode(&stats)
	}
	if err != nil {
		return stats, p.explain(err)
	}
	return stats, nil
}

func (p *process) kill() {
	if p.in != nil {
		p.in.Close()
	}
	p.cmd.Process.Kill()
	<-p.exited
}
