package settings

import (
	"cmp"
	"fmt"
	"strings"
)

// Features are the kinds of interaction that a deployment has. They follow from the configuration
// alone.
type Features struct {
	EndpointsPushed bool   // discovery pushes changes of the endpoint list
	Gossip          bool   // schedulers may send messages to one another, and have addresses for it
	Weights         string // what the endpoint list's weights mean
	Tenants         int    // that share the service
}

// String returns the features as one line for operators.
func (f Features) String() string {
	list := "list asked for"
	if f.EndpointsPushed {
		list = "list pushed"
	}
	messages := "no messages"
	if f.Gossip {
		messages = "messages"
	}
	weights := cmp.Or(f.Weights, "no") + " weights"
	tenants := fmt.Sprintf("%d tenants", f.Tenants)
	return strings.Join([]string{list, messages, weights, tenants}, ", ")
}

// features derives the features of a deployment; Gossip depends on addresses, which only a Process
// has.
func (f *deploymentFile) features() Features {
	return Features{
		EndpointsPushed: f.Discovery == discoveryPushed,
		Weights:         f.WeightKind,
		Tenants:         len(f.Tenants),
	}
}
