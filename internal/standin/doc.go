// Package standin holds small stand-ins for the outside systems: the platform's
// log, weight store and list of boxes, model engines and plain services. They
// keep what tests and the demo use and can be told to fail.
package standin

import (
	"encoding/json"
	"io"
	"net/http"
)

const maxBodyBytes = 64 << 20

// readJSON decodes a request's body, and answers 400 when it can't.
func readJSON[T any](w http.ResponseWriter, r *http.Request, target *T) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(data, target)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// writeJSON answers with a value.
func writeJSON[T any](w http.ResponseWriter, value T) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A reader that is gone can't be told.
	_, _ = w.Write(data)
}
