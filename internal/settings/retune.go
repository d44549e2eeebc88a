package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"stoatweir/dispatch"
)

// Renumber writes zones and kinds of workers by the indices that are in use here, whatever their order in the text.
func (s *Deployment) Reindex(zone, kind func(name string) int) {
	at := func(names []string, n int, index func(string) int) int {
		if n < 0 || n >= len(names) {
			return n
		}
		return index(names[n])
	}
	d := &s.Dispatch
	d.Zone = at(s.Zones, d.Zone, zone)
	for i := range d.Operations {
		d.Operations[i].WorkerKind = at(s.Kinds, d.Operations[i].WorkerKind, kind)
	}
}

// Retune gives what holds once a newer text is taken over. Operations are known by name, whatever their order: one that
// has not changed keeps its index, any other gets one that is free, and one that is gone keeps its own for what is under
// way. From tells, for each index, whose learning goes on there: its own, that of the index before, or none (-1).
func (s Deployment) Reconfigure(newer Deployment, free func(index int) bool) (merged Deployment, from []int) {
	merged, d := newer, &newer.Dispatch
	operations, names, timeouts := slices.Clone(s.Dispatch.Operations), slices.Clone(s.Operations), slices.Clone(s.ClientTimeouts)
	taken := map[int]bool{}
	for _, i := range s.OperationIndex {
		taken[i] = true
	}
	for i := range operations {
		from = append(from, i)
	}
	merged.OperationIndex = map[string]int{}
	for n, name := range newer.Operations {
		before, known := s.OperationIndex[name]
		if known && operations[before] == d.Operations[n] && timeouts[before] == newer.ClientTimeouts[n] {
			merged.OperationIndex[name] = before
			continue
		}
		if !known {
			before = -1
		}
		at := 0
		for at < len(operations) && (taken[at] || !free(at)) {
			at++
		}
		if at == len(operations) {
			operations, names = append(operations, dispatch.Operation{}), append(names, "")
			timeouts, from = append(timeouts, 0), append(from, -1)
		}
		operations[at], names[at], timeouts[at], from[at] = d.Operations[n], name, newer.ClientTimeouts[n], before
		merged.OperationIndex[name], taken[at] = at, true
	}
	merged.Dispatch.Operations, merged.Operations, merged.ClientTimeouts = operations, names, timeouts
	for _, timeout := range timeouts { // of those that are gone too, as a stop waits for them
		merged.LongestTimeout = max(merged.LongestTimeout, timeout)
	}
	// Tenants that are gone keep their index, new ones come behind.
	merged.Tenants, merged.Dispatch.Tenants = slices.Clone(s.Tenants), slices.Clone(s.Dispatch.Tenants)
	for n, name := range newer.Tenants {
		at := slices.Index(merged.Tenants, name)
		if at < 0 {
			at = len(merged.Tenants)
			merged.Tenants = append(merged.Tenants, name)
			merged.Dispatch.Tenants = append(merged.Dispatch.Tenants, dispatch.Tenant{})
		}
		merged.Dispatch.Tenants[at] = d.Tenants[n]
	}
	// Whether changes of the list come unasked is a way of starting.
	merged.Dispatch.EndpointsPushed = s.Dispatch.EndpointsPushed
	return merged, from
}

// startOnly are the keys that only a start reads.
var startOnly = map[string]bool{"known": true, "seed": true}

// Lacks names a key that the running text has and a newer one does not: it was cut short, or written by mistake.
func (n Process) MissingKey(newer Process) error {
	var old, now any
	if json.Unmarshal(n.Text, &old) != nil || json.Unmarshal(newer.Text, &now) != nil {
		return nil // neither was taken that could not be read; a running one without a text has no keys
	}
	if key := lacks(old, now, ""); key != "" {
		return fmt.Errorf("%s: is missing, and the running configuration has it", key)
	}
	return nil
}

func lacks(old, now any, path string) string {
	switch o := old.(type) {
	case map[string]any:
		n, is := now.(map[string]any)
		if !is {
			return path
		}
		for _, key := range slices.Sorted(maps.Keys(o)) {
			at := key
			if path != "" {
				at = path + "." + key
			}
			if startOnly[at] {
				continue
			}
			value, has := n[key]
			if !has {
				return at
			}
			if missing := lacks(o[key], value, at); missing != "" {
				return missing
			}
		}
	case []any:
		// Of a list of objects each entry must have what all have now.
		n, is := now.([]any)
		if !is {
			return path
		}
		for i, entry := range n {
			if missing := lacks(common(o), entry, fmt.Sprintf("%s[%d]", path, i)); missing != "" {
				return missing
			}
		}
	}
	return ""
}

// common is an object with the keys that all entries of a list have; nil where they are no objects.
func common(list []any) any {
	var all map[string]any
	for _, entry := range list {
		object, is := entry.(map[string]any)
		if !is {
			return nil
		}
		if all == nil {
			all = maps.Clone(object)
		}
		maps.DeleteFunc(all, func(key string, value any) bool {
			_, has := object[key]
			return !has
		})
	}
	if all == nil {
		return nil
	}
	return all
}
