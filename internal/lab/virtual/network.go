package virtual

import (
	"net/netip"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/lab/model"
)

const (
	// bodyTime is what a request's body adds to the latency.
	bodyTime = 50 * time.Microsecond
	// workerNetwork is the first byte of the workers' addresses, whose others number the machine.
	workerNetwork = 10
	// workerPort is the port of all workers.
	workerPort = 9000
	// A connection is reused within idleNumerator/idleDenominator of the time after which machines close it.
	idleNumerator   = 6
	idleDenominator = 10
)

// jitter varies a latency.
func (sim *Simulation) jitter(t time.Duration) time.Duration {
	return time.Duration(float64(t) * (1 + sim.scenario.Network.Jitter*(2*sim.networkRand.Float64()-1)))
}

// latency draws how long a message takes between a scheduler and a machine.
func (sim *Simulation) latency(s *scheduler, machine int) time.Duration {
	if sim.Model.Fleet.Machines[machine].Zone == s.zone {
		return sim.jitter(sim.scenario.Network.SameZone.D())
	}
	return sim.jitter(sim.scenario.Network.CrossZone.D())
}

// workerID is the address of a machine's worker.
func workerID(machine int) dispatch.WorkerID {
	addr := netip.AddrFrom4([4]byte{workerNetwork, byte(machine >> 16), byte(machine >> 8), byte(machine)})
	return netip.AddrPortFrom(addr, workerPort)
}

// machineOf is the machine of an address.
func machineOf(id dispatch.WorkerID) int {
	b := id.Addr().As4()
	return int(b[1])<<16 | int(b[2])<<8 | int(b[3])
}

// connect calls connected with an idle connection to a machine at once, or with a new one after a round trip; failed if none
// comes up.
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
		switch sim.Model.Fleet.Connect(machine) {
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

// takeIdleConnection takes the connection to a machine that is idle for the shortest time, and drops those that are idle for
// too long; false: there is none.
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

// releaseConnection makes a connection idle.
func (sim *Simulation) releaseConnection(s *scheduler, machine int) {
	s.idleConnections[machine] = append(s.idleConnections[machine], sim.now)
}
