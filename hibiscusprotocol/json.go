package hibiscusprotocol

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"hibiscusrouter/hibiscusstate"
)

// Reading and writing of JSON bodies, shared by all HTTP interfaces.

// refuseFunc writes a refusal of a request that is certain not to run, and counts it if the interface counts refusals.
type refuseFunc func(w http.ResponseWriter, refusal hibiscusstate.Refusal, message string)

// maxSmallBodyBytes bounds the bodies that readJSON reads; a submission has maxBodyBytes.
const maxSmallBodyBytes = 1 << 20

// readJSON decodes a body into v, which keeps its defaults if the body is empty; on failure it writes a refusal and returns
// false.
func readJSON(w http.ResponseWriter, r *http.Request, v any, refuse refuseFunc) bool {
	body, ok := readBody(w, r, maxSmallBodyBytes, refuse)
	return ok && (len(body) == 0 || decodeJSON(w, body, v, refuse))
}

// readBody reads a body of at most limit bytes; on failure it writes a refusal and returns false.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, refuse refuseFunc) ([]byte, bool) {
	body, err := ReadAll(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, true
	case errors.As(err, &tooLarge):
		refuse(w, hibiscusstate.RefusalBodyTooLarge,
			errors.Newf("the body is larger than %d bytes; send fewer tasks in one job or smaller payloads", limit).Error())
	case errors.Is(err, ErrOverloaded):
		refuse(w, hibiscusstate.RefusalQueueFull, "this process holds too many requests to read the body; send the request again later")
	default:
		refuse(w, hibiscusstate.RefusalBadRequest, "the body did not arrive whole; send the request again")
	}
	return nil, false
}

// decodeJSON decodes a body with a single JSON value into v; on failure it writes a refusal and returns false.
func decodeJSON(w http.ResponseWriter, body []byte, v any, refuse refuseFunc) bool {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(v)
	var mistyped *json.UnmarshalTypeError
	switch {
	case errors.Is(err, io.EOF):
		err = errors.New("it is empty")
	case errors.As(err, &mistyped):
		// The message of encoding/json contains Go types.
		err = errors.Newf("field %q cannot be a %s", mistyped.Field, mistyped.Value)
	}
	if err == nil {
		// Decoder.More returns false before a closing bracket too, so it would accept "{}}".
		if _, trailing := decoder.Token(); !errors.Is(trailing, io.EOF) {
			err = errors.Newf("it goes on after the JSON value, at byte %d", decoder.InputOffset())
		}
	}
	if err != nil {
		refuse(w, hibiscusstate.RefusalBadRequest,
			errors.Newf("the body is not a valid request: %v; docs/api.md lists the fields", err).Error())
		return false
	}
	return true
}

// writeJSON writes a response; a write error means a lost connection, which the HTTP server handles.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(body); err != nil {
		return
	}
}
