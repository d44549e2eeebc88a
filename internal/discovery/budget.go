package discovery

import "time"

// What discovery has to tell counts as told 6 s after it had that and could be reached, whether or not it has come, and 4 s after
// an order to move. A call may have been lost just before: to a machine that was cut off, to a process that took it and
// died. So each of these sums stays below its time, all but the second and the last with the grace of half a second in which a worker
// may still be sent to left over:
//
//	a call is lost:              firstWord 3 s + the decisions' or the service's longest wait + callTakes
//	a first call is lost:        the decisions' first spread 2.5 s + firstWord 3 s + their first wait 0.375 s + callTakes
//	a watch falls silent:        silence 3.2 s + first wait 0.375 s + nextWord 1.4 s + second wait 0.375 s + callTakes
//	the order to move, two lost: moveSpread 0.3 s + moveWord 1.5 s + 0.1 s + moveWord 1.5 s + 0.2 s + callTakes
//
// The waits follow the settings (dispatch.Again, service.pause); TestBudget adds up what they are.
const (
	toldAfter  = 6 * time.Second // a change, by the protocol
	movedAfter = 4 * time.Second // the same, of the order to move
	graceLeft  = 500 * time.Millisecond

	// silence is after how long an open watch counts as broken: an empty line comes every 2 s, and it may be late.
	silence = 3200 * time.Millisecond
	// firstWord is what a call has for its first whole list. Discovery takes calls in turn: with less, more of those that wait
	// would be given up and come again behind all others.
	firstWord = 3 * time.Second
	// nextWord is the same of the call that follows a watch which fell silent.
	nextWord = 1400 * time.Millisecond
	// lingers is how long a call may wait for its turn beyond firstWord, beside the one that follows it.
	lingers = 15 * time.Second
	// callTakes is what a call takes that discovery answers: connection, request, list, and our own turns.
	callTakes = 100 * time.Millisecond
	// connectIn is how long a connection may take to come up; part of the spans above.
	connectIn = time.Second

	// leastWord: whatever the settings say, an answer has a way to go.
	leastWord = 250 * time.Millisecond

	// The watch moves to another address: first and longest wait between tries, half of it by chance; what schedulers
	// that are told together are spread over; what the new address has for its first word.
	moveFirst, moveMost = 50 * time.Millisecond, time.Second
	moveSpread          = 300 * time.Millisecond
	moveWord            = 1500 * time.Millisecond
)

// patience is how long the next call may take to its first list. Without a watch we are held to what we know for as long as the
// settings give for asking, four times as long after a call that failed: half of the one, or of the other, is the call's, up
// to firstWord. It grows with failures, as where the queue is longer than half of a short time nobody would get through.
func (w *Watcher) patience() time.Duration {
	if w.PollWithin == 0 {
		return firstWord
	}
	return min(firstWord, max(w.PollWithin/2<<min(w.failed, 2), leastWord))
}
