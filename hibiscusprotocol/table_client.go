package hibiscusprotocol

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"hibiscusrouter/hibiscuscoordination"
)

// Every write to the table is conditional on the versions of the rows that it is based on and carries a unique change id.
// When the response is lost, the client queries the change id until the table service responds. Only when the id is absent
// does it send the same transaction again, under the same id, so that an earlier copy still in flight can't be applied too.

const (
	// tableTimeout bounds one request. A configuration must be in force within 4 s, so a read that hangs may cost only one
	// of four polls.
	tableTimeout = time.Second
	// readBackInterval is the time between two queries of a change id whose write got no response.
	readBackInterval = 250 * time.Millisecond
	// maxTableResponse bounds a response of the table service, in bytes.
	maxTableResponse = 32 << 20
)

// Row is one row of the table; version zero means that the row does not exist.
type Row struct {
	key     string
	value   string
	version uint64
}

// Key returns the key of the row.
func (r Row) Key() string { return r.key }

// Value returns the value of the row.
func (r Row) Value() string { return r.value }

// Version returns the number of writes to the row.
func (r Row) Version() uint64 { return r.version }

// Transaction is a set of conditions and writes that is applied atomically.
type Transaction struct {
	body transactionRequest
}

// NewTransaction returns an empty transaction with a fresh change id.
func NewTransaction() *Transaction {
	id := make([]byte, 16)
	// crypto/rand.Read never returns an error; the runtime ends the process instead.
	_, _ = rand.Read(id)
	return &Transaction{body: transactionRequest{ChangeID: hex.EncodeToString(id)}}
}

// Put writes a row if its current version is the given one, zero for a row that must not exist.
func (t *Transaction) Put(key, value string, version uint64) *Transaction {
	t.body.Checks = append(t.body.Checks, checkRequest{Key: key, Version: version})
	t.body.Writes = append(t.body.Writes, writeRequest{Key: key, Value: value})
	return t
}

// Delete removes a row if its current version is the given one.
func (t *Transaction) Delete(key string, version uint64) *Transaction {
	t.body.Checks = append(t.body.Checks, checkRequest{Key: key, Version: version})
	t.body.Writes = append(t.body.Writes, writeRequest{Key: key, Delete: true})
	return t
}

type transactionRequest struct {
	ChangeID string         `json:"change_id"`
	Checks   []checkRequest `json:"checks"`
	Writes   []writeRequest `json:"writes"`
}

type checkRequest struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

