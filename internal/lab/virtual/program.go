package virtual

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"syscall"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/settings"
	"stoatweir/internal/simwire"
)

// Program is a program that decides, on the simulator's wire: another build's decisions, or a baseline.
type Program struct {
	cmd  *exec.Cmd
	in   io.WriteCloser
	host *simwire.Host
	err  error
}

// Run starts a program by a command line. It ends with us.
func Run(command string) (*Program, error) {
	p := &Program{cmd: exec.Command("/bin/sh", "-c", "exec "+command)}
	p.cmd.Stderr = os.Stderr
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var err error
	if p.in, err = p.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	p.host = simwire.NewHost(p.in, out)
	return p, nil
}

// Close lets the program end.
func (p *Program) Close() error {
	p.in.Close()
	return p.cmd.Wait()
}

// Err is what has gone wrong with it.
func (p *Program) Err() error { return p.err }

// instance is one scheduler of a program.
type instance struct {
	*Program
	scheduler uint32
	base      time.Duration
	report    settings.Report
	begin     func() // tells the program of it, with the first events
}

// Maker makes schedulers of the program; clock tells the day's time.
func (p *Program) Maker(clock func() time.Duration) DeciderFactory {
	return func(scheduler int, seed int64, text []byte) (Decider, error) {
		site, err := settings.ParseDeployment(text)
		if err != nil {
			return nil, err
		}
		i := &instance{Program: p, scheduler: uint32(scheduler), base: clock(), report: site.Report}
		i.begin = func() {
			p.host.StopInstance(i.scheduler)
			p.host.StartInstance(i.scheduler, uint64(seed), text)
		}
		return i, nil
	}
}

// Handle hands events on and brings the actions back.
func (i *instance) Handle(now time.Duration, events []dispatch.Event) (actions []dispatch.Action) {
	if i.err != nil {
		return nil
	}
	if i.begin != nil {
		i.begin()
		i.begin = nil
	}
	for _, e := range events {
		if i.err = i.host.AddEvent(i.scheduler, i.base, i.report, e); i.err != nil {
			return nil
		}
	}
	base := func(uint32) time.Duration { return i.base }
	if err := i.host.Exchange(i.base+now, base, func(n uint32, a dispatch.Action) {
		if n == i.scheduler {
			actions = append(actions, a)
		}
	}); err != nil {
		i.Program.err = fmt.Errorf("%s: %w", i.cmd.Args[2], err)
	}
	return actions
}
