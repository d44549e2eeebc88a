package accounting

// Disposition is how a request was completed.
type Disposition uint8

// The dispositions of a request.
const (
	Succeeded Disposition = iota
	Declined              // rejected: the client may safely retry
	Aborted               // failed
	Abandoned             // the client has disconnected
	Migrated              // another process has it now

	dispositionCount = iota
)

// reportedDispositions names, by Disposition, those that Text reports.
var reportedDispositions = [...]string{
	Succeeded: "succeeded",
	Declined:  "declined",
	Aborted:   "aborted",
}

// Class is the account of one class of requests.
type Class struct {
	Name      string                `json:"Name"` // empty: the account is free
	Admitted  int                   `json:"Taken"`
	Completed [dispositionCount]int `json:"Ended"` // by Disposition
}

// Outstanding counts the requests that were admitted and are not completed.
func (c Class) Outstanding() int {
	outstanding := c.Admitted
	for _, n := range c.Completed {
		outstanding -= n
	}
	return outstanding
}
