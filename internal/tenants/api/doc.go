// Package api is the administrators' HTTP API: tenants as versioned resources, on a listener of its
// own. docs/tenants-openapi.json describes it.
//
// Registry owns the store of tenants, serializes changes and publishes the result to the scheduler.
// API authenticates administrators, decodes their requests and answers from the registry; errors
// are problems by RFC 9457.
package api
