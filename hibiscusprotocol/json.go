package hibiscusprotocol

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"hibiscusrouter/hibiscusstate"
)

// Reading and writing JSON bodies, the same on every HTTP interface.

// maxSmallBodyBytes bounds every body but that of a submission.
const maxSmallBodyBytes = 1 << 20

// readJSON reads a body into v; it writes the refusal and returns false when it can't.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	return readJSONFrom(w, http.MaxBytesReader(w, r.Body, maxSmallBodyBytes), v)
}

func readJSONFrom(w http.ResponseWriter, body io.Reader, v any) bool {
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(v)
	if errors.Is(err, io.EOF) {
		err = nil
	}
	if err == nil && decoder.More() {
		err = errors.New("body goes on after the JSON value")
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return true
	case errors.As(err, &tooLarge):
		writeRefusal(w, hibiscusstate.RefusalBodyTooLarge, errors.Newf("the body is larger than %d bytes", tooLarge.Limit).Error())
	default:
		writeRefusal(w, hibiscusstate.RefusalBadRequest, errors.Newf("the body is not valid JSON: %v", err).Error())
	}
	return false
}

// writeJSON writes a body; a failure means that the peer is gone, which the server notices by itself.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(body); err != nil {
		return
	}
}
