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
	stderrTailBytes   = 4000        // bytes of a process's standard error that are reported
	exitNoticeTimeout = time.Second // in which the end of a process is known after its pipe or its files have failed
)

// process is one that a run has started: a real scheduler or a hollow one.
type process struct {
	name   string
	cmd    *exec.Cmd
	stdin  io.WriteCloser // of a hollow one
	stdout *json.Decoder  // of a hollow one
	stderr *tailBuffer
	exited chan struct{} // closed at its exit
	err    error         // of its exit
}

// tailBuffer is a writer that keeps the last bytes written.
type tailBuffer struct {
	mu   sync.Mutex
	text []byte
}

func (t *tailBuffer) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text = append(t.text, b...)
	t.text = t.text[max(0, len(t.text)-stderrTailBytes):]
	return len(b), nil
}

func (t *tailBuffer) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.TrimSpace(string(t.text))
}

func newProcess(name string, cmd *exec.Cmd) *process {
	p := &process{name: name, cmd: cmd, stderr: &tailBuffer{}, exited: make(chan struct{})}
	cmd.Stderr = p.stderr
	// Whatever becomes of this process, the other is not left behind: the kernel kills it too.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return p
}

// openPipes opens the pipes of a hollow process that has not been started.
func (p *process) openPipes() error {
	stdin, err := p.cmd.StdinPipe()
	if err != nil {
		return err
	}
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	p.stdin = stdin
	p.stdout = json.NewDecoder(stdout)
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
	case <-time.After(exitNoticeTimeout):
		return fmt.Errorf("%s: %w", p.name, err)
	}
}

// configure sends a hollow process what it emulates, and returns what it says when it is ready.
func (p *process) configure(config HollowConfig) (Stats, error) { return p.exchange(config) }

// execute has a hollow process execute an order.
func (p *process) execute(order Order) (Stats, error) { return p.exchange(order) }

func (p *process) exchange(line any) (stats Stats, err error) {
	err = json.NewEncoder(p.stdin).Encode(line)
	if err == nil {
		err = p.stdout.Decode(&stats)
	}
	if err != nil {
		return stats, p.explain(err)
	}
	return stats, nil
}

func (p *process) kill() {
	if p.stdin != nil {
		p.stdin.Close()
	}
	p.cmd.Process.Kill()
	<-p.exited
}
