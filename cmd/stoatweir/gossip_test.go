package main

import (
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"stoatweir/dispatch"
)

const (
	// gossipSchedulers is the number of schedulers in the pool of newGossipRig. The process under
	// test has index 1.
	gossipSchedulers = 3
	// minOwnedByFirst is the minimum number of workers whose load data scheduler 0 owns. It is only
	// queried for these.
	minOwnedByFirst = 3
	// maxGossipRigs bounds the search. With twelve workers about four in five rigs are suitable.
	maxGossipRigs = 50
)

// newGossipRig returns a rig in which scheduler 0 owns the load data of enough workers. The owner
// of a worker follows from the worker's port: once in about a hundred runs scheduler 0 would own
// none of twelve workers and never be queried.
func newGossipRig(t *testing.T) *testRig {
	t.Helper()
	for range maxGossipRigs {
		r := newTestRig(t, 12, 200*time.Millisecond) // jobs run longer than a peer's answer stays valid
		owned := 0
		for _, worker := range r.workers {
			if ownerOf(t, worker.addr) == 0 {
				owned++
			}
		}
		if owned >= minOwnedByFirst {
			return r
		}
	}
	t.Fatal("scheduler 0 owns too few workers in any rig")
	return nil
}

// ownerOf returns the index of the scheduler that scheduler 1 queries for a worker's free capacity,
// or 1 if it owns the worker itself.
func ownerOf(t *testing.T, addr string) int {
	t.Helper()
	worker, err := netip.ParseAddrPort(addr)
	if err != nil {
		t.Fatal(err)
	}
	d := dispatch.New(dispatch.Config{
		Schedulers:      gossipSchedulers,
		SchedulerIndex:  1,
		EndpointsPushed: true,
		Operations:      []dispatch.Operation{{LatencyObjective: time.Second, WorkerKind: dispatch.AnyKind}},
		Limits:          dispatch.Limits{HealthChecks: true, Gossip: true, MaxAttempts: 1, MaxInFlight: 1},
	}, 1)
	endpoint := dispatch.Endpoint{Worker: worker, State: dispatch.Ready}
	d.Handle(time.Millisecond, []dispatch.Event{
		dispatch.EndpointUpdate{Kind: dispatch.FullUpdate, Endpoints: []dispatch.Endpoint{endpoint}},
	})
	arrival := dispatch.Arrival{Invocation: 1, Budget: 5 * time.Second}
	for _, action := range d.Handle(100*time.Millisecond, []dispatch.Event{arrival}) {
		gossip, isGossip := action.(dispatch.SendGossip)
		if isGossip && gossip.To >= 0 && gossip.Entries[0].Kind == dispatch.GossipCapacityQuery {
			return gossip.To
		}
	}
	return 1
}