type writeRequest struct {
	Key    string `json:"key"`
	Value  string `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

type rowBody struct {
	Key     string `json:"key"`
	Value   string `json:"value"`
	Version uint64 `json:"version"`
}

type rowsBody struct {
	Rows []rowBody `json:"rows"`
}

type changeBody struct {
	Applied bool `json:"applied"`
}

type objectsBody struct {
	Names []string `json:"names"`
}

// TableClient is the client of the platform's transactional table service and object store. It is safe for concurrent use.
type TableClient struct {
	client *http.Client
	base   string
	reads  atomic.Uint64
	writes atomic.Uint64
	failed atomic.Uint64
}

// NewTableClient returns a client of the table service at an address with host and port.
func NewTableClient(client *http.Client, address string) *TableClient {
	return &TableClient{client: client, base: "http://" + address}
}

// Counters returns the totals of requests that were sent, and of those that failed or got no response.
func (t *TableClient) Counters() hibiscuscoordination.TableCounters {
	return hibiscuscoordination.NewTableCounters(t.reads.Load(), t.writes.Load(), t.failed.Load())
}

// Rows returns up to limit rows whose keys begin with prefix and sort after the key after, in key order; it returns ErrTable
// when the table service does not respond.
func (t *TableClient) Rows(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	return t.rows(ctx, url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}})
}

// LastRows returns up to limit rows whose keys begin with prefix, in reverse key order; it returns ErrTable when the table
// service does not respond.
func (t *TableClient) LastRows(ctx context.Context, prefix string, limit int) ([]Row, error) {
	return t.rows(ctx, url.Values{"prefix": {prefix}, "order": {"descending"}, "limit": {strconv.Itoa(limit)}})
}

func (t *TableClient) rows(ctx context.Context, query url.Values) ([]Row, error) {
	var body rowsBody
	if err := t.getJSON(ctx, "/v1/rows?"+query.Encode(), &body); err != nil {
		return nil, err
	}
	rows := make([]Row, len(body.Rows))
	for i, r := range body.Rows {
		rows[i] = Row{key: r.Key, value: r.Value, version: r.Version}
	}
	return rows, nil
}

// Row returns the row with a key, with version zero if it does not exist, or ErrTable when the table service does not respond.
func (t *TableClient) Row(ctx context.Context, key string) (Row, error) {
	rows, err := t.Rows(ctx, key, "", 1)
	if err != nil || len(rows) == 0 || rows[0].key != key {
		return Row{key: key}, err
	}
	return rows[0], nil
}

// Commit applies a transaction exactly once. It returns ErrRowChanged when a condition does not hold, and ErrTable when the
// table service rejected the transaction or when ctx ended while the outcome was open (then also ErrOutcomeUnknown).
func (t *TableClient) Commit(ctx context.Context, tx *Transaction) error {
	raw, err := json.Marshal(tx.body)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "encode transaction"), ErrTable)
	}
	for {
		status, err := t.send(ctx, http.MethodPost, "/v1/transactions", raw)
		switch {
		case err == nil && status == http.StatusOK:
			return nil
		case err == nil && status == http.StatusConflict:
			return errors.Mark(errors.Newf("a row changed since it was read"), ErrRowChanged)
		case err == nil && !outcomeUnknown(status):
			return errors.Mark(errors.Newf("the table service rejected the write with status %d", status), ErrTable)
		}
		applied, err := t.readBack(ctx, tx.body.ChangeID)
		if err != nil || applied {
			return err
		}
	}
}

// outcomeUnknown reports whether an error status leaves the outcome of a write open. The platform responds with 503
// before it applies a write; other server errors may come from an intermediary between it and this process.
func outcomeUnknown(status int) bool {
	return status >= http.StatusInternalServerError && status != http.StatusServiceUnavailable
}

// readBack queries a change id until the table service responds or ctx ends, and reports whether the change was applied.
func (t *TableClient) readBack(ctx context.Context, id string) (bool, error) {
	for {
		var change changeBody
		err := t.getJSON(ctx, "/v1/changes/"+id, &change)
		if err == nil {
			return change.Applied, nil
		}
		select {
		case <-ctx.Done():
			return false, errors.Mark(errors.Wrapf(err, "outcome of change %s is unknown", id), ErrOutcomeUnknown)
		case <-time.After(readBackInterval):
		}
	}
}

// PutObject stores an object. The store has no conditional writes, so the name must be unique to this content; after a lost
// response the object is read back.
func (t *TableClient) PutObject(ctx context.Context, name string, content []byte) error {
	for {
		status, err := t.send(ctx, http.MethodPut, "/v1/objects/"+name, content)
		if err == nil && status == http.StatusOK {
			return nil
		}
		if err == nil && !outcomeUnknown(status) {
			return errors.Mark(errors.Newf("the object store rejected the write with status %d", status), ErrTable)
		}
		stored, err := t.readObjectBack(ctx, name)
		if err != nil || bytes.Equal(stored, content) {
			return err
		}
	}
}

// readObjectBack reads an object until the store responds or ctx ends; an object that does not exist reads as nil.
func (t *TableClient) readObjectBack(ctx context.Context, name string) ([]byte, error) {
	for {
		stored, _, err := t.Object(ctx, name)
		if err == nil {
			return stored, nil
		}
		select {
		case <-ctx.Done():
			return nil, errors.Mark(errors.Wrapf(err, "outcome of object %s is unknown", name), ErrOutcomeUnknown)
		case <-time.After(readBackInterval):
		}
	}
}

// Object returns the content of an object and reports whether the object exists.
func (t *TableClient) Object(ctx context.Context, name string) ([]byte, bool, error) {
	status, content, err := t.get(ctx, "/v1/objects/"+name)
	switch {
	case err != nil:
		return nil, false, err
	case status == http.StatusNotFound:
		return nil, false, nil
	case status != http.StatusOK:
		return nil, false, errors.Mark(errors.Newf("the object store responded with status %d", status), ErrTable)
	}
	return content, true, nil
}

// Objects returns the names of the objects that begin with prefix, sorted.
func (t *TableClient) Objects(ctx context.Context, prefix string) ([]string, error) {
	var body objectsBody
	err := t.getJSON(ctx, "/v1/objects?"+url.Values{"prefix": {prefix}}.Encode(), &body)
	return body.Names, err
}

func (t *TableClient) getJSON(ctx context.Context, path string, v any) error {
	status, raw, err := t.get(ctx, path)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return errors.Mark(errors.Newf("the table service responded with status %d", status), ErrTable)
	}
	if err := json.Unmarshal(raw, v); err != nil {
		return errors.Mark(errors.Wrap(err, "decode the response of the table service"), ErrTable)
	}
	return nil
}

func (t *TableClient) get(ctx context.Context, path string) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, t.base+path, nil)
	if err != nil {
		return 0, nil, errors.Mark(err, ErrTable)
	}
	t.reads.Add(1)
	response, err := t.client.Do(request)
	if err != nil {
		t.failed.Add(1)
		return 0, nil, errors.Mark(errors.Wrap(err, "read from the table service"), ErrTable)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxTableResponse))
	if err != nil {
		t.failed.Add(1)
		return 0, nil, errors.Mark(errors.Wrap(err, "read from the table service"), ErrTable)
	}
	if response.StatusCode >= http.StatusInternalServerError {
		t.failed.Add(1)
	}
	return response.StatusCode, raw, nil
}

// send sends a write and returns the response status; after an error the write may have been applied.
func (t *TableClient) send(ctx context.Context, method, path string, body []byte) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, t.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, errors.Mark(err, ErrTable)
	}
	// Without GetBody, net/http does not resend the body by itself when a reused connection fails.
	request.GetBody = nil
	t.writes.Add(1)
	response, err := t.client.Do(request)
	if err != nil {
		t.failed.Add(1)
		return 0, errors.Mark(errors.Wrap(err, "write to the table service"), ErrTable)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxTableResponse)); err != nil && response.StatusCode != http.StatusOK {
		return 0, errors.Mark(errors.Wrap(err, "write to the table service"), ErrTable)
	}
	return response.StatusCode, nil
}
