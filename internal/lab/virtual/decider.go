package virtual

import (
	"stoatweir/dispatch"
	"stoatweir/internal/settings"
	"stoatweir/internal/simwire"
)

// Decider makes the decisions of one scheduler, as *dispatch.Dispatcher does.
type Decider = simwire.Decider

// DeciderFactory makes the decider of one scheduler, by its number, seed and settings as JSON.
type DeciderFactory func(scheduler int, seed int64, settings []byte) (Decider, error)

// Module is the DeciderFactory of the decision module in this process.
func Module(_ int, seed int64, text []byte) (Decider, error) {
	deployment, err := settings.ParseDeployment(text)
	if err != nil {
		return nil, err
	}
	deployment.Dispatch.NotifiesAccepted = true
	return dispatch.New(deployment.Dispatch, seed), nil
}
