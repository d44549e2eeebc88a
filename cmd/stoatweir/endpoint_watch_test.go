package main

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"stoatweir/dispatch"
	"stoatweir/internal/discovery"
	"stoatweir/internal/lifecycle"
	"stoatweir/internal/settings"
	"stoatweir/internal/takeover"
)

// The tests of this file run complete services, from settings to event loop, in the virtual time of
// a synctest bubble. Connections are pipes, and a fake discovery fails at times that are set to the
// millisecond.

// failureMode is the way in which discovery fails during an outage.
type failureMode int

const (
	available         failureMode = iota
	connectionRefused             // connections are refused
	connectionTimeout             // dials time out
	neverAnswers                  // calls are accepted and never answered, not even after the outage
	answersOnReturn               // calls are accepted, and answered at the end of the outage
	rejectsWith503
	listTruncated // the answer ends in the middle of its list
	listStalls    // the header and half a list come late, and then nothing more
)

// failureModeNames are the names of the failure modes in subtests and logs.
var failureModeNames = []string{"up", "refused", "lost", "mute", "kept", "unavailable", "broken", "stalled"}

// fakeDiscovery is a discovery for any number of schedulers. It answers calls one after the other.
type fakeDiscovery struct {
	start                 time.Time
	failure               failureMode
	failsFrom, failsUntil time.Duration // start and end of the outage, since start
	silentWatches         bool          // watches open at the start of the outage fall silent instead of being reset
	serviceTime           time.Duration // time for which a call keeps it busy
	answerDelay           time.Duration // further delay of each answer, during which other calls are served; if addressMoves, only at the new address
	queueTimeout          time.Duration // calls that wait for longer are rejected; 0: none
	drainsAt              time.Duration // when the worker begins to drain; 0: at the end of the outage
	addressMoves          bool          // at the start of the outage the old address closes and another, which fails, opens

	mu        sync.Mutex
	closed    bool
	busyUntil time.Time
	callTimes []time.Duration
	openConns map[net.Conn]bool
}

// now returns the time since start.
func (d *fakeDiscovery) now() time.Duration { return time.Since(d.start) }

// currentFailure returns how discovery fails at this time.
func (d *fakeDiscovery) currentFailure() failureMode {
	if now := d.now(); now >= d.failsFrom && now < d.failsUntil {
		return d.failure
	}
	return available
}

// DialContext connects to discovery. Dials of all other addresses are refused.
func (d *fakeDiscovery) DialContext(ctx context.Context, _, addr string) (net.Conn, error) {
	refusedErr := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	d.mu.Lock()
	defer d.mu.Unlock()
	if addr != discoveryAddr && addr != movedAddr || d.closed {
		return nil, refusedErr
	}
	d.callTimes = append(d.callTimes, d.now())
	failure := d.currentFailure()
	if d.addressMoves && addr == discoveryAddr {
		if failure = available; d.now() >= d.failsFrom {
			return nil, refusedErr
		}
	}
	switch failure {
	case connectionRefused:
		return nil, refusedErr
	case connectionTimeout:
		d.mu.Unlock()
		<-ctx.Done()
		d.mu.Lock()
		return nil, ctx.Err()
	}
	schedulerEnd, discoveryEnd := net.Pipe()
	d.openConns[discoveryEnd] = true
	go d.serve(discoveryEnd, failure, addr)
	return schedulerEnd, nil
}

const discoveryAddr, movedAddr = "127.0.0.1:1", "127.0.0.1:2"

const listResponseHeader = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func (d *fakeDiscovery) endpointList() string {
	revision, state := 1, "Ready"
	if now := d.now(); now >= cmp.Or(d.drainsAt, d.failsUntil) {
		revision, state = 2, "Terminating"
	}
	return fmt.Sprintf("{\"rev\":%d,\"all\":true,\"targets\":[{\"uid\":\"s-1\",\"endpoint\":\"127.0.0.1:9\",\"state\":%q}]}\n",
		revision, state)
}

func encodeChunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func (d *fakeDiscovery) serve(conn net.Conn, failure failureMode, addr string) {
	defer func() {
		d.mu.Lock()
		delete(d.openConns, conn)
		d.mu.Unlock()
		conn.Close()
	}()
	if _, _, err := readMessage(bufio.NewReader(conn)); err != nil {
		return
	}
	callerGone := make(chan struct{})
	go func() { // notices at once that the caller ends the call
		io.Copy(io.Discard, conn)
		close(callerGone)
	}()
	wait := func(duration time.Duration) bool {
		select {
		case <-callerGone:
			return false
		case <-time.After(duration):
			return true
		}
	}
	switch failure {
	case neverAnswers:
		<-callerGone
		return
	case answersOnReturn:
		if !wait(d.failsUntil - d.now()) {
			return
		}
	case rejectsWith503:
		io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return
	case listTruncated, listStalls:
		if failure == listStalls && !wait(2900*time.Millisecond) {
			return
		}
		io.WriteString(conn, listResponseHeader+encodeChunk(d.endpointList()[:30]))
		if failure == listStalls {
			<-callerGone
		}
		return
	}
	// Calls are served one after the other. A call that the caller has given up takes its time as
	// well, because the server notices only when it answers.
	d.mu.Lock()
	d.busyUntil = time.Unix(0, max(d.busyUntil.UnixNano(), time.Now().UnixNano())).Add(d.serviceTime)
	waitTime := time.Until(d.busyUntil)
	d.mu.Unlock()
	if d.queueTimeout > 0 && waitTime > d.queueTimeout {
		if wait(d.queueTimeout) {
			io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		}
		return
	}
	answerDelay := d.answerDelay
	if d.addressMoves && addr == discoveryAddr {
		answerDelay = 0
	}
	if !wait(waitTime + answerDelay) {
		return
	}
	lastList := d.endpointList()
	if _, err := io.WriteString(conn, listResponseHeader+encodeChunk(lastList)); err != nil {
		return
	}
	for iteration := 0; ; iteration++ {
		if !wait(200 * time.Millisecond) {
			return
		}
		if isOldAddress := d.addressMoves && addr == discoveryAddr; isOldAddress && d.now() < d.failsFrom+1500*time.Millisecond {
			if iteration%10 == 0 {
				io.WriteString(conn, encodeChunk("\n"))
			}
			continue // changes are sent only at the new address
		} else if isOldAddress || d.currentFailure() != available {
			if d.silentWatches {
				<-callerGone
			}
			return
		}
		if current := d.endpointList(); current != lastList {
			lastList = current
			io.WriteString(conn, encodeChunk(current))
		} else if iteration%10 == 0 {
			io.WriteString(conn, encodeChunk("\n"))
		}
	}
}

// close ends all calls and refuses new ones. Dials that are waiting for their timeout give up
// within a second.
func (d *fakeDiscovery) close() {
	d.mu.Lock()
	d.closed = true
	for c := range d.openConns {
		c.Close()
	}
	d.mu.Unlock()
}

// idleListener is a listener to which no connection is made.
type idleListener chan struct{}

func (l idleListener) Accept() (net.Conn, error) {
	<-l
	runtime.Goexit() // the event loop that an error would be reported to has ended
	return nil, net.ErrClosed
}
func (l idleListener) Close() error   { return nil }
func (l idleListener) Addr() net.Addr { return &net.TCPAddr{} }

// simulatedScheduler is a service in the synctest bubble.
type simulatedScheduler struct {
	*service
	discovery    *fakeDiscovery
	listTimes    []time.Duration // when endpoint lists arrived
	drainKnownAt time.Duration   // when the first list arrived in which the worker drains
	listener     idleListener
	done         chan struct{}
}

// schedulerConfig holds the settings of a simulatedScheduler. It is printed in the names of
// subtests.
type schedulerConfig struct {
	push, unknown bool // push: the endpoint list is pushed; unknown: there is no cached list
	peers, within int  // number of schedulers; AskWithin of the settings in ms
	grace         float64
	seed          int
}

