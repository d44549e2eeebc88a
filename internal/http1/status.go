package http1

// The status codes that the service sends or handles specially, as registered with IANA.
const (
	StatusOK                   = 200
	StatusNoContent            = 204
	StatusNotModified          = 304
	StatusBadRequest           = 400
	StatusNotFound             = 404
	StatusMethodNotAllowed     = 405
	StatusRequestTimeout       = 408
	StatusConflict             = 409
	StatusContentTooLarge      = 413
	StatusHeaderFieldsTooLarge = 431
	StatusInternalServerError  = 500
	StatusNotImplemented       = 501
	StatusBadGateway           = 502
	StatusServiceUnavailable   = 503
	StatusVersionNotSupported  = 505
)

const (
	// minStatus is the lowest valid status code.
	minStatus = 100
	// minFinalStatus is the lowest status code of a final response; lower ones are interim
	// responses.
	minFinalStatus = 200
	// statusDigits is the number of digits of a status code.
	statusDigits = 3
)

// reasonPhrases are written after the status code. The phrase of a status that is not listed is
// empty.
var reasonPhrases = map[int]string{
	StatusOK:                   "OK",
	StatusNoContent:            "No Content",
	StatusBadRequest:           "Bad Request",
	StatusNotFound:             "Not Found",
	StatusMethodNotAllowed:     "Method Not Allowed",
	StatusRequestTimeout:       "Request Timeout",
	StatusConflict:             "Conflict",
	StatusContentTooLarge:      "Content Too Large",
	StatusHeaderFieldsTooLarge: "Request Header Fields Too Large",
	StatusInternalServerError:  "Internal Server Error",
	StatusNotImplemented:       "Not Implemented",
	StatusServiceUnavailable:   "Service Unavailable",
	StatusVersionNotSupported:  "HTTP Version Not Supported",
}
