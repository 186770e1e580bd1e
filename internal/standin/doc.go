// Package standin holds small stand-ins for the outside systems: the platform's
// log, weight store and list of boxes, model engines and plain services. They
// keep what tests and the demo use and can be told to fail.
package standin

import (
	"net/http"

	"dooryard.example/dooryard/internal/jsonhttp"
)

const maxBodyBytes = 64 << 20

// readJSON decodes a request's body, and answers 400 when it can't.
func readJSON[T any](w http.ResponseWriter, r *http.Request, target *T) bool {
	value, err := jsonhttp.Read[T](w, r, maxBodyBytes)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	*target = value
	return true
}
