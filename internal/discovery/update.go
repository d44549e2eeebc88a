package discovery

import "stoatweir/dispatch"

// Worker is one entry of the endpoint list.
type Worker struct {
	UID     string // names the worker for as long as it is listed, whatever its address
	Address string // host:port, as seen from this scheduler
	dispatch.Endpoint
}

// Update is a change of the endpoint list, the whole list, or the failure of the watch.
type Update struct {
	Kind    dispatch.UpdateKind
	Workers []Worker // the whole list, or the entries that changed; none where the watch has failed
}

// EndpointUpdate returns the part of the update that the dispatcher is given.
func (u Update) EndpointUpdate() dispatch.EndpointUpdate {
	update := dispatch.EndpointUpdate{Kind: u.Kind}
	for _, worker := range u.Workers {
		update.Endpoints = append(update.Endpoints, worker.Endpoint)
	}
	return update
}
