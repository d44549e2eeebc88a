package discovery

import "stoatweir/dispatch"

// Worker is one entry of the endpoint list.
type Worker struct {
	UID     string // identifies the worker while it is listed, even if its address changes
	Address string // host:port, as seen from this scheduler
	dispatch.Endpoint
}

// Update is a change of the endpoint list, the whole list, or the failure of the watch.
type Update struct {
	Kind    dispatch.UpdateKind
	Workers []Worker // the whole list, or the entries that changed; empty if the watch failed
}

// EndpointUpdate returns the part of the update that is passed to the dispatcher.
func (u Update) EndpointUpdate() dispatch.EndpointUpdate {
	update := dispatch.EndpointUpdate{Kind: u.Kind}
	for _, worker := range u.Workers {
		update.Endpoints = append(update.Endpoints, worker.Endpoint)
	}
	return update
}