func (c schedulerConfig) start(t *testing.T, d *fakeDiscovery) *simulatedScheduler {
	t.Helper()
	discoveryMode, cachedList := "ask", `"known":{"rev":1,"all":true,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:9","state":"Ready"}]},`
	if c.push {
		discoveryMode = "push"
	}
	if c.unknown {
		cachedList = ""
	}
	process, err := settings.ParseProcess(fmt.Appendf(nil, `{"name":"n","listen":"127.0.0.1:3","discovery":%q,"seed":"%x",%s
		"settings":{"Discovery":%q,"PeersTotal":%d,"Rules":{"AskWithin":%g,"StopSendingWithin":%g},
		"Operations":[{"Name":"render","Effect":"read_like"}]}}`, discoveryAddr, c.seed+1, cachedList, discoveryMode, max(1, c.peers),
		float64(cmp.Or(c.within, 10000))/1000, cmp.Or(c.grace, 0.5)), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s, err := newService(process, logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	scheduler := &simulatedScheduler{service: s, discovery: d, listener: make(idleListener), done: make(chan struct{})}
	s.loop.DialContext = d.DialContext
	s.loop.Panicked = func(cause any) { panic(cause) }
	handleUpdate := s.endpoints.OnUpdate
	s.endpoints.OnUpdate = func(update discovery.Update) {
		if len(update.Workers) > 0 {
			if scheduler.listTimes = append(scheduler.listTimes, d.now()); update.Workers[0].State != dispatch.Ready && scheduler.drainKnownAt == 0 {
				scheduler.drainKnownAt = d.now()
			}
		}
		handleUpdate(update)
	}
	go func() {
		s.run(takeover.Address{Listener: scheduler.listener})
		close(scheduler.done)
	}()
	return scheduler
}

// shutDown stops the scheduler. Its discovery must have been closed before.
func (p *simulatedScheduler) shutDown() {
	p.loop.PostUrgent(loopTask(p.loop.Stop))
	<-p.done
	close(p.listener)
}

// maxPropagationTime is the time within which a scheduler must apply a change once discovery has it
// and can be reached. A change counts as known after 6 s; the drain grace, in which a draining
// worker may still be sent requests, is kept as a reserve.
const maxPropagationTime = 6*time.Second - 500*time.Millisecond

// Discovery fails in each mode, for each duration up to 20 s in steps of 50 ms (250 ms in some
// variants), with watches that end or fall silent. A worker begins to drain at the end of the
// outage. Whatever the duration, the scheduler has the new list within maxPropagationTime, or within
// four times AskWithin if that is set and less. A pushed list counts as known as soon as discovery is
// back: there the drain grace is the limit, unless it is long or a call or watch was lost in silence.
func TestDrainIsAppliedAtAnyDiscoveryReturn(t *testing.T) {
	const failureStart, maxFailure = 3 * time.Second, 20 * time.Second
	for _, variant := range []struct {
		name string
		step time.Duration
		schedulerConfig
	}{
		{"asked of 300", 50 * time.Millisecond, schedulerConfig{peers: 300}},
		{"asked alone", 250 * time.Millisecond, schedulerConfig{}},
		{"asked within 2 s", 250 * time.Millisecond, schedulerConfig{within: 2000}},
		{"asked within 1 s", 250 * time.Millisecond, schedulerConfig{within: 1000}},
		{"pushed", 50 * time.Millisecond, schedulerConfig{push: true}},
		{"pushed, grace 30 s", 250 * time.Millisecond, schedulerConfig{push: true, grace: 30}},
	} {
		for failure := connectionRefused; failure <= listStalls; failure++ {
			for _, silent := range []bool{false, true} {
				name := fmt.Sprintf("%s/%s/silent=%v", variant.name, failureModeNames[failure], silent)
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						var schedulers []*simulatedScheduler
						for duration := variant.step; duration <= maxFailure; duration += variant.step {
							d := &fakeDiscovery{start: time.Now(), failure: failure, failsFrom: failureStart, failsUntil: failureStart + duration,
								silentWatches: silent, serviceTime: 20 * time.Millisecond, openConns: map[net.Conn]bool{}}
							config := variant.schedulerConfig
							config.seed = len(schedulers)
							schedulers = append(schedulers, config.start(t, d))
						}
						time.Sleep(failureStart + maxFailure + 8*time.Second)
						for _, p := range schedulers {
							p.discovery.close()
						}
						time.Sleep(2 * time.Second)
						worst, worstFailure := time.Duration(0), time.Duration(0)
						for _, p := range schedulers {
							p.shutDown()
							delay := p.drainKnownAt - p.discovery.failsUntil
							if p.drainKnownAt == 0 {
								delay = time.Hour
							}
							if delay > worst {
								worst, worstFailure = delay, p.discovery.failsUntil-failureStart
							}
						}
						limit := maxPropagationTime
						if variant.within > 0 {
							limit = min(limit, 4*time.Duration(variant.within)*time.Millisecond)
						}
						switch {
						case failure == neverAnswers, failure == listStalls, failure == connectionTimeout, silent, !variant.push, variant.grace > 1:
						default:
							limit = 500 * time.Millisecond
						}
						t.Logf("%s: longest time from the end of the outage to the list: %v, after an outage of %v", name,
							worst.Round(time.Millisecond), worstFailure)
						if worst >= limit {
							t.Errorf("the list took up to %v, want less than %v", worst, limit)
						}
					})
				})
			}
		}
	}
}

