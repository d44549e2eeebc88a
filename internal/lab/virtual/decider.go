package virtual

import (
	"stoatweir/dispatch"
	"stoatweir/internal/settings"
	"stoatweir/internal/simwire"
)

// Decider makes the decisions of one scheduler. *dispatch.Dispatcher implements it.
type Decider = simwire.Decider

// DeciderFactory returns a new decider for a scheduler, given its number, its random seed and its
// settings as JSON.
type DeciderFactory func(scheduler int, seed int64, settings []byte) (Decider, error)

// NewModuleDecider is the DeciderFactory that runs the decision module, package dispatch, in this
// process.
func NewModuleDecider(_ int, seed int64, settingsJSON []byte) (Decider, error) {
	deployment, err := settings.ParseDeployment(settingsJSON)
	if err != nil {
		return nil, err
	}
	deployment.Dispatch.WorkersReportAccepted = true
	return dispatch.New(deployment.Dispatch, seed), nil
}
