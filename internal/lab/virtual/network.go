package virtual

import (
	"net/netip"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/lab/model"
)

const (
	// bodyTransferTime is the time that a request's body adds to the latency of its message.
	bodyTransferTime = 50 * time.Microsecond
	// workerNetwork is the first byte of the workers' IPv4 addresses; the other three hold the
	// machine's index.
	workerNetwork = 10
	// workerPort is the port of each worker's address.
	workerPort = 9000
	// A scheduler reuses an idle connection only within idleNumerator/idleDenominator of the time
	// after which machines close it.
	idleNumerator   = 6
	idleDenominator = 10
)

// jitter varies a latency by a random share of up to the scenario's jitter, in both directions.
func (sim *Simulation) jitter(t time.Duration) time.Duration {
	return time.Duration(float64(t) * (1 + sim.scenario.Network.Jitter*(2*sim.networkRand.Float64()-1)))
}

// latency draws the one-way latency of a message between a scheduler and a machine.
func (sim *Simulation) latency(s *scheduler, machine int) time.Duration {
	if sim.Model.Cluster.Machines[machine].Zone == s.zone {
		return sim.jitter(sim.scenario.Network.SameZone.D())
	}
	return sim.jitter(sim.scenario.Network.CrossZone.D())
}

// workerID returns the address of a machine's worker.
func workerID(machine int) dispatch.WorkerID {
	addr := netip.AddrFrom4([4]byte{workerNetwork, byte(machine >> 16), byte(machine >> 8), byte(machine)})
	return netip.AddrPortFrom(addr, workerPort)
}

// machineOf returns the index of the machine at a worker's address.
func machineOf(id dispatch.WorkerID) int {
	b := id.Addr().As4()
	return int(b[1])<<16 | int(b[2])<<8 | int(b[3])
}

// connect gets a connection to a machine. It calls connected at once if there is an idle
// connection, or after a round trip when a new one is established. It calls failed if the new
// connection is refused or times out.
func (sim *Simulation) connect(s *scheduler, machine int, connected func(reused bool), failed func()) {
	if s.takeIdleConnection(machine, sim.now, sim.scenario.Network.Idle.D()) {
		connected(true)
		return
	}
	incarnation := s.incarnation
	sim.Model.Statistics.Connections++
	sim.scheduleAfter(2*sim.latency(s, machine), func() {
		if s.incarnation != incarnation {
			return
		}
		switch sim.Model.Cluster.Connect(machine) {
		case model.Accepted:
			connected(false)
		case model.ConnectionRefused:
			failed()
		default:
			sim.scheduleAfter(sim.scenario.Network.ConnectTimeout.D(), func() {
				if s.incarnation == incarnation {
					failed()
				}
			})
		}
	})
}

// takeIdleConnection removes the most recently used idle connection to a machine from the pool, and
// drops those that have been idle for too long. It returns false if none is left.
func (s *scheduler) takeIdleConnection(machine int, now, idleTimeout time.Duration) bool {
	idle := s.idleConnections[machine]
	for len(idle) > 0 {
		last := len(idle) - 1
		since := idle[last]
		idle = idle[:last]
		if now-since < idleTimeout*idleNumerator/idleDenominator {
			s.idleConnections[machine] = idle
			return true
		}
	}
	s.idleConnections[machine] = idle
	return false
}

// releaseConnection returns a connection to a machine to the scheduler's idle connections.
func (sim *Simulation) releaseConnection(s *scheduler, machine int) {
	s.idleConnections[machine] = append(s.idleConnections[machine], sim.now)
}