// runUntil lets schedulers, each with its own discovery, run for a time and then stops them.
func runUntil(t *testing.T, end time.Duration, all ...*simulatedScheduler) {
	t.Helper()
	time.Sleep(end)
	for _, p := range all {
		p.discovery.close()
	}
	time.Sleep(2 * time.Second)
	for _, p := range all {
		p.shutDown()
	}
}

// An open watch falls silent when discovery has a change, and the next call may be lost as well:
// the list arrives within maxPropagationTime after the watch fell silent. If two or more calls were
// lost, discovery could not be reached, and the time counts from the end of the outage.
func TestDrainIsAppliedAfterSilentWatch(t *testing.T) {
	const failureStart, step, maxFailure = 3 * time.Second, 50 * time.Millisecond, 3600 * time.Millisecond
	for _, config := range []schedulerConfig{{peers: 300}, {within: 2000}, {push: true}, {push: true, grace: 30}} {
		t.Run(fmt.Sprintf("%+v", config), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				var schedulers []*simulatedScheduler
				for duration := time.Duration(0); duration <= maxFailure; duration += step {
					for seed := range 3 {
						config.seed = 1000*len(schedulers) + seed
						schedulers = append(schedulers, config.start(t, &fakeDiscovery{start: time.Now(), failure: neverAnswers,
							failsFrom: failureStart, failsUntil: failureStart + duration + 1, silentWatches: true,
							drainsAt: failureStart + 1, serviceTime: 20 * time.Millisecond, openConns: map[net.Conn]bool{}}))
					}
				}
				runUntil(t, 15*time.Second, schedulers...)
				var worst [2]time.Duration
				var runs [2]int
				for _, p := range schedulers {
					if p.drainKnownAt == 0 {
						t.Fatal("the drain was never received")
					}
					lostCalls, from, group := 0, p.discovery.failsFrom, 0
					for _, call := range p.discovery.callTimes {
						if call >= p.discovery.failsFrom && call < p.discovery.failsUntil {
							lostCalls++
						}
					}
					if lostCalls > 1 {
						group, from = 1, p.discovery.failsUntil
					}
					worst[group] = max(worst[group], p.drainKnownAt-from)
					runs[group]++
				}
				t.Logf("%s: longest time to the list: %v from the silence (%d runs), %v from the outage's end after two or more (%d runs)",
					t.Name(), worst[0].Round(time.Millisecond), runs[0], worst[1].Round(time.Millisecond), runs[1])
				if max(worst[0], worst[1]) >= maxPropagationTime {
					t.Errorf("the list took up to %v, want less than %v", worst, maxPropagationTime)
				}
			})
		})
	}
}

