package raft

import (
	"encoding/hex"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// encodedByEarlierBuild holds what exampleEncodings returned at cad4224, a line each.
const encodedByEarlierBuild = "testdata/cad4224.hex"

// exampleMessages returns messages of all types that set all fields.
func exampleMessages() []Message {
	var list []Message
	for kind := MessageType(1); kind < messageTypeEnd; kind++ {
		list = append(list, Message{
			Type: kind, From: 1 << 40, To: 2<<40 | 7, Term: 300, Index: 9, LogTerm: 299, Commit: 8, Hint: 5, Context: 77, Reject: kind%2 == 0, Transfer: kind%3 == 0,
			Entries: []Entry{
				{Index: 10, Term: 300, Type: EntryNoop},
				{Index: 11, Term: 300, Type: EntryNormal, Data: []byte("command")},
				{Index: 12, Term: 300, Type: EntryMembership, Data: AppendMembership(nil, &exampleMembership)},
			},
			Snapshot: &Snapshot{Meta: SnapshotMeta{Index: 4, Term: 200, Membership: exampleMembership}, Data: []byte("state")},
		})
	}
	return append(list, Message{Type: MsgHeartbeat, From: 1, To: 2})
}

var exampleMembership = Membership{Voters: []MemberID{1 << 40, 2 << 40, 3 << 40}, Learners: []MemberID{4<<40 | 9}, Removed: []MemberID{5 << 40}}

func exampleEncodings() []string {
	var lines []string
	for _, m := range exampleMessages() {
		lines = append(lines, hex.EncodeToString(AppendMessage(nil, &m)))
	}
	return lines
}

// Guards against members of two builds that don't understand each other, or that read each
// other's snapshots and memberships in different ways.
func TestEarlierBuildsAndThisOneEncodeTheSameMessages(t *testing.T) {
	stored, err := os.ReadFile(encodedByEarlierBuild)
	require.NoError(t, err)
	lines := strings.Fields(string(stored))
	require.Equal(t, lines, exampleEncodings())
	for i, m := range exampleMessages() {
		encoded, err := hex.DecodeString(lines[i])
		require.NoError(t, err)
		decoded, err := DecodeMessage(encoded)
		require.NoError(t, err)
		require.Equal(t, m, decoded)
	}
}
