// Package accounting counts, per class of requests, what was admitted and how it was completed, and beside that the
// forwards to workers and the reloads of the configuration. The Ledger holds the running counts, Totals is a copy of them
// at one moment, and its Text is what the admin command stats prints.
//
// The package has neither clock nor I/O.
package accounting
