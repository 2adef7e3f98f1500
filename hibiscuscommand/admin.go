package hibiscuscommand

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// What the commands for operators share: where the entry is, the token, and how its answers are read.

// adminTimeout bounds one request; an entry waits at most a second for an agent.
const adminTimeout = 5 * time.Second

// screenColumns is the width that the text of every command keeps to.
const screenColumns = 80

// adminFlags are the flags of every command that asks one entry.
type adminFlags struct {
	Entry string `long:"entry" default:"127.0.0.1:7100" value-name:"HOST:PORT" description:"caller_address of an entry"`
	Token string `long:"token" env:"HIBISCUSROUTER_TOKEN" default-mask:"-" description:"viewer_token or operator_token of the entry"`
}

// operatorFlags are the flags of every command that changes something through one entry.
type operatorFlags struct {
	adminFlags
	Operator string `long:"operator" env:"HIBISCUSROUTER_OPERATOR" value-name:"NAME" description:"your name for the audit trail"`
}

// outputFlags are the flags of every command that shows something.
type outputFlags struct {
	Output string `long:"output" default:"text" choice:"text" choice:"json" description:"form of the answer"`
}

// adminErrorView is the body of a refused administration request.
type adminErrorView struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

// adminGet reads from an entry and returns the body of its answer; a refusal is an error.
func adminGet(env *environment, entry, path, token string) ([]byte, error) {
	return adminRequest(env, http.MethodGet, entry, path, token, "")
}

// change sends a change to the entry; a refusal is an error.
func (f *operatorFlags) change(env *environment, method, path string) error {
	_, err := adminRequest(env, method, f.Entry, path, f.Token, f.Operator)
	return err
}

func adminRequest(env *environment, method, entry, path, token, operator string) ([]byte, error) {
	request, err := http.NewRequestWithContext(env.ctx, method, "http://"+entry+path, nil)
	if err != nil {
		return nil, errors.Mark(err, errUsage)
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	if operator != "" {
		request.Header.Set("Operator", operator)
	}
	response, err := (&http.Client{Timeout: adminTimeout}).Do(request)
	if err != nil {
		return nil, errors.Mark(err, errNoReach)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, errors.Mark(err, errNoReach)
	}
	if response.StatusCode < http.StatusMultipleChoices {
		return raw, nil
	}
	var view adminErrorView
	if json.Unmarshal(raw, &view) != nil || view.Error.Code == "" {
		return nil, errors.Newf("entry %s answered with status %d", entry, response.StatusCode)
	}
	err = errors.Newf("entry %s refused the request: %s: %s", entry, view.Error.Code, view.Error.Message)
	if response.StatusCode == http.StatusBadRequest {
		return nil, errors.Mark(err, errUsage)
	}
	return nil, err
}

// pageView is one page of a list.
type pageView[T any] struct {
	Items []T    `json:"items"`
	Next  string `json:"next"`
	Total int    `json:"total"`
}

// decodeAnswer reads a body that an entry wrote.
func decodeAnswer(raw []byte, v any) error {
	return errors.Wrap(json.Unmarshal(raw, v), "the entry's answer is not valid JSON")
}

// cut shortens a line to the columns of the screen.
func cut(line string) string {
	runes := []rune(line)
	if len(runes) <= screenColumns {
		return line
	}
	return string(runes[:screenColumns-1]) + "…"
}
