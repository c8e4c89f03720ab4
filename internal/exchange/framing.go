package exchange

import "net/http"

// Framing tells how the end of a response body is marked.
type Framing int

// Kinds of framing.
const (
	// CloseDelimited marks a body that ends with its connection. A connection that was
	// closed in order does not prove such a body whole: it is also closed in order if
	// the upstream's process ends.
	CloseDelimited Framing = iota
	// LengthDelimited marks a body whose length is known in advance, or that is empty by
	// definition.
	LengthDelimited
	// Chunked marks a body whose last chunk is empty.
	Chunked
)

// String returns the name of the framing in logs and metrics.
func (f Framing) String() string {
	switch f {
	case LengthDelimited:
		return "length"
	case Chunked:
		return "chunked"
	default:
		return "close"
	}
}

// framingOf returns the framing of a response to a request with the given method.
func framingOf(resp *http.Response, method string) Framing {
	switch {
	case resp.ContentLength >= 0 || isBodiless(resp.StatusCode, method):
		return LengthDelimited
	case len(resp.TransferEncoding) > 0:
		return Chunked
	default:
		return CloseDelimited
	}
}

// isBodiless reports whether a response with this status to a request with this method
// never has a body.
func isBodiless(status int, method string) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}
