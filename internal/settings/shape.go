package settings

import (
	"cmp"
	"fmt"
	"math"
	"net/netip"
	"strings"
)

// Shape is the shape of a deployment. It follows from the settings alone and is derived here once.
type Features struct {
	EndpointsPushed bool   // the list of workers comes unasked
	Gossip          bool   // schedulers may tell one another, and have a road for it
	Weights         string // what the list's weights mean
	Tenants         int    // that share the service
}

func (s Features) String() string {
	said := func(is bool, yes, no string) string {
		if is {
			return yes
		}
		return no
	}
	return strings.Join([]string{"list " + said(s.EndpointsPushed, "pushed", "asked for"), said(s.Gossip, "messages", "no messages"),
		cmp.Or(s.Weights, "no") + " weights", fmt.Sprintf("%d tenants", s.Tenants)}, ", ")
}

// shape derives the shape of a site; messages need a road as well, which only a scheduler of the service has.
func (in *site) shape() Features {
	return Features{EndpointsPushed: in.Discovery == "push", Weights: in.WeightKind, Tenants: len(in.Tenants)}
}

const (
	// peersMost is how many schedulers there can be: each start of a worker goes through their numbers.
	peersMost = 1 << 16
	// sharesMost lets shares that were rounded add up to a little more than the whole.
	sharesMost = 1.01
	valueMost  = 1e12
)

// check refuses figures that make no sense, by key. What is not told has a default, and unknown keys mean nothing here.
func (in *site) check() error {
	type figure struct {
		key         string
		value, most float64
	}
	figures := []figure{{"PeersTotal", max(0, float64(in.PeersTotal)), peersMost}, {"ResultMix.Whole", in.ResultMix.Whole, valueMost},
		{"ResultMix.WorstClass", in.ResultMix.WorstClass, valueMost}, {"ResultMix.WorstTenant", in.ResultMix.WorstTenant, valueMost},
		{"Prices.Peer", in.Prices.Peer, valueMost}, {"Prices.Probe", in.Prices.Probe, valueMost}}
	if in.MyNumber != nil {
		figures = append(figures, figure{"MyNumber", max(0, float64(*in.MyNumber)), peersMost - 1})
	}
	if in.ExcessBilledValue != nil {
		figures = append(figures, figure{"ExcessBilledValue", *in.ExcessBilledValue, 1})
	}
	for i, o := range in.Operations {
		key := fmt.Sprintf("Operations[%d].", i)
		figures = append(figures, figure{key + "BilledValue", o.BilledValue, valueMost}, figure{key + "LateBilledValue", o.LateBilledValue, 1})
	}
	shares, names := 0.0, map[string]bool{}
	for i, t := range in.Tenants {
		key := fmt.Sprintf("Tenants[%d].", i)
		figures = append(figures, figure{key + "Fraction", t.Fraction, 1}, figure{key + "QuotaPerS", t.QuotaPerS, valueMost})
		if names[t.Name] {
			return fmt.Errorf("settings: %sName: %q is there twice", key, t.Name)
		}
		names[t.Name], shares = true, shares+t.Fraction
	}
	for _, f := range figures {
		switch {
		case f.value < 0 || math.IsNaN(f.value):
			return fmt.Errorf("settings: %s: %v is below 0", f.key, f.value)
		case f.value > f.most:
			return fmt.Errorf("settings: %s: %v is over %v", f.key, f.value, f.most)
		}
	}
	if shares > sharesMost {
		return fmt.Errorf("settings: Tenants: their Fractions add up to %.3g, more than the whole", shares)
	}
	return nil
}

// mixed refuses a configuration that is of two shapes at once. It names contradictions alone: what is not told, such as
// addresses for messages that the settings would allow, only leaves a part unused.
func (n *Process) mixed(peers []string) error {
	shape, d := &n.Deployment.Features, &n.Deployment.Dispatch
	if how := n.Deployment.discovery; how != "" && how != "ask" && how != "push" {
		return fmt.Errorf("settings: Discovery: %q is neither ask nor push", how)
	}
	if mix := n.Deployment.worstTenant; mix > 0 && shape.Tenants == 0 {
		return fmt.Errorf("settings: ResultMix.WorstTenant: is %v, and Tenants names nobody", mix)
	}
	switch {
	case len(peers) == 0:
		d.Limits.Gossip = false // nothing could be sent
		return nil
	case !d.Limits.Gossip:
		return fmt.Errorf("peers: names %d addresses, and settings.Limits.Peers does not allow messages", len(peers))
	case d.Index < 0:
		return fmt.Errorf("settings: MyNumber: is not set, and peers wants to know which address is ours")
	case d.Index >= len(peers):
		return fmt.Errorf("settings: MyNumber: is %d, and peers names %d addresses", d.Index, len(peers))
	case d.Schedulers != len(peers):
		return fmt.Errorf("peers: names %d addresses, and settings.PeersTotal is %d", len(peers), d.Schedulers)
	}
	known := map[netip.AddrPort]bool{}
	for i, text := range peers {
		addr, err := netip.ParseAddrPort(text)
		switch {
		case err != nil || addr.Port() == 0:
			return fmt.Errorf("peers[%d]: %q is no address with a port", i, text)
		case known[addr]:
			return fmt.Errorf("peers[%d]: %s is there twice", i, text)
		}
		known[addr] = true
		n.Peers = append(n.Peers, addr)
	}
	shape.Gossip = true
	return nil
}
