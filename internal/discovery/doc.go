// Package discovery follows the list of worker endpoints that the discovery service publishes.
//
// A Watcher holds one long-lived request, the watch, over which discovery streams the whole list, each
// change of it, and blank lines as keep-alives. The watcher reports updates and failures; its owner decides
// when to watch again after a failure.
//
//   - watcher.go: the Watcher and the transitions between its watches
//   - watch.go: one watch, from dialling to its end
//   - address.go: the change to another address of discovery
//   - parse.go, nameindex.go, ids.go: from the text of a list to endpoints
//   - scanner.go: where one list ends and the next begins
//   - starts.go: start times of workers by the scheduler's own clock
//   - budget.go: the timeouts, and how they add up
package discovery
