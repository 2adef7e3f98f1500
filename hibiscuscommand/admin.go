package hibiscuscommand

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Shared by the commands that send administration requests to an entry: flags for its address and token, the request, and
// the decoding of responses.

// adminTimeout bounds one request; an entry waits at most a second for an agent's confirmation.
const adminTimeout = 5 * time.Second

// screenColumns is the maximum width of the text output of every command.
const screenColumns = 80

// adminFlags are the flags of every command that sends requests to one entry.
type adminFlags struct {
	Entry string `long:"entry" default:"127.0.0.1:7100" value-name:"HOST:PORT" description:"caller_address of an entry"`
	Token string `long:"token" env:"HIBISCUSROUTER_TOKEN" value-name:"TOKEN" default-mask:"-" description:"viewer_token or operator_token"`
}

// operatorFlags are the flags of every command that makes a change through one entry.
type operatorFlags struct {
	adminFlags
	Operator string `long:"operator" env:"HIBISCUSROUTER_OPERATOR" value-name:"NAME" description:"your name for the audit trail"`
}

// outputFlags are the flags of every command that prints a result.
type outputFlags struct {
	Output string `long:"output" default:"text" choice:"text" choice:"json" description:"output format"`
}

// configurationFlags are the flags of every configuration command that sends requests to an entry.
type configurationFlags struct {
	operatorFlags
	outputFlags
}

// entryRequest is one administration request to an entry.
type entryRequest struct {
	method, entry, path string
	token, operator     string
	body                []byte
	timeout             time.Duration
}

// refusalView is the response body of a refused administration request; the fields after Error are set for an invalid
// configuration and for a conflict.
type refusalView struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
	Problems       []problemView `json:"problems,omitempty"`
	BaseVersion    uint64        `json:"base_version,omitempty"`
	CurrentVersion uint64        `json:"current_version,omitempty"`
	Difference     string        `json:"difference,omitempty"`
}

// adminGet sends a GET request to an entry and returns the response body; a refusal is an error.
func adminGet(env *environment, entry, path, token string) ([]byte, error) {
	raw, _, err := entryRequest{method: http.MethodGet, entry: entry, path: path, token: token, timeout: adminTimeout}.send(env)
	return raw, err
}

// sendChange sends a request without a body to the entry of the flags; a refusal is an error.
func (f *operatorFlags) sendChange(env *environment, method, path string) error {
	_, _, err := f.newRequest(method, path, adminTimeout).send(env)
	return err
}

// newRequest returns a request without a body to the entry of the flags.
func (f *operatorFlags) newRequest(method, path string, timeout time.Duration) entryRequest {
	return entryRequest{method: method, entry: f.Entry, path: path, token: f.Token, operator: f.Operator, timeout: timeout}
}

// send returns the response body. For a refusal it returns the decoded refusal and an error.
func (r entryRequest) send(env *environment) ([]byte, *refusalView, error) {
	ctx, cancel := context.WithTimeout(env.ctx, r.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, r.method, "http://"+r.entry+r.path, bytes.NewReader(r.body))
	if err != nil {
		return nil, nil, errors.Mark(err, errUsage)
	}
	if r.token != "" {
		request.Header.Set("Authorization", "Bearer "+r.token)
	}
	if r.operator != "" {
		request.Header.Set("Operator", r.operator)
	}
	if r.body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := env.httpClient().Do(request)
	if err != nil {
		return nil, nil, errors.Mark(err, errUnreachable)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, nil, errors.Mark(err, errUnreachable)
	}
	if response.StatusCode < http.StatusMultipleChoices {
		return raw, nil, nil
	}
	view := &refusalView{}
	if json.Unmarshal(raw, view) != nil || view.Error.Code == "" {
		return nil, nil, errors.Newf("entry %s answered with status %d", r.entry, response.StatusCode)
	}
	err = errors.Newf("entry %s refused the request: %s: %s", r.entry, view.Error.Code, view.Error.Message)
	if response.StatusCode == http.StatusBadRequest || response.StatusCode == http.StatusUnprocessableEntity {
		err = errors.Mark(err, errUsage)
	}
	return nil, view, err
}

// httpClient returns the client for requests to entries.
func (e *environment) httpClient() *http.Client {
	if e.client != nil {
		return e.client
	}
	return http.DefaultClient
}

// pageView is one page of a list.
type pageView[T any] struct {
	Items []T    `json:"items"`
	Next  string `json:"next"`
	Total int    `json:"total"`
}

// decodeResponse decodes the response body of an entry into v.
func decodeResponse(raw []byte, v any) error {
	return errors.Wrap(json.Unmarshal(raw, v), "the entry's answer is not valid JSON")
}

// truncate shortens a line of more than screenColumns runes to that length, with an ellipsis as its last rune.
func truncate(line string) string {
	runes := []rune(line)
	if len(runes) <= screenColumns {
		return line
	}
	return string(runes[:screenColumns-1]) + "…"
}
