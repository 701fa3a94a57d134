package corestore

import (
	"crypto/rand"
	"encoding/binary"
	"net/netip"

	"github.com/pkg/errors"

	"godwitward.example/godwitward/internal/replica"
)

// A member id holds the IPv4 address of its VM in the upper 32 bits, so that the
// membership alone gives the addresses of the members. The lower 32 bits are a
// nonce that differs for each disk that the VM has had.

// bootstrapNonce is the nonce of the members that bootstrap the group.
const bootstrapNonce = 1

func memberID(address netip.AddrPort, nonce uint32) replica.MemberID {
	ip := address.Addr().Unmap().As4()
	return replica.MemberID(uint64(binary.BigEndian.Uint32(ip[:]))<<32 | uint64(nonce))
}

func bootstrapID(address netip.AddrPort) replica.MemberID {
	return memberID(address, bootstrapNonce)
}

// joiningID returns an id with a random nonce, which in practice no earlier disk
// of the VM has used.
func joiningID(address netip.AddrPort) replica.MemberID {
	var b [4]byte
	for {
		// rand.Read is documented never to return an error.
		_, _ = rand.Read(b[:])
		if n := binary.BigEndian.Uint32(b[:]); n > bootstrapNonce {
			return memberID(address, n)
		}
	}
}

// memberAddress returns the session address of a member. The id has no port,
// because all members listen on the same one.
func memberAddress(id replica.MemberID, port uint16) string {
	return netip.AddrPortFrom(memberIP(id), port).String()
}

func memberIP(id replica.MemberID) netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], uint32(uint64(id)>>32))
	return netip.AddrFrom4(b)
}

func parseSessionAddress(address string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return a, errors.Wrap(err, "session address")
	}
	if !a.Addr().Unmap().Is4() {
		return a, errors.Errorf("session address %s is not IPv4", address)
	}
	return a, nil
}
