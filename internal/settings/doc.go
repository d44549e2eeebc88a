// Package settings reads and validates the configuration and applies defaults.
//
// A Process is the configuration of one scheduler: the file that PROXY_CONFIG names, with
// environment variables as defaults for keys that the file omits. It contains the Deployment, which
// all schedulers share, and the Tenancy. On a reload, MissingKey and StartOnlyChanges compare the
// newer configuration with the running one, and Reconfigure merges the two. Each error names the
// invalid key.
package settings
