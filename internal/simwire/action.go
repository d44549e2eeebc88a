package simwire

import (
	"errors"
	"fmt"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/settings"
)

// reply encodes the actions that answer a batch.
type reply struct{ frameWriter }

func newReply() *reply {
	r := &reply{frameWriter{headerSize: replyHeaderSize}}
	r.reset()
	return r
}

func (r *reply) begin(code actionCode, scheduler uint32) { r.record(uint8(code), scheduler) }

// action encodes one action of a scheduler. It panics if the protocol has no record for it.
func (r *reply) action(scheduler uint32, e epoch, action dispatch.Action) {
	switch a := action.(type) {
	case dispatch.Forward:
		r.begin(actionForward, scheduler)
		r.invocation(a.Invocation)
		r.f64(noAttemptTimeout)
		r.worker(a.Worker)
	case dispatch.Throttle:
		r.begin(actionNotNow, scheduler)
		r.invocation(a.Invocation)
		r.f64(a.RetryAfter.Seconds())
	case dispatch.Fail:
		r.begin(actionDropRequest, scheduler)
		r.invocation(a.Invocation)
	case dispatch.Cancel:
		r.begin(actionCallOff, scheduler)
		r.invocation(a.Invocation)
		r.u8(uint8(a.Attempt))
	case dispatch.HealthCheck:
		r.begin(actionHealthCheck, scheduler)
		r.worker(a.Worker)
	case dispatch.SetTimer:
		r.begin(actionAfter, scheduler)
		r.f64(e.clock(a.At))
		r.u64(noToken)
	case dispatch.WatchEndpoints:
		r.begin(actionFollow, scheduler)
		r.u8(subscribe)
	case dispatch.SendGossip:
		r.gossip(scheduler, a)
	case dispatch.Log:
		r.begin(actionJournalLine, scheduler)
		r.text(a.String())
	default:
		panic(fmt.Sprintf("the protocol has no action for %T", action))
	}
}

func (r *reply) gossip(scheduler uint32, a dispatch.SendGossip) {
	recipient := everyPeer
	if a.To >= 0 {
		recipient = uint16(a.To)
	}
	for _, message := range dispatch.EncodeGossip(a.Entries) {
		r.begin(actionMemoTo, scheduler)
		r.u16(recipient)
		r.text(string(message))
	}
}

// broken encodes the report that the decider of a scheduler has failed.
func (r *reply) broken(scheduler uint32, text string) {
	r.begin(actionBroken, scheduler)
	r.text(text)
}

// action decodes the rest of an action record, after its code and scheduler. startedAt is when the
// instance was started, by the clock of the run.
func (c *cursor) action(code actionCode, startedAt time.Duration) (dispatch.Action, error) {
	switch code {
	case actionForward:
		invocation := c.invocation()
		c.u64() // limit
		return dispatch.Forward{Invocation: invocation, Worker: c.worker()}, nil
	case actionNotNow:
		return dispatch.Throttle{Invocation: c.invocation(), RetryAfter: settings.Duration(c.f64())}, nil
	case actionDropRequest:
		return dispatch.Fail{Invocation: c.invocation()}, nil
	case actionCallOff:
		return dispatch.Cancel{Invocation: c.invocation(), Attempt: int(c.u8())}, nil
	case actionAfter:
		at := settings.Duration(c.f64()) - startedAt
		c.u64() // token
		return dispatch.SetTimer{At: at}, nil
	case actionHealthCheck:
		return dispatch.HealthCheck{Worker: c.worker()}, nil
	case actionJournalLine:
		return dispatch.Log{Message: string(c.text())}, nil
	case actionBroken:
		return nil, fmt.Errorf("the program reported a failure: %s", c.text())
	case actionFollow:
		c.u8() // whether to subscribe
		return dispatch.WatchEndpoints{}, nil
	}
	return nil, errors.New("unknown action code")
}
