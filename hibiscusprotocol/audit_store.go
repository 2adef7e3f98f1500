package hibiscusprotocol

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"hibiscusrouter/hibiscuscoordination"
)

// The audit trail: recent audit entries are rows whose keys sort by time, older ones are archived in objects of many each. An
// object is named after its first and last row, so that two processes that archive the same rows write the same object. Rows
// are deleted after their object is stored; a reader that finds both deduplicates by key.

const (
	auditPrefix = "audit/"
	// archiveBatchSize is the maximum number of rows that are archived in one object and deleted in one transaction.
	archiveBatchSize = 500
)

// AuditStore stores the audit trail.
type AuditStore struct {
	table *TableClient
	log   *slog.Logger
}

// NewAuditStore returns a store of the audit trail in a table and its object store.
func NewAuditStore(table *TableClient, log *slog.Logger) *AuditStore {
	return &AuditStore{table: table, log: log}
}

type auditRow struct {
	Time        time.Time `json:"time"`
	Who         string    `json:"who"`
	From        string    `json:"from"`
	What        string    `json:"what"`
	FromVersion uint64    `json:"from_version,omitempty"`
	ToVersion   uint64    `json:"to_version,omitempty"`
}

// archivedRow is an audit row as it is archived in an object.
type archivedRow struct {
	Key   string   `json:"key"`
	Entry auditRow `json:"entry"`
}

func newAuditRow(e hibiscuscoordination.AuditEntry) auditRow {
	return auditRow{
		Time: e.At().UTC().Truncate(time.Millisecond), Who: e.Who(), From: e.From(), What: e.What(),
		FromVersion: e.FromVersion(), ToVersion: e.ToVersion(),
	}
}

func (r auditRow) entry() hibiscuscoordination.AuditEntry {
	return hibiscuscoordination.NewAuditEntry(r.Time, r.Who, r.From, r.What, r.FromVersion, r.ToVersion)
}

// auditKey returns a key that sorts by time; the change id and the index in its transaction make it unique.
func auditKey(at time.Time, changeID string, index int) string {
	return fmt.Sprintf("%s%015d-%s-%04d", auditPrefix, at.UnixMilli(), changeID, index)
}

// Write stores entries in one transaction, or returns ErrPlatformUnavailable.
func (s *AuditStore) Write(ctx context.Context, entries []hibiscuscoordination.AuditEntry) error {
	tx := NewTransaction()
	for i, e := range entries {
		tx.Put(auditKey(e.At(), tx.body.ChangeID, i), encodeRow(newAuditRow(e)), 0)
	}
	return markUnavailable(s.table.Commit(ctx, tx))
}

// Archive moves the oldest rows before a time to the object store, at most archiveBatchSize, and returns their number.
func (s *AuditStore) Archive(ctx context.Context, before time.Time) (int, error) {
	rows, err := s.table.Rows(ctx, auditPrefix, "", archiveBatchSize)
	if err != nil {
		return 0, markUnavailable(err)
	}
	limit := auditKey(before, "", 0)
	rows = slices.DeleteFunc(rows, func(r Row) bool { return r.Key() >= limit })
	if len(rows) == 0 {
		return 0, nil
	}
	archived := make([]archivedRow, 0, len(rows))
	tx := NewTransaction()
	for _, r := range rows {
		// A row that can't be decoded stays in the table.
		if body, ok := s.decode(r.Key(), r.Value()); ok {
			archived = append(archived, archivedRow{Key: r.Key(), Entry: body})
			tx.Delete(r.Key(), r.Version())
		}
	}
	if len(archived) == 0 {
		return 0, nil
	}
	name := archived[0].Key + ".." + strings.TrimPrefix(archived[len(archived)-1].Key, auditPrefix)
	if err := s.table.PutObject(ctx, name, []byte(encodeRow(archived))); err != nil {
		return 0, markUnavailable(err)
	}
	err = s.table.Commit(ctx, tx)
	if errors.Is(err, ErrRowChanged) {
		// Another process archived the same rows.
		return 0, nil
	}
	return len(archived), markUnavailable(err)
}

// decode decodes the value of a row, and reports whether it is valid.
func (s *AuditStore) decode(key, value string) (auditRow, bool) {
	var body auditRow
	if err := json.Unmarshal([]byte(value), &body); err != nil {
		s.log.Warn("audit: row can't be decoded and is skipped", "key", key, "cause", err.Error())
		return auditRow{}, false
	}
	return body, true
}

// Read returns the newest entries, at most limit, newest first, from the table and the object store.
func (s *AuditStore) Read(ctx context.Context, limit int) ([]hibiscuscoordination.AuditEntry, error) {
	found := map[string]auditRow{}
	rows, err := s.table.LastRows(ctx, auditPrefix, limit)
	if err != nil {
		return nil, markUnavailable(err)
	}
	for _, r := range rows {
		if body, ok := s.decode(r.Key(), r.Value()); ok {
			found[r.Key()] = body
		}
	}
	if len(found) < limit {
		if err := s.readObjects(ctx, found, limit); err != nil {
			return nil, markUnavailable(err)
		}
	}
	return newestEntries(found, limit), nil
}

// readObjects adds archived entries to found, from the newest object to the oldest, until there are limit.
func (s *AuditStore) readObjects(ctx context.Context, found map[string]auditRow, limit int) error {
	names, err := s.table.Objects(ctx, auditPrefix)
	if err != nil {
		return err
	}
	for _, name := range slices.Backward(names) {
		content, _, err := s.table.Object(ctx, name)
		if err != nil {
			return err
		}
		var archived []archivedRow
		if err := json.Unmarshal(content, &archived); err != nil {
			return errors.Wrapf(err, "decode object %s", name)
		}
		for _, a := range archived {
			found[a.Key] = a.Entry
		}
		if len(found) >= limit {
			return nil
		}
	}
	return nil
}

func newestEntries(found map[string]auditRow, limit int) []hibiscuscoordination.AuditEntry {
	keys := make([]string, 0, len(found))
	for key := range found {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b string) int { return cmp.Compare(b, a) })
	entries := make([]hibiscuscoordination.AuditEntry, min(limit, len(keys)))
	for i := range entries {
		entries[i] = found[keys[i]].entry()
	}
	return entries
}
