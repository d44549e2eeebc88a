package settings

import (
	"slices"
	"time"

	"stoatweir/dispatch"
)

// noSource, among the sources that Reconfigure returns, is an operation that nothing is known of.
const noSource = -1

// Reconfigure returns the deployment once a newer one is applied. Operations are identified by
// name, whatever their order: one that has not changed keeps its index, any other gets one that is
// free, and one that is removed keeps its own for what is in flight.
//
// from has, for each index, the index whose estimates continue there: its own, that of the
// operation before it was changed, or -1 for none.
func (d Deployment) Reconfigure(newer Deployment, free func(index int) bool) (merged Deployment, from []int) {
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
	from = slices.Grow(from, count)
	for _, slot := range merge.slots {
		merged.Operations = append(merged.Operations, slot.name)
		merged.ClientTimeouts = append(merged.ClientTimeouts, slot.clientTimeout)
		merged.Dispatch.Operations = append(merged.Dispatch.Operations, slot.operation)
		// Of those that are removed too, as a shutdown waits for them.
		merged.LongestTimeout = max(merged.LongestTimeout, slot.clientTimeout)
		from = append(from, slot.source)
	}
	merged.Tenants, merged.Dispatch.Tenants = d.mergeTenants(newer)
	// Whether changes of the endpoint list are pushed is applied only at a start.
	merged.Dispatch.EndpointsPushed = d.Dispatch.EndpointsPushed
	return merged, from
}

// operationSlot is the operation at one index.
type operationSlot struct {
	name          string
	operation     dispatch.Operation
	clientTimeout time.Duration
	source        int // index whose estimates continue here, or noSource
}

// operationMerge is a merge of operations that is under way.
type operationMerge struct {
	slots        []operationSlot // by index
	taken        map[int]bool    // indexes that no other operation may get
	runningIndex map[string]int  // before the merge, by name
	indexByName  map[string]int
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

// add gives an operation of the newer deployment its index.
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

// mergeTenants returns names and settings of tenants by index: those that are removed keep their
// index, new ones are added behind.
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
