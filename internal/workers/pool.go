package workers

import (
	"slices"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/conn"
	"stoatweir/internal/http1"
)

// strayMost is how late a second answer may come to a request that has had one. On a connection that has rested for so long
// the next answer belongs to the next request.
const strayMost = 100 * time.Millisecond

const (
	// Some connections come up late, and the next one at once: a part of the time that one has is waited before another is
	// dialled. Whichever comes up first has the request; the others are kept, as their price has been paid.
	redialPart = 5
	dialsMost  = 3
	// redialRoom descriptors are left for those that have no connection on its way.
	redialRoom = 8
)

// ask sends on the connection used last, as it is the least likely to have been closed by the worker, or opens one.
// False: it has failed at once, and done has been called.
func (f *Fleet) ask(w *worker, a *ask) bool {
	for n := len(w.idle) - 1; n >= 0; n-- {
		l := w.idle[n]
		rested := f.loop.Now() - l.parked
		if a.alone && rested < strayMost {
			continue
		}
		w.idle = slices.Delete(w.idle, n, n+1)
		l.expiry.Stop()
		if rested > f.keeps() || l.c.Readable() { // its end, or an answer to nothing, that has not been read yet
			l.c.Close()
			continue
		}
		l.c.Set(conn.Busy)
		l.ask, a.line = a, l
		return l.send()
	}
	if !f.share.Spare(0) {
		a.done(nil, conn.Crowded)
		return false
	}
	f.dial(w, a, f.loop.Now()+f.site.ConnTimeout)
	return true
}

// dial opens one more connection for what is asked. All have the time of the first.
func (f *Fleet) dial(w *worker, a *ask, until time.Duration) {
	f.Counts.Dialled++
	l := &line{fleet: f, worker: w, endpoint: w.endpoint, parser: http1.Parser{Answers: true}, ask: a}
	l.c = f.share.Dial(w.endpoint, until-f.loop.Now(), l)
	if a.dials = append(a.dials, l); len(a.dials) < dialsMost {
		a.again = f.loop.After(f.site.ConnTimeout/redialPart, func() {
			if f.share.Room() > redialRoom && w.entry.Standing == dispatch.Ready && w.endpoint == l.endpoint {
				f.dial(w, a, until)
			}
		})
	}
}

func (l *line) park() {
	l.expiry.Stop()
	w, f := l.worker, l.fleet
	if f.keeps() < keepLeast {
		l.c.Close()
		return
	}
	w.idle = append(w.idle, l)
	l.c.Set(conn.Done) // whatever comes over it is no answer
	l.kept, l.parked = true, f.loop.Now()
	l.expiry = f.loop.After(f.keeps(), func() {
		w.forget(l)
		l.c.Close()
	})
}

func (w *worker) forget(l *line) {
	for i, other := range w.idle {
		if other == l {
			l.expiry.Stop()
			w.idle = append(w.idle[:i], w.idle[i+1:]...)
			return
		}
	}
}

func (w *worker) shutIdle() {
	for _, l := range w.idle {
		l.expiry.Stop()
		l.c.Close()
	}
	w.idle = nil
}

// keeps is how long connections are kept: a part of the time that the settings give, as a request must not cross the
// worker's closing, and less while kept ones end before that.
func (f *Fleet) keeps() time.Duration {
	most := time.Duration(idlePart * float64(f.site.ConnIdle))
	return min(most, f.lasts<<min(int((f.loop.Now()-f.broke)/keepAgain), 30))
}

func (f *Fleet) distrust(lasted time.Duration) {
	f.lasts, f.broke = min(f.keeps(), max(lasted/2, keepLeast/2)), f.loop.Now()
}
