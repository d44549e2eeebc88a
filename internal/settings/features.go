package settings

import (
	"cmp"
	"fmt"
	"strings"
)

// Features are the optional mechanisms that a deployment uses, derived from its configuration.
type Features struct {
	EndpointsPushed bool   // discovery pushes changes of the endpoint list; else it is polled
	Gossip          bool   // schedulers may send gossip to one another and have addresses for it
	Weights         string // kind of the weights in the endpoint list; empty: none
	Tenants         int    // number of tenants in the settings
}

// String returns a one-line summary for operators.
func (f Features) String() string {
	discovery := "list asked for"
	if f.EndpointsPushed {
		discovery = "list pushed"
	}
	messages := "no messages"
	if f.Gossip {
		messages = "messages"
	}
	weights := cmp.Or(f.Weights, "no") + " weights"
	tenants := fmt.Sprintf("%d tenants", f.Tenants)
	return strings.Join([]string{discovery, messages, weights, tenants}, ", ")
}

// features returns the features of a deployment. It leaves Gossip unset, which depends on addresses
// that only a Process has.
func (f *deploymentFile) features() Features {
	return Features{
		EndpointsPushed: f.Discovery == discoveryPushed,
		Weights:         f.WeightKind,
		Tenants:         len(f.Tenants),
	}
}
