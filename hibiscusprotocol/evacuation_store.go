package hibiscusprotocol

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusscheduling"
)

// The evacuated failure domains are one row of the table, whose version is their revision. The row is never deleted, because its next
// version must be higher. Its key begins with that of the pointer to the current configuration, so that a poll reads both at once.

const (
	evacuationKey = pointerKey + "_evacuation"
	// maxPolledRows bounds the rows of a poll; other programs may have written rows between the two.
	maxPolledRows = 16
	// evacuationAttempts is how often a change is tried whose row another operator changes at the same time.
	evacuationAttempts = 4
)

type evacuationRow struct {
	Domains []string `json:"domains"`
}

// EvacuationStore stores the evacuated failure domains.
type EvacuationStore struct {
	table *TableClient
}

// NewEvacuationStore returns a store in a table.
func NewEvacuationStore(table *TableClient) *EvacuationStore { return &EvacuationStore{table: table} }

// Change adds a domain to the set, or removes it, with an audit entry, and returns the new set. A change that has no effect writes
// nothing. It returns ErrPlatformUnavailable when the table service does not respond, and ErrConflict when other operators change the set
// all the time.
func (s *EvacuationStore) Change(
	ctx context.Context, now time.Time, domain string, evacuated bool, who, from string,
) (hibiscusscheduling.Evacuation, error) {
	what := "ended the evacuation of failure domain " + domain
	if evacuated {
		what = "evacuated failure domain " + domain
	}
	for range evacuationAttempts {
		row, err := s.table.Row(ctx, evacuationKey)
		if err != nil {
			return hibiscusscheduling.Evacuation{}, markUnavailable(err)
		}
		set, err := decodeEvacuation(row)
		if err == nil && set.Has(domain) == evacuated && row.Version() > 0 {
			return set, nil
		}
		// A row that can't be decoded is replaced: it evacuates nothing, and the operator has just asked for a set.
		domains := slices.DeleteFunc(slices.Clone(set.Domains()), func(d string) bool { return d == domain })
		if evacuated {
			domains = append(domains, domain)
		}
		next := hibiscusscheduling.NewEvacuation(0, domains)
		if next.Has(domain) != evacuated {
			return set, errors.Mark(errors.Newf("%d failure domains are evacuated, no more can be", len(set.Domains())), ErrTooManyDomains)
		}
		entry := hibiscuscoordination.NewAuditEntry(now, who, from, what, 0, 0)
		tx := NewTransaction()
		tx.Put(evacuationKey, encodeRow(evacuationRow{Domains: next.Domains()}), row.Version()).
			Put(auditKey(now, tx.body.ChangeID, 0), encodeRow(newAuditRow(entry)), 0)
		err = s.table.Commit(ctx, tx)
		if errors.Is(err, ErrRowChanged) {
			continue
		}
		if err != nil {
			return hibiscusscheduling.Evacuation{}, markUnavailable(err)
		}
		// The version of the row is read back: it may have been changed again.
		row, err = s.table.Row(ctx, evacuationKey)
		if err != nil {
			return next, errors.Mark(err, ErrOutcomeUnknown)
		}
		return decodeEvacuation(row)
	}
	return hibiscusscheduling.Evacuation{}, errors.Mark(
		errors.New("other operators change the evacuated domains at the same time"), hibiscuscoordination.ErrConflict)
}

// decodeEvacuation decodes the row of the evacuated domains; a row that does not exist has the revision zero.
func decodeEvacuation(row Row) (hibiscusscheduling.Evacuation, error) {
	if row.Version() == 0 {
		return hibiscusscheduling.Evacuation{}, nil
	}
	var body evacuationRow
	if err := json.Unmarshal([]byte(row.Value()), &body); err != nil {
		return hibiscusscheduling.NewEvacuation(row.Version(), nil), errors.Wrap(err, "decode the evacuated domains")
	}
	return hibiscusscheduling.NewEvacuation(row.Version(), body.Domains), nil
}

// Poll reads the number of the current version, zero before the first, and the evacuated domains in one request. Domains that can't be
// decoded have the revision zero, so that the last set stays.
func (s *ConfigurationStore) Poll(ctx context.Context) (uint64, hibiscusscheduling.Evacuation, error) {
	var set hibiscusscheduling.Evacuation
	version := uint64(0)
	rows, err := s.table.Rows(ctx, pointerKey, "", maxPolledRows)
	if err != nil {
		return 0, set, markUnavailable(err)
	}
	for _, row := range rows {
		switch row.Key() {
		case pointerKey:
			var body pointerRow
			if err := json.Unmarshal([]byte(row.Value()), &body); err != nil {
				return 0, set, markUnavailable(errors.Wrap(err, "decode the pointer to the current version"))
			}
			version = body.Version
		case evacuationKey:
			if decoded, err := decodeEvacuation(row); err == nil {
				set = decoded
			}
		}
	}
	return version, set, nil
}
