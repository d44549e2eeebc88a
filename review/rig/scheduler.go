package rig

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Scheduler is one process of the program.
type Scheduler struct {
	Name    string // in the record
	Listen  string
	Admin   string
	LogFile string
	Exited  chan struct{} // closed once the process has ended

	run *Run
	cmd *exec.Cmd
}

// WriteConfig writes a configuration file and returns its path. The file appears whole.
func (r *Run) WriteConfig(name string, config map[string]any) string {
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		r.Abort(err)
	}
	path := filepath.Join(r.Dir, name)
	err = os.WriteFile(path+".new", text, 0o600)
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	if err != nil {
		r.Abort(err)
	}
	return path
}

// Start starts a scheduler with the deploy file's command. Processes with the same tmp share $TMPDIR.
func (r *Run) Start(name, configPath, listen, tmp string) *Scheduler {
	s := &Scheduler{
		Name:    name,
		Listen:  listen,
		Admin:   r.FreeAddr(),
		LogFile: filepath.Join(r.Dir, "log-"+name),
		Exited:  make(chan struct{}),
		run:     r,
	}
	tmpDir := filepath.Join(r.Dir, tmp)
	os.MkdirAll(tmpDir, 0o700)
	s.cmd = exec.Command("/bin/sh", "-c", r.runCommand())
	s.cmd.Dir = r.Root
	s.cmd.Env = append(os.Environ(), "TMPDIR="+tmpDir, "PROXY_CONFIG="+configPath, "PROXY_ADMIN="+s.Admin)
	log, err := os.Create(s.LogFile)
	if err != nil {
		r.Abort(err)
	}
	s.cmd.Stderr = log
	s.cmd.Stdout = log
	if err := s.cmd.Start(); err != nil {
		r.Abort(err)
	}
	log.Close()
	r.Note("%s: started", name)
	r.Defer(s.end)
	go func() {
		err := s.cmd.Wait()
		r.Note("%s: ended: %v", name, err)
		close(s.Exited)
	}()
	return s
}

// end kills the process if it still runs, and waits for its end.
func (s *Scheduler) end() {
	select {
	case <-s.Exited:
	default:
		s.cmd.Process.Kill()
		<-s.Exited
	}
}

// PID returns the process id.
func (s *Scheduler) PID() int { return s.cmd.Process.Pid }

// Signal sends a signal to the process.
func (s *Scheduler) Signal(signal syscall.Signal) {
	s.run.Note("%s: %v", s.Name, signal)
	s.cmd.Process.Signal(signal)
}

// Running reports whether the process has not ended.
func (s *Scheduler) Running() bool {
	select {
	case <-s.Exited:
		return false
	default:
		return true
	}
}

// AdminCommand sends an operator's command and returns the first line of the answer.
func (s *Scheduler) AdminCommand(command string) string {
	c, err := net.DialTimeout("tcp", s.Admin, time.Second)
	if err != nil {
		return ""
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(c, "%s\n", command)
	line, _ := bufio.NewReader(c).ReadString('\n')
	return strings.TrimSpace(line)
}

// AwaitReady waits until the process says at its admin address that it is ready.
func (s *Scheduler) AwaitReady(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if s.AdminCommand("status") == "+OK ready" {
			s.run.Note("%s: ready", s.Name)
			return
		}
	}
	s.run.Abort(s.Name + " did not become ready: " + s.LogTail())
}

// LogTail returns the end of the process's log.
func (s *Scheduler) LogTail() string {
	f, err := os.Open(s.LogFile)
	if err != nil {
		return ""
	}
	defer f.Close()
	text, _ := io.ReadAll(f)
	return string(text[max(0, len(text)-600):])
}

// LogHas reports whether the process's log holds a text.
func (s *Scheduler) LogHas(text string) bool {
	all, _ := os.ReadFile(s.LogFile)
	return strings.Contains(string(all), text)
}
