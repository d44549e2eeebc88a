package main

import (
	"fmt"
	"io"
	"testing"

	"github.com/sirupsen/logrus"

	"stoatweir/dispatch"
	"stoatweir/internal/settings"
	"stoatweir/internal/workers"
)

// parseDeployment returns settings with the given operations, which are JSON objects separated by
// commas.
func parseDeployment(t *testing.T, operations string) settings.Deployment {
	t.Helper()
	deployment, err := settings.ParseDeployment([]byte(`{"Operations": [` + operations + `]}`))
	if err != nil {
		t.Fatal(err)
	}
	return deployment
}

// A request comes back from a failed migration during which the settings were reloaded twice: its
// operation is still the one with which it arrived.
func TestReloadWhileMigratingKeepsOperation(t *testing.T) {
	const render = `{"Name":"render","Effect":"read_like","ClientTimeout":5}`
	const sale = `{"Name":"sale","Effect":"non_idempotent","ClientTimeout":5}`
	log := logrus.New()
	log.SetOutput(io.Discard)
	process, err := settings.ParseProcess([]byte(`{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1","settings":{"Operations":[`+
		render+`,`+sale+`]}}`), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	s, err := newService(process, logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	request := &trackedRequest{Invocation: &workers.Invocation{Number: 1}, operation: s.deployment.OperationIndex["sale"]}
	s.requests[1] = request
	s.BeginMigration(1)
	for n := range 2 {
		s.reconfigure(parseDeployment(t, render+fmt.Sprintf(`,{"Name":"other-%d","Effect":"read_like","ClientTimeout":5}`, n)))
	}
	s.CancelMigration(1, dispatch.MigratedIn{})
	if s.requests[1] != request {
		t.Error("the request is not tracked again")
	}
	if name, effect := s.deployment.Operations[request.operation], s.effect(request.operation); name != "sale" ||
		effect != dispatch.NonIdempotent {
		t.Errorf("the operation is %s with effect %d, want sale and NonIdempotent", name, effect)
	}
}
