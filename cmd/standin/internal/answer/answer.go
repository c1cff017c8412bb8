// Package answer reads and writes the JSON bodies of the stand-ins.
package answer

import (
	"encoding/json"
	"io"
	"net/http"
)

const maxBodyBytes = 32 << 20

// Error answers with a status and a message.
func Error(w http.ResponseWriter, status int, message string) {
	JSON(w, status, map[string]string{"error": message})
}

// JSON answers with a status and a value.
func JSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// Read fills value from the body; it answers 400 and returns false if it can't.
func Read(w http.ResponseWriter, r *http.Request, value any) bool {
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(value); err != nil {
		Error(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// Abort closes the caller's connection without an answer.
func Abort(w http.ResponseWriter) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = connection.Close()
}
