package corestore

import (
	"crypto/rand"
	"encoding/binary"
	"net/netip"

	"github.com/pkg/errors"

	"godwitward.example/godwitward/internal/replica"
)

// A member id holds the IPv4 address of its VM in the upper half, so that the
// membership alone tells where members are reached. The lower half tells the
// disks apart that one VM had.

// foundingNonce is the lower half of the ids of founding members.
const foundingNonce = 1

func memberID(address netip.AddrPort, nonce uint32) replica.MemberID {
	ip := address.Addr().Unmap().As4()
	return replica.MemberID(uint64(binary.BigEndian.Uint32(ip[:]))<<32 | uint64(nonce))
}

func foundingID(address netip.AddrPort) replica.MemberID {
	return memberID(address, foundingNonce)
}

// joiningID returns an id that no disk of the VM has had, for all practical
// purposes.
func joiningID(address netip.AddrPort) replica.MemberID {
	var b [4]byte
	for {
		// Read never fails; see its documentation.
		_, _ = rand.Read(b[:])
		if n := binary.BigEndian.Uint32(b[:]); n > foundingNonce {
			return memberID(address, n)
		}
	}
}

// memberAddress returns the session address of a member. All members listen on
// the same port.
func memberAddress(id replica.MemberID, port uint16) string {
	return netip.AddrPortFrom(memberIP(id), port).String()
}

func memberIP(id replica.MemberID) netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], uint32(uint64(id)>>32))
	return netip.AddrFrom4(b)
}

func parseSession(address string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return a, errors.Wrap(err, "session address")
	}
	if !a.Addr().Unmap().Is4() {
		return a, errors.Errorf("session address %s is not IPv4", address)
	}
	return a, nil
}
