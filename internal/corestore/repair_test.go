package corestore

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"godwitward.example/godwitward/internal/replica"
	"godwitward.example/godwitward/raft"
)

func member(vm byte, nonce uint32) replica.MemberID {
	return memberID(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, vm}), 7000), nonce)
}

func bootstrapMembers(vms ...byte) []replica.MemberID {
	var ids []replica.MemberID
	for _, vm := range vms {
		ids = append(ids, member(vm, bootstrapNonce))
	}
	return ids
}

// A member id must contain the address of its VM, because the membership records
// it nowhere else.
func TestMemberIDContainsAddress(t *testing.T) {
	require.Equal(t, "10.0.0.9:7000", memberAddress(member(9, 77), 7000))
}

// A VM that lost its disk must not be added while its old id is a member: the
// group could then need the vote of the lost disk.
func TestOldMemberIsRemovedBeforeItsVMRejoins(t *testing.T) {
	rejoining := member(2, 99)
	v := &groupView{self: member(1, 1), voters: bootstrapMembers(1, 2, 3, 4, 5), joining: []replica.MemberID{rejoining}, requiredVoters: 5, inactiveFor: map[replica.MemberID]time.Duration{}}
	require.Equal(t, change(raft.RemoveMember, member(2, 1)), plan(v))
	v.voters = bootstrapMembers(1, 3, 4, 5)
	require.Equal(t, change(raft.AddLearner, rejoining), plan(v))
	v.learners, v.joining = []replica.MemberID{rejoining}, nil
	require.Equal(t, change(raft.PromoteLearner, rejoining), plan(v))
}

// An inactive member may merely be partitioned off, so it stays a member until
// another daemon asks to join and can replace it.
func TestInactiveMemberStaysUntilReplaced(t *testing.T) {
	v := &groupView{self: member(1, 1), voters: bootstrapMembers(1, 2, 3, 4, 5), requiredVoters: 5, inactiveFor: map[replica.MemberID]time.Duration{member(2, 1): time.Hour}}
	require.Nil(t, plan(v))
	v.joining = []replica.MemberID{member(6, 99)}
	require.Equal(t, change(raft.RemoveMember, member(2, 1)), plan(v))
}

// A sixth member that is gone for good must be removed: a group of six with one
// member lost tolerates only one more loss.
func TestInactiveSurplusVoterIsRemoved(t *testing.T) {
	v := &groupView{self: member(1, 1), voters: bootstrapMembers(1, 2, 3, 4, 5, 6), requiredVoters: 5, inactiveFor: map[replica.MemberID]time.Duration{member(6, 1): removeSurplusAfter}}
	require.Equal(t, change(raft.RemoveMember, member(6, 1)), plan(v))
	v.inactiveFor[member(6, 1)] = removeSurplusAfter - 1
	require.Nil(t, plan(v))
}

// Each removal must leave a majority of active voters, or the group could not
// commit the next change.
func TestRemovalLeavesActiveMajority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := &groupView{self: member(1, 1), requiredVoters: 5, inactiveFor: map[replica.MemberID]time.Duration{}}
		n := byte(rapid.IntRange(2, 7).Draw(t, "voters"))
		for vm := byte(1); vm <= n; vm++ {
			id := member(vm, 1)
			v.voters = append(v.voters, id)
			if vm > 1 && rapid.Bool().Draw(t, "quiet") {
				v.inactiveFor[id] = time.Hour
			}
		}
		for range rapid.IntRange(0, 2).Draw(t, "joiners") {
			v.joining = append(v.joining, member(byte(rapid.IntRange(2, 9).Draw(t, "vm")), rapid.Uint32Range(2, 99).Draw(t, "nonce")))
		}
		c := plan(v)
		if c == nil || c.Kind != raft.RemoveMember {
			return
		}
		if c.Member == v.self {
			t.Fatal("the plan removes the leader itself")
		}
		active, remaining := 0, 0
		for _, id := range v.voters {
			if id == c.Member {
				continue
			}
			remaining++
			if v.inactiveFor[id] < replaceAfter {
				active++
			}
		}
		if active <= remaining/2 {
			t.Fatalf("after %v, %d of %d remaining voters are active", c, active, remaining)
		}
	})
}
