package hibiscusprotocol

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusstate"
)

// Configuration versions in the table. One row points to the current version, and each version has a row that never changes.
// An edit is accepted in one transaction that is conditional on the pointer row, so of two racing edits one wins.

const (
	pointerKey    = "configuration/current"
	versionPrefix = "configuration/versions/"
)

// ConfigurationStore keeps the versions of the configuration.
type ConfigurationStore struct {
	table *TableClient
}

// NewConfigurationStore returns the versions that are in a table.
func NewConfigurationStore(table *TableClient) *ConfigurationStore {
	return &ConfigurationStore{table: table}
}

type pointerRow struct {
	Version uint64 `json:"version"`
}

type versionRow struct {
	Text string `json:"text"`
}

// ConflictError says that an edit was refused because the configuration is no longer at its base; it is ErrConflict of the
// coordination layer.
type ConflictError struct {
	base    uint64
	current uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the edit was based on version %d, but version %d is current", e.base, e.current)
}

// Is says that the error is an ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == hibiscuscoordination.ErrConflict }

// Current returns the number of the current version, zero before the first, or ErrPlatformUnavailable.
func (s *ConfigurationStore) Current(ctx context.Context) (uint64, error) {
	version, _, err := s.pointer(ctx)
	return version, err
}

// Read returns a version with its parsed text, or ErrUnknownVersion or ErrPlatformUnavailable.
func (s *ConfigurationStore) Read(ctx context.Context, version uint64) (*hibiscusstate.Configuration, error) {
	row, err := s.table.Row(ctx, versionKey(version))
	if err != nil {
		return nil, markUnavailable(err)
	}
	if row.Version() == 0 {
		return nil, errors.Mark(errors.Newf("configuration version %d does not exist", version), ErrUnknownVersion)
	}
	var body versionRow
	if err := json.Unmarshal([]byte(row.Value()), &body); err != nil {
		return nil, markUnavailable(errors.Wrapf(err, "decode configuration version %d", version))
	}
	document, err := ParseConfiguration(fmt.Sprintf("version %d", version), []byte(body.Text))
	if err != nil {
		return nil, err
	}
	return hibiscusstate.NewConfiguration(version, body.Text, document), nil
}

// Accept makes an edit the next version, with its audit entry, in one transaction. It returns a ConflictError when the
// configuration is no longer at the edit's base, and ErrPlatformUnavailable when the table does not answer.
func (s *ConfigurationStore) Accept(
	ctx context.Context, now time.Time, edit hibiscuscoordination.Edit, what string,
) (*hibiscusstate.Configuration, error) {
	current, pointer, err := s.pointer(ctx)
	if err != nil {
		return nil, err
	}
	if current != edit.BaseVersion() {
		return nil, &ConflictError{base: edit.BaseVersion(), current: current}
	}
	version := current + 1
	entry := hibiscuscoordination.NewAuditEntry(now, edit.Who(), edit.From(), what, current, version)
	tx := NewTransaction()
	tx.Put(pointerKey, encodeRow(pointerRow{Version: version}), pointer.Version()).
		Put(versionKey(version), encodeRow(versionRow{Text: edit.Text()}), 0).
		Put(auditKey(now, tx.body.ChangeID, 0), encodeRow(newAuditRow(entry)), 0)
	err = s.table.Commit(ctx, tx)
	if errors.Is(err, ErrRowChanged) {
		if current, _, err = s.pointer(ctx); err == nil {
			err = &ConflictError{base: edit.BaseVersion(), current: current}
		}
	}
	if err != nil {
		return nil, markUnavailable(err)
	}
	return hibiscusstate.NewConfiguration(version, edit.Text(), edit.Document()), nil
}

func (s *ConfigurationStore) pointer(ctx context.Context) (uint64, Row, error) {
	row, err := s.table.Row(ctx, pointerKey)
	if err != nil || row.Version() == 0 {
		return 0, row, markUnavailable(err)
	}
	var body pointerRow
	if err := json.Unmarshal([]byte(row.Value()), &body); err != nil {
		return 0, row, markUnavailable(errors.Wrap(err, "decode the pointer to the current version"))
	}
	return body.Version, row, nil
}

// versionKey pads the number, so that the order of keys is that of versions and no key begins with another.
func versionKey(version uint64) string { return fmt.Sprintf("%s%020d", versionPrefix, version) }

// markUnavailable converts errors of the table into the coordination layer's; conflicts pass.
func markUnavailable(err error) error {
	if err == nil || errors.Is(err, hibiscuscoordination.ErrConflict) {
		return err
	}
	return errors.Mark(err, hibiscuscoordination.ErrPlatformUnavailable)
}

// encodeRow returns the value of a row; the row types hold nothing that JSON can't encode.
func encodeRow(v any) string {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode a row"))
	}
	return string(raw)
}
