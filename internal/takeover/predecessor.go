package takeover

import (
	"stoatweir/internal/handover"
)

// requestIDsPerMessage bounds the request IDs in one message, so that it fits in a packet.
const requestIDsPerMessage = 256

// handleHandshake passes the listening socket and half of the quotas to a successor, or rejects it.
func (m *Manager) handleHandshake(h *handover.Handshake) {
	if h.ProcessName != "" && h.ProcessName != m.processName {
		reason := handover.ReasonNameMismatch
		m.log.WithField("name", h.ProcessName).WithField("reason", string(reason)).Warn("successor rejected")
		go h.Reject(reason)
		return
	}
	if m.peer != nil || h.ListenAddress != m.listenAddress {
		go h.Reject(handover.ReasonTakeoverInProgress)
		return
	}
	quotas := handover.Message{Sockets: m.sockets / 2, MemoryMB: m.memoryMB / 2}
	link, err := h.Accept(m.address.Listener, quotas)
	if err != nil {
		m.log.WithError(err).Warn("successor handshake failed")
		return
	}
	m.log.Info("successor accepted")
	m.service.SetQuotas(m.sockets-quotas.Sockets, m.memoryMB-quotas.MemoryMB)
	m.startLink(link, roleSuccessor)
	m.sendRequestIDs(link)
}

// sendRequestIDs sends the IDs of all requests in flight in this process to a successor.
func (m *Manager) sendRequestIDs(link *handover.Link) {
	ids := m.clients.IDs()
	for len(ids) > 0 {
		n := min(len(ids), requestIDsPerMessage)
		link.Send(handover.Message{Kind: handover.KindIDsAcquired, IDs: ids[:n]})
		ids = ids[n:]
	}
}

// AnnounceOwnership informs the peer, if any, that a request is in flight in this process (owned) or no
// longer is.
func (m *Manager) AnnounceOwnership(id string, owned bool) {
	if m.peer == nil {
		return
	}
	kind := handover.KindIDsReleased
	if owned {
		kind = handover.KindIDsAcquired
	}
	m.peer.link.Send(handover.Message{Kind: kind, IDs: []string{id}})
}

// IDInUseAtPeer reports whether the request of an ID is in flight in the other process.
func (m *Manager) IDInUseAtPeer(id string) bool { return m.peer != nil && m.peer.requestIDs[id] }
