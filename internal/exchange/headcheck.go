package exchange

import (
	"net/http"

	"github.com/go-faster/errors"
)

// maxStatus is the highest status of an answer.
const maxStatus = 599

// errNotAnAnswer is the cause when a head can be parsed, and no server can have meant it as
// that of an answer. What follows it can't be told from other bytes.
var errNotAnAnswer = errors.New("the upstream sent a head that is not that of an answer")

// IsFinalStatus reports whether an answer, as opposed to an interim response, can have the
// status.
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// isInterimStatus reports whether a response with the status precedes the answer. A change of
// the protocol does not: it is never asked for.
func isInterimStatus(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// checkHead returns an error if the head is neither that of an answer nor that of an interim
// response.
func checkHead(resp *http.Response) error {
	if !IsFinalStatus(resp.StatusCode) && !isInterimStatus(resp.StatusCode) {
		return errors.Wrapf(errNotAnAnswer, "status %03d", resp.StatusCode)
	}
	if resp.ProtoMajor != 1 || resp.ProtoMinor > 1 {
		return errors.Wrapf(errNotAnAnswer, "version %q", resp.Proto)
	}
	return nil
}
