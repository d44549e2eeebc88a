package discovery

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/netip"

	"stoatweir/dispatch"
)

// targetList is the JSON form of the whole list or of one change.
type targetList struct {
	Revision uint64   `json:"Rev"`
	Full     bool     `json:"All"`
	Targets  []target `json:"Targets"`
}

// target is one entry of a targetList.
type target struct {
	UID      string  `json:"UID"`
	Address  string  `json:"Endpoint"`
	Zone     string  `json:"AZ"`
	Kind     string  `json:"Model"`
	State    string  `json:"State"`
	PodGroup int     `json:"pod_group"`
	BootMS   float64 `json:"boot_ms"` // start of the worker by the wall clock, ms since 1970; 0: not given
}

var stateByName = map[string]dispatch.EndpointState{
	"Ready":       dispatch.Ready,
	"Terminating": dispatch.Draining,
	"Gone":        dispatch.Gone,
}

// Parse decodes the whole list or one change, and stores its revision, from which the next watch
// resumes. If the text is not a valid list, Parse returns the error of encoding/json and keeps the
// previous revision.
func (w *Watcher) Parse(text []byte) (Update, error) {
	var list targetList
	if err := json.Unmarshal(text, &list); err != nil {
		return Update{}, err
	}
	update := Update{Kind: dispatch.DeltaUpdate}
	if list.Full {
		update.Kind = dispatch.FullUpdate
	}
	for _, entry := range list.Targets {
		if entry.UID == "" {
			continue
		}
		update.Workers = append(update.Workers, w.decodeWorker(entry))
	}
	w.revision = list.Revision
	return update, nil
}

// decodeWorker decodes one entry. It never fails, because one malformed entry must not invalidate
// the update of all others.
func (w *Watcher) decodeWorker(entry target) Worker {
	state, known := stateByName[entry.State]
	if !known {
		state = dispatch.Draining // an unknown state does not say that the worker is ready
	}
	addr, err := netip.ParseAddrPort(entry.Address)
	if err != nil && state == dispatch.Ready {
		state = dispatch.Draining
	}
	endpoint := dispatch.Endpoint{
		Worker: w.ids.idOf(entry.UID, addr),
		Zone:   w.zones.indexOf(entry.Zone),
		Kind:   w.kinds.indexOf(entry.Kind),
		Cell:   entry.PodGroup,
		State:  state,
	}
	if entry.BootMS != 0 {
		endpoint.StartKnown = true
		endpoint.StartedAt = w.startTimes.startedAt(entry.UID, entry.BootMS)
		endpoint.Incarnation = incarnation(entry.UID, entry.BootMS)
	}
	return Worker{UID: entry.UID, Address: entry.Address, Endpoint: endpoint}
}

// incarnation returns an identifier of one start of a worker that is the same at all schedulers.
// The worker's address and its start time by the local clock may differ between them.
func incarnation(uid string, bootMS float64) uint64 {
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%s %.0f", uid, bootMS)
	return hash.Sum64()
}
