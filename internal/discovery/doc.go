// Package discovery follows the list of worker endpoints that the discovery service publishes.
//
// A Watcher maintains one long-lived request, the watch, over which discovery streams the whole
// list, each change of it, and blank lines as keep-alives. The watcher reports updates and failures;
// its owner decides when to start another watch after a failure.
//
//   - watcher.go: the Watcher and the transitions between its watches
//   - watch.go: one watch, from the dial to its close
//   - address.go: the change to another address of discovery
//   - parse.go, nameindex.go, ids.go: decoding of lists into endpoints
//   - scanner.go: splitting of the stream into lists
//   - starts.go: conversion of workers' start times to the scheduler's clock
//   - budget.go: the timeouts, and their sums in the worst cases
package discovery
