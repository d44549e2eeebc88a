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

// Program is an external program that makes the decisions, over the simulator's protocol: another
// build of the decision module, or a baseline.
type Program struct {
	command string
	process *exec.Cmd
	input   io.WriteCloser
	host    *simwire.Host
	err     error
}

// StartProgram starts a program by a shell command line. The program is killed when this process
// exits.
func StartProgram(command string) (*Program, error) {
	process := exec.Command("/bin/sh", "-c", "exec "+command)
	process.Stderr = os.Stderr
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	input, err := process.StdinPipe()
	if err != nil {
		return nil, err
	}
	output, err := process.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := process.Start(); err != nil {
		return nil, err
	}
	return &Program{command: command, process: process, input: input, host: simwire.NewHost(input, output)}, nil
}

// Close ends the program's input and waits for its exit.
func (p *Program) Close() error {
	p.input.Close()
	return p.process.Wait()
}

// Err returns the error after which the program makes no more decisions, or nil if there was none.
func (p *Program) Err() error { return p.err }

// DeciderFactory returns a DeciderFactory whose deciders forward to the program. clock returns the
// time of the run.
func (p *Program) DeciderFactory(clock func() time.Duration) DeciderFactory {
	return func(scheduler int, seed int64, settingsJSON []byte) (Decider, error) {
		deployment, err := settings.ParseDeployment(settingsJSON)
		if err != nil {
			return nil, err
		}
		return &instance{
			program:      p,
			scheduler:    uint32(scheduler),
			startedAt:    clock(),
			report:       deployment.Report,
			seed:         uint64(seed),
			settingsJSON: settingsJSON,
		}, nil
	}
}

// instance is the Decider of one incarnation of a scheduler. All instances share the program.
type instance struct {
	program      *Program
	scheduler    uint32
	startedAt    time.Duration
	report       settings.Report
	seed         uint64
	settingsJSON []byte // of the scheduler
	started      bool   // its start has been sent to the program
}

// Handle sends the events to the program and returns its actions. After an error of the program it
// returns none.
func (i *instance) Handle(now time.Duration, events []dispatch.Event) []dispatch.Action {
	p := i.program
	if p.err != nil {
		return nil
	}
	i.start()
	for _, event := range events {
		p.err = p.host.AddEvent(i.scheduler, i.startedAt, i.report, event)
		if p.err != nil {
			return nil
		}
	}
	var actions []dispatch.Action
	startedAt := func(uint32) time.Duration { return i.startedAt }
	err := p.host.Exchange(i.startedAt+now, startedAt, func(scheduler uint32, action dispatch.Action) {
		if scheduler == i.scheduler {
			actions = append(actions, action)
		}
	})
	if err != nil {
		p.err = fmt.Errorf("exec %s: %w", p.command, err)
	}
	return actions
}

// start starts the instance at the program before its first events, and replaces the instance of an
// earlier incarnation.
func (i *instance) start() {
	if i.started {
		return
	}
	i.started = true
	i.program.host.StopInstance(i.scheduler)
	i.program.host.StartInstance(i.scheduler, i.seed, i.settingsJSON)
}
