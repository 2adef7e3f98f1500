package hibiscusprotocol

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusstate"
)

// The rows of entries in the table, one for each incarnation.

const (
	memberPrefix = "members/"
	// maxMembers is far above the few entries of a deployment; rows of dead ones are deleted.
	maxMembers = 1000
)

// MemberStore keeps the rows of entries.
type MemberStore struct {
	table *TableClient
}

// NewMemberStore returns the rows of entries that are in a table.
func NewMemberStore(table *TableClient) *MemberStore { return &MemberStore{table: table} }

type memberRow struct {
	Incarnation   uint64 `json:"incarnation"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Heartbeat     uint64 `json:"heartbeat"`
}

// List returns the rows of all entries, or ErrPlatformUnavailable.
func (s *MemberStore) List(ctx context.Context) ([]hibiscuscoordination.MemberRow, error) {
	rows, err := s.table.Rows(ctx, memberPrefix, "", maxMembers)
	if err != nil {
		return nil, markUnavailable(err)
	}
	list := make([]hibiscuscoordination.MemberRow, len(rows))
	for i, r := range rows {
		var body memberRow
		if err := json.Unmarshal([]byte(r.Value()), &body); err != nil {
			return nil, markUnavailable(errors.Wrapf(err, "decode member row %s", r.Key()))
		}
		member := hibiscuscoordination.NewMember(
			hibiscusstate.Incarnation(body.Incarnation), body.Address, body.FailureDomain, body.Heartbeat)
		list[i] = hibiscuscoordination.NewMemberRow(member, r.Version())
	}
	return list, nil
}

// Put writes the row of an entry over the version that was read, or returns ErrPlatformUnavailable.
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
