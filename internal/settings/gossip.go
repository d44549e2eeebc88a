package settings

import (
	"fmt"
	"net/netip"
)

// configureGossip sets the addresses at which schedulers receive gossip, by index of the scheduler.
// It returns an error if they contradict the deployment's settings. Settings that allow gossip
// without any addresses are valid: gossip is then disabled.
func (p *Process) configureGossip(addresses []string) error {
	config := &p.Deployment.Dispatch
	count := len(addresses)
	switch {
	case count == 0:
		config.Limits.Gossip = false // there is no address to send to
		return nil
	case !config.Limits.Gossip:
		return fmt.Errorf("peers: names %d addresses, and settings.Limits.Peers does not allow messages", count)
	case config.SchedulerIndex < 0:
		return fmt.Errorf("settings: MyNumber: is not set, and peers wants to know which address is ours")
	case config.SchedulerIndex >= count:
		return fmt.Errorf("settings: MyNumber: is %d, and peers names %d addresses", config.SchedulerIndex, count)
	case config.Schedulers != count:
		return fmt.Errorf("peers: names %d addresses, and settings.PeersTotal is %d", count, config.Schedulers)
	}
	peers, err := parsePeers(addresses)
	if err != nil {
		return err
	}
	p.Peers = peers
	p.Deployment.Features.Gossip = true
	return nil
}

// parsePeers parses addresses, which must have a port other than 0 and be distinct.
func parsePeers(addresses []string) ([]netip.AddrPort, error) {
	var peers []netip.AddrPort
	seen := map[netip.AddrPort]bool{}
	for i, text := range addresses {
		address, err := netip.ParseAddrPort(text)
		if err != nil || address.Port() == 0 {
			return nil, fmt.Errorf("peers[%d]: %q is no address with a port", i, text)
		}
		if seen[address] {
			return nil, fmt.Errorf("peers[%d]: %s is there twice", i, text)
		}
		seen[address] = true
		peers = append(peers, address)
	}
	return peers, nil
}
