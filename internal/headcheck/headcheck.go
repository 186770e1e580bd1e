// Package headcheck checks the heads of responses for what net/http accepts and no recipient can rely on.
package headcheck

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformed means that the head of a response is malformed, so that nothing is known of its status or its body.
var ErrMalformed = errors.New("malformed head of a response")

// Statuses of responses lie between these.
const (
	minStatus = 100
	maxStatus = 599
)

// Response returns an error that wraps ErrMalformed unless the status line and the names of the fields of a response
// are valid. With a blank in its name, a field that frames the body would count as another one. A response of another
// major version is not read as it is meant, and a switch of protocols was not asked for.
func Response(r *http.Response) error {
	switch {
	case r.ProtoMajor != 1:
		return fmt.Errorf("%w: major version %d, 1 is allowed", ErrMalformed, r.ProtoMajor)
	case r.StatusCode < minStatus || r.StatusCode > maxStatus:
		return fmt.Errorf("%w: status %d, %d to %d are allowed", ErrMalformed, r.StatusCode, minStatus, maxStatus)
	case r.StatusCode == http.StatusSwitchingProtocols:
		return fmt.Errorf("%w: status %d to a request without Upgrade", ErrMalformed, r.StatusCode)
	}
	for name := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: the name of a field is no token", ErrMalformed)
		}
	}
	return nil
}
