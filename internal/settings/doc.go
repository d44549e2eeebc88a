// Package settings is the one place that reads, validates and defaults what operators configure.
//
// A Process is the configuration of one scheduler: the file that PROXY_CONFIG names, with
// environment variables for what the file leaves out. It holds the Deployment, which all schedulers
// share, and the Tenancy. A newer configuration is compared with the running one by MissingKey and
// StartOnlyChanges and merged into it by Reconfigure. Every error names the key at fault.
package settings
