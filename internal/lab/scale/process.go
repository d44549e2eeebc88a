package scale

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is one that a run has started: a real scheduler or a hollow one.
type process struct {
	name  string
	cmd   *exec.Cmd
	in    io.WriteCloser
	out   *json.Decoder
	said  *tail
	ended chan struct{}
	err   error // of its end
}

// tail keeps the last of what a process says on its standard error.
type tail struct {
	mu   sync.Mutex
	text []byte
}

func (t *tail) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text = append(t.text, b...)
	t.text = t.text[max(0, len(t.text)-4000):]
	return len(b), nil
}

func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.TrimSpace(string(t.text))
}

// start starts one. Whatever becomes of us, it is not left behind: the kernel kills it with us.
func start(name string, cmd *exec.Cmd, talks bool, died chan<- *process) (*process, error) {
	p := &process{name: name, cmd: cmd, said: &tail{}, ended: make(chan struct{})}
	cmd.Stderr = p.said
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if talks {
		in, err := cmd.StdinPipe()
		if err != nil {
			return nil, err
		}
		out, err := cmd.StdoutPipe()
		if err != nil {
			return nil, err
		}
		p.in, p.out = in, json.NewDecoder(out)
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	go func() {
		state, err := cmd.Process.Wait()
		if p.err = err; err == nil {
			p.err = errors.New(state.String())
		}
		close(p.ended)
		died <- p
	}()
	return p, nil
}

func (p *process) fault() error {
	return fmt.Errorf("%s has ended: %v: %s", p.name, p.err, p.said)
}

// order has a hollow process carry something out.
func (p *process) order(o any) (s Stats, err error) {
	if err = json.NewEncoder(p.in).Encode(o); err == nil {
		err = p.out.Decode(&s)
	}
	if err != nil {
		select {
		case <-p.ended:
			return s, p.fault()
		case <-time.After(time.Second):
			return s, fmt.Errorf("%s: %w", p.name, err)
		}
	}
	return s, nil
}

func (p *process) kill() {
	if p.in != nil {
		p.in.Close()
	}
	p.cmd.Process.Kill()
	<-p.ended
}

// usage is what the kernel knows of a process.
type usage struct {
	CPU, System time.Duration // of user and system; of system alone
	RSS, Peak   int64         // bytes
	Descriptors int
}

// ticks of the kernel a second, in which it counts processor time for all to see.
const ticks = 100

func used(pid int) (u usage, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	// The name, in brackets, may hold anything.
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	if len(fields) < 13 {
		return u, fmt.Errorf("/proc/%d/stat: can't be read", pid)
	}
	for _, f := range fields[11:13] {
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return u, err
		}
		u.System = time.Duration(n) * time.Second / ticks // which comes last
		u.CPU += u.System
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u, err
	}
	for line := range strings.Lines(string(status)) {
		for name, to := range map[string]*int64{"VmRSS:": &u.RSS, "VmHWM:": &u.Peak} {
			if rest, is := strings.CutPrefix(line, name); is {
				kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
				*to = kb << 10
			}
		}
	}
	fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	u.Descriptors = len(fds)
	return u, err
}
