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
	stderrTailBytes   = 4000        // end of a process's standard error that is reported
	exitNoticeTimeout = time.Second // wait for the exit of a process whose pipe or files have failed
)

// process is a child process of a run: a real scheduler or a hollow process.
type process struct {
	name   string
	cmd    *exec.Cmd
	stdin  io.WriteCloser // of a hollow process
	stdout *json.Decoder  // of a hollow process
	stderr *tailBuffer
	exited chan struct{} // closed when the process has exited
	err    error         // how the process exited; set before exited is closed
}

// tailBuffer is a writer that keeps the last stderrTailBytes written to it.
type tailBuffer struct {
	mu   sync.Mutex
	text []byte
}

// Write appends bytes and drops the oldest ones. It never fails.
func (t *tailBuffer) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text = append(t.text, b...)
	t.text = t.text[max(0, len(t.text)-stderrTailBytes):]
	return len(b), nil
}

// String returns the bytes kept, without surrounding white space.
func (t *tailBuffer) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.TrimSpace(string(t.text))
}

// newProcess prepares a command to run as a child process of the rig.
func newProcess(name string, cmd *exec.Cmd) *process {
	p := &process{name: name, cmd: cmd, stderr: &tailBuffer{}, exited: make(chan struct{})}
	cmd.Stderr = p.stderr
	// The kernel kills the child when this process dies in any way, so that no child is left behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return p
}

// openPipes opens the pipes of a hollow process that has not been started yet.
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

// start starts the process. When it has exited, p is sent to exits.
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

// exitError describes how the process has exited.
func (p *process) exitError() error {
	return fmt.Errorf("%s has ended: %v: %s", p.name, p.err, p.stderr)
}

// explain returns the exit error if the process exits within exitNoticeTimeout, otherwise the given
// error with the name of the process.
func (p *process) explain(err error) error {
	select {
	case <-p.exited:
		return p.exitError()
	case <-time.After(exitNoticeTimeout):
		return fmt.Errorf("%s: %w", p.name, err)
	}
}

// configure sends a hollow process its configuration and returns the statistics that it reports when
// it is ready.
func (p *process) configure(config HollowConfig) (Stats, error) { return p.exchange(config) }

// execute sends an order to a hollow process and returns its answer.
func (p *process) execute(order Order) (Stats, error) { return p.exchange(order) }

// exchange sends one line of JSON to a hollow process and reads its answer.
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

// kill kills the process and waits for its exit.
func (p *process) kill() {
	if p.stdin != nil {
		p.stdin.Close()
	}
	p.cmd.Process.Kill()
	<-p.exited
}
