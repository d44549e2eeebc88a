package discovery

import "time"

// maxCandidateDoublings keeps the shift of the backoff from overflowing. candidateBackoffMax is
// reached after fewer doublings.
const maxCandidateDoublings = 8

// ChangeAddress moves the watch to another address of discovery. The current watch stays open until
// a watch of the new address has received a list. The watcher keeps dialling the new address by
// itself until it succeeds. It requests the whole list there, as the service at that address may
// count revisions differently.
func (w *Watcher) ChangeAddress(addr string) {
	if addr == w.addr {
		return
	}
	w.candidate.close()
	w.candidate = nil
	w.overdue.close()
	w.overdue = nil
	w.candidateTimer.Stop()
	w.addr = addr
	w.candidateAttempts = 0
	if w.current != nil && w.current.addr == addr && w.current.established {
		w.changingAddress = false // changed back before the new address was reached
		return
	}
	w.changingAddress = true
	w.candidateTimer = w.loop.After(w.jitter(0, addressChangeJitter), w.dialCandidate)
}

func (w *Watcher) dialCandidate() {
	w.candidate = w.open(noRevision, candidateTimeout)
	w.candidate.toNewAddress = true
}

// candidateFailed schedules the next attempt to reach the new address. Only the first failure after
// a change of the address is reported, as attempts follow each other quickly.
func (w *Watcher) candidateFailed(cause error) {
	w.candidateAttempts++
	if w.candidateAttempts == 1 {
		w.OnFailure("new address: " + cause.Error())
	}
	backoff := min(candidateBackoffBase<<min(w.candidateAttempts, maxCandidateDoublings), candidateBackoffMax)
	w.candidateTimer = w.loop.After(w.jitter(backoff/2, backoff), w.dialCandidate)
}

// jitter returns a random duration from low up to but excluding high, or low if there is no source
// of randomness.
func (w *Watcher) jitter(low, high time.Duration) time.Duration {
	if w.Rand == nil {
		return low
	}
	return low + time.Duration(w.Rand.Int64N(int64(high-low)))
}