// Gossip tolerates broken peers: one scheduler of the pool is silent, another keeps sending garbage
// and truncated, duplicated and false messages. Clients still get one answer each. A reload that
// lists peers but does not allow gossip is rejected.
func TestGossipSurvivesBrokenPeers(t *testing.T) {
	r := newGossipRig(t)
	var peerConns []*net.UDPConn
	var addrs []string
	for range gossipSchedulers {
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		peerConns, addrs = append(peerConns, conn), append(addrs, conn.LocalAddr().String())
	}
	ownAddr := peerConns[1].LocalAddr().(*net.UDPAddr)
	peerConns[1].Close()
	r.config["peers"] = addrs
	deploymentSettings := r.config["settings"].(map[string]any)
	deploymentSettings["Discovery"], deploymentSettings["PeersTotal"], deploymentSettings["MyNumber"] = "push", gossipSchedulers, 1
	deploymentSettings["Limits"].(map[string]any)["Peers"] = true
	r.writeConfig()

	kinds := make(chan dispatch.GossipKind, 10000)
	var datagrams atomic.Int32
	var readError atomic.Value
	go func() {
		buffer := make([]byte, 1000)
		for n := 0; ; n++ {
			size, err := peerConns[0].Read(buffer)
			if err != nil {
				readError.Store(err)
				return
			}
			datagrams.Add(1)
			message := buffer[:size]
			var replies []dispatch.GossipEntry
			if entries, ok := dispatch.DecodeGossip(message[min(15, size):]); ok {
				for _, entry := range entries {
					kinds <- entry.Kind
					if entry.Kind == dispatch.GossipCapacityQuery {
						replies = append(replies, dispatch.GossipEntry{Kind: dispatch.GossipCapacityReply, Serial: 9, Tag: entry.Tag})
					}
				}
			}
			// Without some true answers, none of the peer's workers might ever look free, and all
			// queued requests would go to the workers that the process under test owns.
			if len(replies) > 0 {
				reply := append(append([]byte(nil), message[:15]...), dispatch.EncodeGossip(replies)[0]...)
				reply[1], reply[2] = 0, 0
				peerConns[0].WriteToUDP(reply, ownAddr)
			}
			echo := append([]byte(nil), message...)
			echo[1], echo[2] = 0, 0 // index of the sender
			for _, datagram := range [][]byte{echo, echo, echo[:n%size], []byte(strings.Repeat("garbage", n%60)), message} {
				peerConns[0].WriteToUDP(datagram, ownAddr)
			}
		}
	}()
	p := r.startProcess()
	r.waitUntilReady(p)
	r.startClients(4, "render")
	r.startClients(2, "sale")
	seen := map[dispatch.GossipKind]int{}
	for timeout := time.After(5 * time.Second); seen[dispatch.GossipRestarted] < 1 || seen[dispatch.GossipAttemptStarted] < 1 ||
		seen[dispatch.GossipAttemptEnded] < 1 || seen[dispatch.GossipCapacityQuery] < 50; {
		select {
		case kind := <-kinds:
			seen[kind]++
		case <-timeout:
			var attemptCounts []string
			for _, worker := range r.workers {
				worker.mu.Lock()
				attemptCounts = append(attemptCounts, fmt.Sprint(len(worker.attemptsByID)))
				worker.mu.Unlock()
			}
			t.Fatal("gossip entries received: ", seen, " in ", datagrams.Load(), " datagrams, read error ", readError.Load(),
				", attempts at the workers ", attemptCounts, "\n", requestOnce(r.listenAddr,
					"GET /-/counts HTTP/1.1\r\nHost: a\r\n\r\n"), r.answersByStatus)
		}
	}

	deploymentSettings["Limits"].(map[string]any)["Peers"] = false
	r.writeConfig()
	p.Process.Signal(syscall.SIGHUP)
	r.waitForLog(p, "peers: names 3 addresses, and settings.Limits.Peers does not allow messages", 1)
	r.waitForLog(p, "configuration rejected", 1)
	deploymentSettings["Limits"].(map[string]any)["Peers"] = true
	r.writeConfig()
	p.Process.Signal(syscall.SIGHUP)
	r.waitForLog(p, "configuration applied", 1)
	r.waitForLog(p, `features="list pushed, messages, no weights, 0 tenants"`, 1)
	time.Sleep(200 * time.Millisecond)
	r.stopClients()
	p.Process.Signal(syscall.SIGTERM)
	r.waitForExit(p, 8*time.Second)
	r.checkPeers()
	if !strings.Contains(r.allLogs(), `"panics":0`) {
		t.Errorf("want %q in the logs, got:\n%s", `"panics":0`, r.allLogs())
	}
}

// While the discovery of a pushed list is down, the watch is retried with backoff and jitter and
// clients are served from the cached list. The list that discovery sends after the outage is
// applied.
func TestServesWhilePushedListIsDown(t *testing.T) {
	r := newTestRig(t, 2, 20*time.Millisecond)
	var watches, isBack atomic.Int32
	list := `{"rev":7,"all":true,"targets":[{"uid":"s-0","endpoint":"` + r.workers[0].addr + `","state":"Ready"}]}`
	r.config["discovery"] = serveRequests(t, func(requestLine, body string) string {
		watches.Add(1)
		if isBack.Load() == 0 {
			return "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
		}
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n", len(list)+1, list)
	})
	r.config["settings"].(map[string]any)["Discovery"] = "push"
	r.writeConfig()
	p := r.startProcess()
	r.waitUntilReady(p)
	r.startClients(3, "render")
	time.Sleep(3 * time.Second)
	if n := watches.Load(); n < 3 || n > 8 { // 12 without exponential backoff
		t.Error(n, " watches in 3 s, want 3 to 8")
	}
	if text := r.allLogs(); strings.Contains(text, "endpoint watch failed, retrying") {
		t.Errorf("want %q not in the logs, got:\n%s", "endpoint watch failed, retrying", text)
	}
	isBack.Store(1)
	for deadline := time.Now().Add(5 * time.Second); p.stats(t)["svc_discovered"] != 1; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("got figures %v after 5 s, want 1 worker discovered", p.stats(t))
		}
	}
	r.stopClients()
	p.Process.Signal(syscall.SIGTERM)
	r.waitForExit(p, 8*time.Second)
	r.checkPeers()
}
