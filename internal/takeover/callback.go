package takeover

import (
	"time"

	"stoatweir/internal/conn"
	"stoatweir/internal/handover"
	"stoatweir/internal/workers"
)

const (
	// callbackResultTimeout bounds the wait for the other process's result of a relayed callback.
	callbackResultTimeout = 400 * time.Millisecond
	// ownerUnknownWindow is the time after the start of this process during which a callback of an
	// unknown request may belong to an unreachable process at the same address.
	ownerUnknownWindow = 8 * time.Second
)

// pendingCallback is a callback that was relayed to the other process, which has not answered yet.
type pendingCallback struct {
	callback workers.Callback
	// onResult is called once. settled is false if the worker should send the callback again.
	onResult func(settled bool)
	timeout  *conn.Timer
}

// RelayCallback relays a callback whose request is not in flight in this process to the other
// process, and calls onResult later from the event loop. It returns false, and does not call onResult,
// if no other process can have the request.
func (m *Manager) RelayCallback(callback workers.Callback, body []byte, onResult func(settled bool)) bool {
	p := m.peer
	if p == nil && m.ownerUnknown() {
		// The callback is reported as not settled, so that the worker sends it again: that attempt may
		// reach the other process.
		m.loop.After(0, func() { onResult(false) })
		return true
	}
	if p == nil {
		return false
	}
	p.sequence++
	sequence := p.sequence
	onTimeout := func() {
		delete(p.callbacks, sequence)
		onResult(false)
	}
	p.callbacks[sequence] = &pendingCallback{
		callback: callback,
		onResult: onResult,
		timeout:  m.loop.After(callbackResultTimeout, onTimeout),
	}
	p.link.Send(handover.Message{Kind: handover.KindCallback, Sequence: sequence, Body: body})
	return true
}

// ownerUnknown reports whether a request that is unknown here may be in flight in a process at the
// same address that can't be reached.
func (m *Manager) ownerUnknown() bool {
	return m.address.Shared && m.address.Predecessor == nil && m.loop.Now() < ownerUnknownWindow
}

// handleCallback handles a callback that the other process has relayed, and sends the result.
func (m *Manager) handleCallback(p *peer, message handover.Message) {
	callback, err := m.clients.ParseCallback(message.Body)
	owned := err == nil && m.workers.HandleCallback(callback)
	p.link.Send(handover.Message{
		Kind:         handover.KindCallbackResult,
		Sequence:     message.Sequence,
		Accepted:     owned,
		OwnerUnknown: !owned && p.isMigrating(callback.ID),
	})
}

// handleCallbackResult settles a relayed callback. If neither process found the request, it may have
// been migrating in either direction when the callback arrived, so it is looked up here again: a
// request that the other process sent has arrived by now, as messages arrive in order and the result
// was sent after it.
func (m *Manager) handleCallbackResult(p *peer, message handover.Message) {
	pending := p.callbacks[message.Sequence]
	if pending == nil {
		return
	}
	delete(p.callbacks, message.Sequence)
	pending.timeout.Stop()
	settled := message.Accepted ||
		m.workers.HandleCallback(pending.callback) ||
		!message.OwnerUnknown && !p.isMigrating(pending.callback.ID)
	pending.onResult(settled)
}

// resolveCallbacks settles all callbacks that the other process did not answer before it exited. The
// clients whose requests were in flight there no longer wait for them. Other requests may be in flight
// in this process by now, so each callback is looked up here again.
func (m *Manager) resolveCallbacks(p *peer) {
	for _, pending := range p.callbacks {
		pending.timeout.Stop()
		m.workers.HandleCallback(pending.callback)
		pending.onResult(true)
	}
}
