package discovery

import "time"

// maxCandidateShift bounds how often attempts double the backoff; candidateBackoffMax is reached before.
const maxCandidateShift = 8

// ChangeAddress takes the watch to another address of discovery. The current watch holds until one at the new
// address has received something; the watcher itself dials that address for as long as it takes. Revisions there
// may be counted in another way, so the whole list is requested.
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

func (w *Watcher) dialCandidate() { w.candidate = w.open(noRevision, candidateTimeout) }

// candidateFailed schedules the next attempt. Only the first failure of a change is reported, as attempts follow
// one another quickly.
func (w *Watcher) candidateFailed(cause error) {
	w.candidateAttempts++
	if w.candidateAttempts == 1 {
		w.OnFailure("new address: " + cause.Error())
	}
	backoff := min(candidateBackoffBase<<min(w.candidateAttempts, maxCandidateShift), candidateBackoffMax)
	w.candidateTimer = w.loop.After(w.jitter(backoff/2, backoff), w.dialCandidate)
}

// jitter returns a random span from least up to most, or least where there is no source of randomness.
func (w *Watcher) jitter(least, most time.Duration) time.Duration {
	if w.Rand == nil {
		return least
	}
	return least + time.Duration(w.Rand.Int64N(int64(most-least)))
}
