package takeover

import (
	"time"

	"stoatweir/internal/conn"
	"stoatweir/internal/handover"
	"stoatweir/internal/workers"
)

const (
	// callbackResultTimeout is how long the other process may take to answer for a callback.
	callbackResultTimeout = 400 * time.Millisecond
	// ownerUnknownWindow is how long after the start callbacks of unknown requests may be those of a process that can't be
	// reached.
	ownerUnknownWindow = 8 * time.Second
)

// pendingCallback is a callback that was relayed and not answered yet.
type pendingCallback struct {
	callback workers.Callback
	// onResult is called once, with whether the worker is told that the callback is settled.
	onResult func(settled bool)
	timeout  *conn.Timer
}

// RelayCallback asks the other process about a callback whose request is not here. It calls onResult later, or returns
// false where nobody could have the request.
func (m *Manager) RelayCallback(callback workers.Callback, body []byte, onResult func(settled bool)) bool {
	p := m.peer
	if p == nil && m.ownerUnknown() {
		// The worker's next attempt may reach the other process.
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

// ownerUnknown reports whether a process that can't be reached may have requests that are not here.
func (m *Manager) ownerUnknown() bool {
	return m.address.Shared && m.address.Predecessor == nil && m.loop.Now() < ownerUnknownWindow
}

// handleCallback answers for a callback that the other process has relayed.
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

// handleCallbackResult settles a callback that was relayed. If neither process had its request, that was migrating one way
// or the other; it has arrived by now, as the answer was sent after it.
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

// resolveCallbacks settles all callbacks that the other process did not answer before it exited. Nobody waits for those
// whose request was there; others may have become ours meanwhile.
func (m *Manager) resolveCallbacks(p *peer) {
	for _, pending := range p.callbacks {
		pending.timeout.Stop()
		m.workers.HandleCallback(pending.callback)
		pending.onResult(true)
	}
}
