package settings

// Reindex replaces the indexes of zones and worker kinds, which are of this text's lists, by those
// that the functions return for the names.
func (d *Deployment) Reindex(zone, kind func(name string) int) {
	config := &d.Dispatch
	config.Zone = reindex(d.Zones, config.Zone, zone)
	for i := range config.Operations {
		operation := &config.Operations[i]
		operation.WorkerKind = reindex(d.Kinds, operation.WorkerKind, kind)
	}
}

// reindex returns the new index of a name; an index without a name stays.
func reindex(names []string, index int, newIndex func(name string) int) int {
	if index < 0 || index >= len(names) {
		return index
	}
	return newIndex(names[index])
}
