// Package standin provides small in-process fakes of the external systems: the platform's
// log, weight store and list of boxes, model engines and plain services. They implement
// what the tests and the demo use, and inject faults on request.
package standin

import (
	"net/http"

	"dooryard.example/dooryard/internal/jsonhttp"
)

const maxBodyBytes = 64 << 20

// readJSON decodes a request's body into target and reports whether it succeeded. On an
// error it answers 400.
func readJSON[T any](w http.ResponseWriter, r *http.Request, target *T) bool {
	value, err := jsonhttp.Read[T](w, r, maxBodyBytes)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	*target = value
	return true
}