// A reload names another discovery address, which may fail in each mode for up to 8 s. Its list
// arrives within 4 s of the reload or within maxPropagationTime after the address can be reached,
// whichever is later; after a failure of up to 1.5 s, within the 4 s.
func TestDrainIsAppliedAfterAddressChange(t *testing.T) {
	const failureStart, step, maxFailure = 3 * time.Second, 100 * time.Millisecond, 8 * time.Second
	for failure := connectionRefused; failure <= listStalls; failure++ {
		for _, push := range []bool{false, true} {
			name := fmt.Sprintf("%s/push=%v", failureModeNames[failure], push)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					var schedulers []*simulatedScheduler
					for duration := time.Duration(0); duration <= maxFailure; duration += step {
						d := &fakeDiscovery{start: time.Now(), failure: failure, failsFrom: failureStart, failsUntil: failureStart + duration,
							addressMoves: true, serviceTime: 20 * time.Millisecond, openConns: map[net.Conn]bool{}}
						p := schedulerConfig{push: push, peers: 300, seed: len(schedulers)}.start(t, d)
						schedulers = append(schedulers, p)
						time.AfterFunc(failureStart, func() {
							process := p.process
							process.Deployment, process.Discovery = p.configured, movedAddr
							p.loop.PostUrgent(loopTask(func() { p.applyConfiguration(process, nil) }))
						})
					}
					runUntil(t, failureStart+maxFailure+8*time.Second, schedulers...)
					worst, worstAfterReload := time.Duration(0), time.Duration(0)
					for _, p := range schedulers {
						duration := p.discovery.failsUntil - failureStart
						limit := max(4*time.Second, duration+maxPropagationTime)
						if duration <= 1500*time.Millisecond {
							limit = 4 * time.Second
							worstAfterReload = max(worstAfterReload, p.drainKnownAt-failureStart)
						}
						worst = max(worst, p.drainKnownAt-p.discovery.failsUntil)
						if elapsed := p.drainKnownAt - failureStart; p.drainKnownAt == 0 || elapsed >= limit {
							t.Errorf("outage of %v: the list arrived %v after the reload, want less than %v", duration, elapsed, limit)
						}
					}
					t.Logf("%s: longest time to the list: %v from the end of the outage; %v from the reload for outages of up to 1.5 s", name,
						worst.Round(time.Millisecond), worstAfterReload.Round(time.Millisecond))
				})
			})
		}
	}
}

// Guards against starving at a slow new address: a reload names another discovery address, which
// answers each call late. Whatever the delay, the call that has waited longest is not given up, so
// the list arrives within 4 s of the reload, or with the first answer if that comes later.
func TestDrainIsAppliedAfterMoveToSlowDiscovery(t *testing.T) {
	const reload, step, maxDelay = 3 * time.Second, 100 * time.Millisecond, 12 * time.Second
	const maxStart = 400 * time.Millisecond // from the reload to the first call
	for _, push := range []bool{false, true} {
		t.Run(fmt.Sprintf("push=%v", push), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				var schedulers []*simulatedScheduler
				for delay := time.Duration(0); delay <= maxDelay; delay += step {
					d := &fakeDiscovery{start: time.Now(), failsFrom: reload, failsUntil: reload, answerDelay: delay,
						addressMoves: true, serviceTime: 20 * time.Millisecond, openConns: map[net.Conn]bool{}}
					p := schedulerConfig{push: push, peers: 300, seed: len(schedulers)}.start(t, d)
					schedulers = append(schedulers, p)
					time.AfterFunc(reload, func() {
						process := p.process
						process.Deployment, process.Discovery = p.configured, movedAddr
						p.loop.PostUrgent(loopTask(func() { p.applyConfiguration(process, nil) }))
					})
				}
				runUntil(t, reload+2*maxDelay, schedulers...)
				for _, p := range schedulers {
					limit := max(4*time.Second, p.discovery.answerDelay+maxStart)
					if elapsed := p.drainKnownAt - reload; p.drainKnownAt == 0 || elapsed >= limit {
						t.Errorf("answers after %v: the list arrived %v after the reload, want less than %v", p.discovery.answerDelay, elapsed, limit)
					}
				}
			})
		})
	}
}

