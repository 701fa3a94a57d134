package raft

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func drawMembership(t *rapid.T) Membership {
	ids := func(name string) []MemberID {
		list := rapid.SliceOfN(rapid.Uint64(), 0, 4).Draw(t, name)
		var members []MemberID
		for _, id := range list {
			members = append(members, MemberID(id))
		}
		return members
	}
	return Membership{Voters: ids("voters"), Learners: ids("learners"), Removed: ids("removed")}
}

func drawBytes(t *rapid.T, name string) []byte {
	b := rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, name)
	if len(b) == 0 {
		return nil
	}
	return b
}

func drawMessage(t *rapid.T) Message {
	u := func(name string) uint64 { return rapid.Uint64().Draw(t, name) }
	m := Message{
		Type: MessageType(rapid.IntRange(1, int(messageTypeEnd)-1).Draw(t, "type")), From: MemberID(u("from")), To: MemberID(u("to")),
		Term: u("term"), Index: u("index"), LogTerm: u("log term"), Commit: u("commit"), Hint: u("hint"), Context: u("context"),
		Reject: rapid.Bool().Draw(t, "reject"), Transfer: rapid.Bool().Draw(t, "transfer"),
	}
	for range rapid.IntRange(0, 3).Draw(t, "entries") {
		kind := EntryType(rapid.IntRange(0, int(entryTypeEnd)-1).Draw(t, "entry type"))
		m.Entries = append(m.Entries, Entry{Index: u("index"), Term: u("term"), Type: kind, Data: drawBytes(t, "data")})
	}
	if rapid.Bool().Draw(t, "with snapshot") {
		m.Snapshot = &Snapshot{Meta: SnapshotMeta{Index: u("index"), Term: u("term"), Membership: drawMembership(t)}, Data: drawBytes(t, "data")}
	}
	return m
}

// Guards against fields that the encoding omits or swaps, and against a truncated
// message that decodes without an error.
func TestMessageEncodingRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawMessage(t)
		encoded := AppendMessage(nil, &m)
		decoded, err := DecodeMessage(encoded)
		require.NoError(t, err)
		require.Equal(t, m, decoded)
		_, err = DecodeMessage(encoded[:rapid.IntRange(0, len(encoded)-1).Draw(t, "length")])
		require.ErrorIs(t, err, ErrMalformed)
		if m.Snapshot != nil {
			meta, err := DecodeSnapshotMeta(AppendSnapshotMeta(nil, &m.Snapshot.Meta))
			require.NoError(t, err)
			require.Equal(t, m.Snapshot.Meta, meta)
		}
	})
}

// Guards against corrupt messages that make the decoder panic, allocate much
// memory or return a message that doesn't survive another round trip.
func FuzzDecodeMessage(f *testing.F) {
	f.Add(AppendMessage(nil, &Message{Type: MsgAppend, From: 1, To: 2, Term: 3, Entries: []Entry{{Index: 1, Term: 1, Data: []byte("x")}}}))
	f.Add(AppendMessage(nil, &Message{Type: MsgInstallSnapshot, From: 1, To: 2, Term: 3, Snapshot: &Snapshot{Data: []byte("x")}}))
	f.Fuzz(func(t *testing.T, encoded []byte) {
		m, err := DecodeMessage(encoded)
		if err != nil {
			return
		}
		again, err := DecodeMessage(AppendMessage(nil, &m))
		require.NoError(t, err)
		require.Equal(t, m, again)
	})
}
