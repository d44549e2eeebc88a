// Package soak plays a few dozen real schedulers on loopback, with workers, clients and a list of workers of its own, while troubles
// that a seed draws overlap in time. What the peers see of each request is held against the rules; so is what the schedulers' own guards count.
package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Config is one play.
type Config struct {
	Program    string // the scheduler's
	Dir        string // for logs and configurations
	Seed       int64
	Schedulers int
	Workers    int
	Clients    int           // a scheduler
	Span       time.Duration // of the troubles; the start and the end come on top
	Only       []string      // troubles, by name; empty: all
}

// Find is one broken rule, with what shows it.
type Find struct {
	Rule, Request, Detail string
}

// String is a find as a line.
func (f Find) String() string { return fmt.Sprintf("%s: %s: %s", f.Rule, f.Request, f.Detail) }

// Report is what came of a play.
type Report struct {
	Seed     int64
	Troubles []Played
	Answers  map[string]int // by status or fate
	Attempts int
	Leaves   int
	Ready    time.Duration // the longest that a scheduler took to say yes
	Finds    []Find
}

// Played is a trouble that was played.
type Played struct {
	At   time.Duration
	Name string
	On   string
}

const (
	settle   = time.Second            // before the first trouble
	between  = 600 * time.Millisecond // between crossings
	together = 250 * time.Millisecond // in which the troubles of one crossing begin
	// A scheduler that is stopped has ended by then: the longest client timeout and 0.7 s.
	stopWithin = longestTimeout + 700*time.Millisecond
	readyMost  = 10 * time.Second
)

// play is one play under way.
type play struct {
	Config
	ctx        context.Context
	rng        *rand.Rand
	books      *books
	list       *list
	workers    []*worker
	schedulers []*scheduler
	began      time.Time
	load       sync.WaitGroup // clients
	troubles   sync.WaitGroup
	mu         sync.Mutex
	wall       time.Duration // by which the wall clock of the machine has been stepped
	played     []Played
	answers    map[string]int
	leaving    float64 // part of the requests whose client leaves
	patience   float64 // of the usual time between two requests of a client
}

// Run plays a seed. An error says that it could not be played.
func Run(ctx context.Context, c Config) (*Report, error) {
	if c.Schedulers < 1 || c.Workers < zones {
		return nil, errors.New("a play wants a scheduler, and a worker for each zone")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := &play{Config: c, ctx: ctx, rng: rand.New(rand.NewSource(c.Seed)), books: newBooks(), answers: map[string]int{}, leaving: 0.05, patience: 1}
	if err := p.open(); err != nil {
		p.close()
		return nil, err
	}
	ready := p.awaitReady()
	p.began = time.Now()
	halt := p.beginLoad()
	time.Sleep(settle)
	p.playTroubles()
	p.troubles.Wait()
	time.Sleep(settle)
	halt()
	var stops []func()
	for _, s := range p.schedulers {
		stops = append(stops, func() { s.stop(p) })
	}
	concurrently(stops)
	p.close()
	r := &Report{Seed: c.Seed, Troubles: p.played, Answers: p.answers, Ready: ready}
	p.books.judge(p, r)
	return r, nil
}

func (p *play) open() error {
	var err error
	if p.list, err = newList(p); err != nil {
		return err
	}
	for n := range p.Workers {
		w, err := newWorker(p, n)
		if err != nil {
			return err
		}
		p.workers = append(p.workers, w)
	}
	p.list.publish()
	for n := range p.Schedulers {
		s, err := newScheduler(p, n)
		if err != nil {
			return err
		}
		p.schedulers = append(p.schedulers, s)
		if err := s.start(p); err != nil {
			return err
		}
	}
	return nil
}

func (p *play) close() {
	for _, s := range p.schedulers {
		s.kill()
	}
	if p.list != nil {
		p.list.close()
	}
	for _, w := range p.workers {
		w.close()
	}
}

func (p *play) awaitReady() (longest time.Duration) {
	for _, s := range p.schedulers {
		longest = max(longest, s.awaitReady(p))
	}
	return longest
}

// discovery is how changes of the list come: every other seed has them pushed.
func (p *play) discovery() string {
	if p.pushed() {
		return "push"
	}
	return "ask"
}

func (p *play) pushed() bool { return p.Seed%2 == 0 }

// now is the time since the clients began.
func (p *play) now() time.Duration { return time.Since(p.began) }

// bootMS is the wall clock of the machine as workers report it.
func (p *play) bootMS() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Add(p.wall).UnixMilli()
}

func (p *play) count(what string) {
	p.mu.Lock()
	p.answers[what]++
	p.mu.Unlock()
}

// log is where a scheduler's runs write.
func (p *play) log(name string) (*os.File, error) {
	return os.OpenFile(filepath.Join(p.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
}
