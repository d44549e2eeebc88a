package accounting

// Disposition is the way in which a request was completed.
type Disposition uint8

// The dispositions of a request.
const (
	Succeeded Disposition = iota
	Declined              // rejected: the client may safely retry
	Aborted               // failed: a retry may not be safe
	Abandoned             // the client disconnected before its answer
	Migrated              // handed over to another process, which completes it

	dispositionCount = iota
)

// reportedDispositions holds the metric label of each Disposition that Text reports.
var reportedDispositions = [...]string{
	Succeeded: "succeeded",
	Declined:  "declined",
	Aborted:   "aborted",
}

// Class holds the counts of one class of requests.
type Class struct {
	Name      string                `json:"Name"` // empty if this entry of the ledger is unused
	Admitted  int                   `json:"Taken"`
	Completed [dispositionCount]int `json:"Ended"` // indexed by Disposition
}

// Outstanding returns the number of requests that were admitted and have not completed yet.
func (c Class) Outstanding() int {
	outstanding := c.Admitted
	for _, n := range c.Completed {
		outstanding -= n
	}
	return outstanding
}
