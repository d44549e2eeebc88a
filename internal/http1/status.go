package http1

// Status codes that are sent or distinguished, as registered with IANA.
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
	// minStatus is the lowest status code there is.
	minStatus = 100
	// minFinalStatus is the lowest status code of a final response; those below are interim ones.
	minFinalStatus = 200
	// statusDigits is the length of a status code, in digits.
	statusDigits = 3
)

// reasonPhrases are written behind status codes; one that is not listed has none.
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
