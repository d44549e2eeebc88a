package workers

import (
	"stoatweir/dispatch"
	"stoatweir/internal/conn"
)

// News is what a worker calls back about a forward.
type News struct {
	ID, From, State string
	Share           float64
	Result          *string
	Load            *dispatch.Load
}

// Take passes news on once: the end of a forward takes it out of the books, so that repeats, late ones and those
// for ids that this process never sent meet nothing. That is told, as another process may have sent them.
func (f *Fleet) Take(n News) bool {
	f.Counts.News++
	o := f.byName[name{n.ID, n.From}]
	if o == nil {
		f.Counts.Strange++
		return false
	}
	if !o.written && (n.State != "done" || n.Result == nil) {
		f.Counts.Strange++ // it is late, and of an earlier forward to that worker: nothing of this one has gone out
		return true
	}
	n.Load = o.worker.said(n.Load, f.site.Report.Blank())
	sign := dispatch.Sign{Inv: o.inv.Inv, Worker: o.worker.entry.Worker, Forward: o.number, Done: n.Share}
	switch n.State {
	case "started":
		o.began, sign.Started = true, true
		f.Event(sign)
	case "running":
		o.began = true
		f.Event(sign)
	case "done":
		if n.Result == nil {
			f.end(o, conn.Garbage, n.Load)
			return true
		}
		f.Deliver(o.inv.Inv, *n.Result)
		f.end(o, conn.Served, n.Load)
	case "failed":
		f.end(o, conn.Faulted, n.Load)
	case "returned":
		f.end(o, conn.HandedBack, n.Load)
	case "lost":
		f.end(o, conn.Lost, n.Load)
	default:
		f.Counts.Strange++
	}
	return true
}
