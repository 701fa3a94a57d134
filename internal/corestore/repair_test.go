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

func group(vms ...byte) []replica.MemberID {
	var ids []replica.MemberID
	for _, vm := range vms {
		ids = append(ids, member(vm, foundingNonce))
	}
	return ids
}

// A member id must tell the address of its VM, since nothing else does.
func TestMemberIDTellsAddress(t *testing.T) {
	require.Equal(t, "10.0.0.9:7000", memberAddress(member(9, 77), 7000))
}

// A VM that lost its disk must not come back beside its old id: the group would
// then need the vote of a disk that is gone.
func TestLostDiskIsRemovedBeforeItsVMJoins(t *testing.T) {
	back := member(2, 99)
	v := &view{self: member(1, 1), voters: group(1, 2, 3, 4, 5), joiners: []replica.MemberID{back}, needed: 5, quiet: map[replica.MemberID]time.Duration{}}
	require.Equal(t, change(raft.RemoveMember, member(2, 1)), plan(v))
	v.voters = group(1, 3, 4, 5)
	require.Equal(t, change(raft.AddLearner, back), plan(v))
	v.learners, v.joiners = []replica.MemberID{back}, nil
	require.Equal(t, change(raft.PromoteLearner, back), plan(v))
}

// A member that is only cut off stays while nothing can stand in its place.
func TestQuietMemberStaysWithoutJoiner(t *testing.T) {
	v := &view{self: member(1, 1), voters: group(1, 2, 3, 4, 5), needed: 5, quiet: map[replica.MemberID]time.Duration{member(2, 1): time.Hour}}
	require.Nil(t, plan(v))
	v.joiners = []replica.MemberID{member(6, 99)}
	require.Equal(t, change(raft.RemoveMember, member(2, 1)), plan(v))
}

// A sixth member that is gone for good would leave a group of six that bears
// only one more loss.
func TestMembersBeyondTheNeedAreRemovedWhenGone(t *testing.T) {
	v := &view{self: member(1, 1), voters: group(1, 2, 3, 4, 5, 6), needed: 5, quiet: map[replica.MemberID]time.Duration{member(6, 1): shrinkAfter}}
	require.Equal(t, change(raft.RemoveMember, member(6, 1)), plan(v))
	v.quiet[member(6, 1)] = shrinkAfter - 1
	require.Nil(t, plan(v))
}

// Each planned step must leave a majority of answering voters, or the group
// could not commit the next one.
func TestNoStepNeedsAQuietMajority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := &view{self: member(1, 1), needed: 5, quiet: map[replica.MemberID]time.Duration{}}
		n := byte(rapid.IntRange(2, 7).Draw(t, "voters"))
		for vm := byte(1); vm <= n; vm++ {
			id := member(vm, 1)
			v.voters = append(v.voters, id)
			if vm > 1 && rapid.Bool().Draw(t, "quiet") {
				v.quiet[id] = time.Hour
			}
		}
		for range rapid.IntRange(0, 2).Draw(t, "joiners") {
			v.joiners = append(v.joiners, member(byte(rapid.IntRange(2, 9).Draw(t, "vm")), rapid.Uint32Range(2, 99).Draw(t, "nonce")))
		}
		c := plan(v)
		if c == nil || c.Kind != raft.RemoveMember {
			return
		}
		if c.Member == v.self {
			t.Fatal("the leader removes itself")
		}
		answering, rest := 0, 0
		for _, id := range v.voters {
			if id == c.Member {
				continue
			}
			rest++
			if v.quiet[id] < replaceAfter {
				answering++
			}
		}
		if answering <= rest/2 {
			t.Fatalf("after %v %d of %d answer", c, answering, rest)
		}
	})
}
