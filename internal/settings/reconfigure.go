package settings

import (
	"slices"
	"time"

	"stoatweir/dispatch"
)

// noSource marks, in the sources that Reconfigure returns, an operation without earlier estimates.
const noSource = -1

// Reconfigure returns the result of applying a newer deployment to the running one. Operations are
// identified by name, whatever their order. An unchanged operation keeps its index; a new or changed
// one gets the lowest index that is not in the running OperationIndex and that free reports to be
// unused, or a new index. A removed operation keeps its index while free reports that it is in use.
//
// sources maps each index to the index whose estimates continue there: the same one, that of the
// operation before its change, or -1 for none.
func (d Deployment) Reconfigure(newer Deployment, free func(index int) bool) (merged Deployment, sources []int) {
	merge := newOperationMerge(d)
	for i, name := range newer.Operations {
		merge.add(operationSlot{
			name:          name,
			operation:     newer.Dispatch.Operations[i],
			clientTimeout: newer.ClientTimeouts[i],
		}, free)
	}
	merged = newer
	merged.OperationIndex = merge.indexByName
	count := len(merge.slots)
	merged.Operations = slices.Grow([]string(nil), count)
	merged.ClientTimeouts = slices.Grow([]time.Duration(nil), count)
	merged.Dispatch.Operations = slices.Grow([]dispatch.Operation(nil), count)
	sources = slices.Grow(sources, count)
	for _, slot := range merge.slots {
		merged.Operations = append(merged.Operations, slot.name)
		merged.ClientTimeouts = append(merged.ClientTimeouts, slot.clientTimeout)
		merged.Dispatch.Operations = append(merged.Dispatch.Operations, slot.operation)
		// Removed operations count too, because a shutdown waits for their invocations.
		merged.LongestTimeout = max(merged.LongestTimeout, slot.clientTimeout)
		sources = append(sources, slot.source)
	}
	merged.Tenants, merged.Dispatch.Tenants = d.mergeTenants(newer)
	// The discovery mode changes only at a start.
	merged.Dispatch.EndpointsPushed = d.Dispatch.EndpointsPushed
	return merged, sources
}

// operationSlot is the operation at one index.
type operationSlot struct {
	name          string
	operation     dispatch.Operation
	clientTimeout time.Duration
	source        int // index whose estimates continue here, or noSource
}

// operationMerge is the state of a merge of the operations of two deployments.
type operationMerge struct {
	slots        []operationSlot // by index
	taken        map[int]bool    // indexes in runningIndex or already assigned
	runningIndex map[string]int  // index by name, before the merge
	indexByName  map[string]int  // index by name, after the merge
}

func newOperationMerge(running Deployment) *operationMerge {
	m := &operationMerge{
		slots:        make([]operationSlot, len(running.Operations)),
		taken:        map[int]bool{},
		runningIndex: running.OperationIndex,
		indexByName:  map[string]int{},
	}
	for i, name := range running.Operations {
		m.slots[i] = operationSlot{
			name:          name,
			operation:     running.Dispatch.Operations[i],
			clientTimeout: running.ClientTimeouts[i],
			source:        i,
		}
	}
	for _, index := range running.OperationIndex {
		m.taken[index] = true
	}
	return m
}

// add assigns an index to an operation of the newer deployment.
func (m *operationMerge) add(newer operationSlot, free func(index int) bool) {
	newer.source = noSource
	if running, known := m.runningIndex[newer.name]; known {
		newer.source = running
		if newer == m.slots[running] {
			m.indexByName[newer.name] = running
			return
		}
	}
	index := 0
	for index < len(m.slots) && (m.taken[index] || !free(index)) {
		index++
	}
	if index == len(m.slots) {
		m.slots = append(m.slots, operationSlot{})
	}
	m.slots[index] = newer
	m.indexByName[newer.name] = index
	m.taken[index] = true
}

// mergeTenants returns the names and settings of tenants by index. Removed tenants keep their index;
// new ones are appended.
func (d Deployment) mergeTenants(newer Deployment) ([]string, []dispatch.Tenant) {
	names := slices.Clone(d.Tenants)
	merged := slices.Clone(d.Dispatch.Tenants)
	for i, name := range newer.Tenants {
		index := slices.Index(names, name)
		if index < 0 {
			index = len(names)
			names = append(names, name)
			merged = append(merged, dispatch.Tenant{})
		}
		merged[index] = newer.Dispatch.Tenants[i]
	}
	return names, merged
}
