package workers

import (
	"stoatweir/dispatch"
	"stoatweir/internal/conn"
)

// News is what a worker calls back about an attempt.
type Callback struct {
	ID, From, State string
	Share           float64
	Result          *string
	Load            *dispatch.LoadReport
}

// Take passes news on once: the end of an attempt takes it out of the books, so that repeats, late ones and those
// for ids that this process never sent meet nothing. That is told, as another process may have sent them.
func (f *Transport) HandleCallback(n Callback) bool {
	f.Counts.News++
	a := f.byName[workKey{n.ID, n.From}]
	if a == nil {
		f.Counts.Strange++
		return false
	}
	if !a.written && (n.State != "done" || n.Result == nil) {
		f.Counts.Strange++ // it is late, and of an earlier attempt at that worker: nothing of this one has gone out
		return true
	}
	n.Load = a.worker.firstReport(n.Load, f.site.Report.Unknown())
	sign := dispatch.AttemptProgress{Invocation: a.inv.Number, Worker: a.worker.entry.Worker, Attempt: a.number, Done: n.Share}
	switch n.State {
	case "started":
		a.began, sign.Started = true, true
		f.OnEvent(sign)
	case "running":
		a.began = true
		f.OnEvent(sign)
	case "done":
		if n.Result == nil {
			f.end(a, conn.Malformed, n.Load)
			return true
		}
		f.Deliver(a.inv.Number, *n.Result)
		f.end(a, conn.Succeeded, n.Load)
	case "failed":
		f.end(a, conn.WorkerError, n.Load)
	case "returned":
		f.end(a, conn.Returned, n.Load)
	case "lost":
		f.end(a, conn.Lost, n.Load)
	default:
		f.Counts.Strange++
	}
	return true
}