// A draining process still follows the endpoint list: its watch has failed, and the list that
// arrives at the end of the outage is applied before it exits.
func TestEndpointListIsFollowedDuringStop(t *testing.T) {
	const failureStart = 3 * time.Second
	for _, push := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			var schedulers []*simulatedScheduler
			for seed := range 50 {
				d := &fakeDiscovery{start: time.Now(), failure: connectionRefused, failsFrom: failureStart,
					failsUntil: failureStart + 300*time.Millisecond, openConns: map[net.Conn]bool{}}
				p := schedulerConfig{push: push, peers: 300, seed: seed}.start(t, d)
				time.AfterFunc(failureStart+100*time.Millisecond, func() {
					p.loop.PostUrgent(loopTask(func() {
						p.clients.LongestTimeout = 3 * time.Second // as if a client had sent it
						p.service.stop()
					}))
				})
				schedulers = append(schedulers, p)
			}
			time.Sleep(failureStart + 1200*time.Millisecond)
			for _, p := range schedulers {
				p.discovery.close()
			}
			for _, p := range schedulers {
				<-p.done
				close(p.listener)
				if p.drainKnownAt == 0 {
					t.Error("the drain was never received; lists arrived at", p.listTimes)
				}
			}
		})
	}
}

// callRate returns, for the calls from notBefore on, the maximum number in any 100 ms, and the mean
// number per 100 ms until the last call.
func (d *fakeDiscovery) callRate(notBefore time.Duration) (maxCalls int, meanCalls float64) {
	var times []time.Duration
	for _, call := range d.callTimes {
		if call >= notBefore {
			times = append(times, call)
		}
	}
	slices.Sort(times)
	for first, call := range times {
		end, _ := slices.BinarySearch(times, call+100*time.Millisecond)
		maxCalls = max(maxCalls, end-first)
	}
	return maxCalls, float64(len(times)) / max(1, float64(times[len(times)-1]-notBefore)/float64(100*time.Millisecond))
}

// After an outage the calls of 300 schedulers are spread over the maximum backoff, with at most a
// quarter of the schedulers in any 100 ms. That limit does not hold for pushed lists, where a drain
// grace of half a second leaves a quarter of a second for the backoff.
func TestReturnedDiscoverySeesSpreadWatches(t *testing.T) {
	for _, variant := range []struct {
		failure  failureMode
		duration time.Duration
		push     bool
	}{{connectionRefused, 8 * time.Second, false}, {rejectsWith503, 3 * time.Second, false},
		{neverAnswers, 8 * time.Second, false}, {connectionRefused, time.Second, false}, {connectionRefused, 8 * time.Second, true}} {
		synctest.Test(t, func(t *testing.T) {
			const failureStart = 6 * time.Second
			d := &fakeDiscovery{start: time.Now(), failure: variant.failure, failsFrom: failureStart,
				failsUntil: failureStart + variant.duration, serviceTime: time.Millisecond, openConns: map[net.Conn]bool{}}
			var schedulers []*simulatedScheduler
			for seed := range 300 {
				schedulers = append(schedulers, schedulerConfig{peers: 300, seed: seed, push: variant.push}.start(t, d))
			}
			time.Sleep(d.failsUntil + 8*time.Second)
			d.close()
			calls := slices.Clone(d.callTimes)
			time.Sleep(2 * time.Second)
			worst := time.Duration(0)
			for _, p := range schedulers {
				p.shutDown()
				if worst = max(worst, p.drainKnownAt-d.failsUntil); p.drainKnownAt == 0 {
					t.Error("the drain was never received")
				}
			}
			d.callTimes = calls
			maxCalls, meanCalls := d.callRate(d.failsUntil)
			maxCallsAtFailure, _ := d.callRate(d.failsFrom)
			t.Logf("%s for %v, push=%v: calls in 100 ms after the outage: at most %d, mean %.1f; after the failure: at most %d; last list after %v",
				failureModeNames[variant.failure], variant.duration, variant.push, maxCalls, meanCalls, maxCallsAtFailure,
				worst.Round(time.Millisecond))
			if !variant.push && maxCalls > len(schedulers)/4 {
				t.Errorf("%d calls in 100 ms from %d schedulers, want at most a quarter", maxCalls, len(schedulers))
			}
			if worst >= maxPropagationTime {
				t.Errorf("the last list arrived %v after the end of the outage", worst)
			}
		})
	}
}

