package hibiscusprotocol

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"

	"github.com/cockroachdb/errors"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusstate"
)

// The membership rows of entries in the table, one for each incarnation.

const (
	memberPrefix = "members/"
	// maxMembers is far above the few entries of a deployment; rows of stopped entries are deleted.
	maxMembers = 1000
)

// MemberStore stores the membership rows of entries.
type MemberStore struct {
	table *TableClient
	log   *slog.Logger
}

// NewMemberStore returns a store of the membership rows in a table.
func NewMemberStore(table *TableClient, log *slog.Logger) *MemberStore {
	return &MemberStore{table: table, log: log}
}

type memberRow struct {
	Incarnation   uint64 `json:"incarnation"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Heartbeat     uint64 `json:"heartbeat"`
}

// List returns the rows of all entries, or ErrPlatformUnavailable. Rows that name no entry are skipped.
func (s *MemberStore) List(ctx context.Context) ([]hibiscuscoordination.MemberRow, error) {
	rows, err := s.table.Rows(ctx, memberPrefix, "", maxMembers)
	if err != nil {
		return nil, markUnavailable(err)
	}
	list := make([]hibiscuscoordination.MemberRow, 0, len(rows))
	for _, r := range rows {
		var body memberRow
		err := json.Unmarshal([]byte(r.Value()), &body)
		member := hibiscuscoordination.NewMember(
			hibiscusstate.Incarnation(body.Incarnation), body.Address, body.FailureDomain, body.Heartbeat)
		if err = errors.CombineErrors(err, CheckAddress(body.Address)); err == nil && memberKey(member) != r.Key() {
			err = errors.Newf("the row has the key of another incarnation than %s", memberKey(member))
		}
		if err != nil {
			s.log.Warn("membership: row names no entry and is skipped", "key", r.Key(), "cause", err.Error())
			continue
		}
		list = append(list, hibiscuscoordination.NewMemberRow(member, r.Version()))
	}
	return list, nil
}

// Put writes the row of an entry if it did not change since it was read, or returns ErrPlatformUnavailable.
func (s *MemberStore) Put(ctx context.Context, row hibiscuscoordination.MemberRow) error {
	m := row.Member()
	value := encodeRow(memberRow{
		Incarnation: uint64(m.Incarnation()), Address: m.Address(), FailureDomain: m.Domain(), Heartbeat: m.Heartbeat(),
	})
	return markUnavailable(s.table.Commit(ctx, NewTransaction().Put(memberKey(m), value, row.Version())))
}

// Remove deletes the row of an entry if it did not change since it was read, or returns ErrPlatformUnavailable.
func (s *MemberStore) Remove(ctx context.Context, row hibiscuscoordination.MemberRow) error {
	err := s.table.Commit(ctx, NewTransaction().Delete(memberKey(row.Member()), row.Version()))
	return markUnavailable(err)
}

func memberKey(m hibiscuscoordination.Member) string {
	return fmt.Sprintf("%s%016x", memberPrefix, uint64(m.Incarnation()))
}
