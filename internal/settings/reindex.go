package settings

// Reindex replaces the indexes of zones and worker kinds, which refer to the lists in the settings, by
// those that zone and kind return for the names.
func (d *Deployment) Reindex(zone, kind func(name string) int) {
	config := &d.Dispatch
	config.Zone = reindex(d.Zones, config.Zone, zone)
	for i := range config.Operations {
		operation := &config.Operations[i]
		operation.WorkerKind = reindex(d.Kinds, operation.WorkerKind, kind)
	}
}

// reindex returns the new index of the name at index; an index without a name is returned unchanged.
func reindex(names []string, index int, newIndex func(name string) int) int {
	if index < 0 || index >= len(names) {
		return index
	}
	return newIndex(names[index])
}
