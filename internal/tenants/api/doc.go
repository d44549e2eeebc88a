// Package api is the HTTP API with which administrators manage tenants, as versioned resources. It
// has a listener of its own and is described by docs/tenants-openapi.json.
//
// Registry owns the store of tenants, serializes changes and publishes the result to the scheduler.
// API authenticates administrators, decodes their requests and answers from the registry. Errors are
// sent as problem details (RFC 9457).
package api