// 300 schedulers start together while discovery is slow, down or overloaded: nine in ten are ready
// within 10 s. Without a cached list they report ready after a second and queue requests until
// there is a list; the log of the test has the times.
func TestManyRestartsAreReadyInTime(t *testing.T) {
	const schedulers = 300
	for _, variant := range []struct {
		name string
		*fakeDiscovery
	}{
		{"well", &fakeDiscovery{serviceTime: time.Millisecond}},
		{"each answer 2.5 s late", &fakeDiscovery{serviceTime: time.Millisecond, answerDelay: 2500 * time.Millisecond}},
		{"each answer 5 s late", &fakeDiscovery{serviceTime: time.Millisecond, answerDelay: 5 * time.Second}},
		{"refuses for 8 s", &fakeDiscovery{failure: connectionRefused, failsUntil: 8 * time.Second, serviceTime: time.Millisecond}},
		{"mute for 8 s", &fakeDiscovery{failure: neverAnswers, failsUntil: 8 * time.Second, serviceTime: time.Millisecond}},
		{"refuses for 8 s, then 60 calls a second", &fakeDiscovery{failure: connectionRefused, failsUntil: 8 * time.Second,
			serviceTime: time.Second / 60}},
		{"60 calls a second", &fakeDiscovery{serviceTime: time.Second / 60}},
		{"60 calls a second, 503 after 2 s", &fakeDiscovery{serviceTime: time.Second / 60, queueTimeout: 2 * time.Second}},
		{"25 calls a second", &fakeDiscovery{serviceTime: time.Second / 25}},
		{"25 calls a second, 503 after 2 s", &fakeDiscovery{serviceTime: time.Second / 25, queueTimeout: 2 * time.Second}},
		{"refuses for good", &fakeDiscovery{failure: connectionRefused, failsUntil: time.Hour}},
	} {
		for _, config := range []schedulerConfig{{peers: schedulers}, {peers: schedulers, unknown: true},
			{peers: schedulers, push: true, unknown: true}} {
			name := fmt.Sprintf("%s/push=%v/known=%v", variant.name, config.push, !config.unknown)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					d := &fakeDiscovery{failure: variant.failure, failsUntil: variant.failsUntil, serviceTime: variant.serviceTime,
						answerDelay: variant.answerDelay, queueTimeout: variant.queueTimeout,
						start: time.Now(), openConns: map[net.Conn]bool{}}
					var pool []*simulatedScheduler
					for config.seed = range schedulers {
						pool = append(pool, config.start(t, d))
					}
					var ready, listed []time.Duration
					const observedFor, pollInterval = 20 * time.Second, 10 * time.Millisecond
					isReady := map[*simulatedScheduler]bool{}
					for d.now() < observedFor {
						for _, p := range pool {
							if !isReady[p] && lifecycle.State(p.publishedState.Load()) == lifecycle.Ready {
								isReady[p] = true
								ready = append(ready, d.now())
							}
						}
						time.Sleep(pollInterval)
					}
					d.close()
					time.Sleep(2 * time.Second)
					for _, p := range pool {
						p.shutDown()
						if len(p.listTimes) > 0 {
							listed = append(listed, p.listTimes[0])
						}
					}
					t.Logf("%s: ready %s; first list from discovery %s; %d calls", name, quantileSummary(ready, schedulers),
						quantileSummary(listed, schedulers), len(d.callTimes))
					if listExpected := variant.failure == available && variant.queueTimeout == 0; listExpected && len(listed) < schedulers {
						t.Error("schedulers with a list:", len(listed), "of", schedulers)
					}
					if n, _ := slices.BinarySearch(ready, 10*time.Second); n < schedulers*9/10 {
						t.Error("ready within 10 s:", n, "of", schedulers)
					}
				})
			})
		}
	}
}

// quantileSummary returns quantiles of the times as text. total is the number of schedulers; those
// without a time count as never.
func quantileSummary(times []time.Duration, total int) string {
	slices.Sort(times)
	quantile := func(fraction float64) string {
		if n := int(fraction*float64(total)+0.5) - 1; n < len(times) {
			return times[n].Round(10 * time.Millisecond).String()
		}
		return "-"
	}
	return fmt.Sprintf("p50 %s p90 %s max %s (%d of %d)", quantile(0.5), quantile(0.9), quantile(1), len(times), total)
}
