package clients

import (
	"net/http"
	"strings"

	"stoatweir/internal/http1"
)

// Paths that don't belong to an operation.
const (
	callbackPath = "/_jobs/news"
	readyPath    = "/-/ready"
	countsPath   = "/-/counts"
	historyPath  = "/-/history"
)

// historyQueryPrefix precedes the request identifier in the query of historyPath.
const historyQueryPrefix = "id="

// route calls the handler for a request's path. The pages for operators (counters and history) are
// not available if tenants are served: they would show one tenant's figures to another.
func (c *connection) route(m *http1.Message) {
	s := c.server
	path, query, _ := strings.Cut(m.Target, "?")
	switch {
	case path == callbackPath:
		c.handleCallback(m)
	case path == readyPath && s.Behavior().Ready:
		c.answer(http.StatusOK, nil)
	case path == readyPath:
		c.answer(http.StatusServiceUnavailable, nil)
	case path == countsPath && s.Admission == nil:
		c.answer(http.StatusOK, s.CountersPage(), contentType("application/json"))
	case path == historyPath && s.Admission == nil && s.HistoryPage != nil:
		id := strings.TrimPrefix(query, historyQueryPrefix)
		c.answer(http.StatusOK, s.HistoryPage(id), contentType("text/plain"))
	case m.Method != http.MethodPost:
		c.reject(http.StatusMethodNotAllowed)
	default:
		c.handleInvocation(m, path)
	}
}

func contentType(value string) http1.Field {
	return http1.Field{Name: "Content-Type", Value: value}
}
