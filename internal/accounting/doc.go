// Package accounting counts, for each class of requests, how many were admitted and how they were
// completed. It also counts forwards to workers and reloads of the configuration. Ledger holds the
// running counts, Totals is a copy of them at one moment, and Totals.Text is what the admin command
// stats prints.
//
// The package reads no clock and does no I/O.
package accounting
