package replica

import (
	"crypto/rand"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"godwitward.example/godwitward/raft"
	"godwitward.example/godwitward/wal"
)

// identity describes the member that a disk belongs to. It is written once per
// disk, before any other record.
type identity struct {
	id     MemberID
	groups []GroupID
	// initialMembership is the membership that every group was bootstrapped
	// with. It is empty on a member that joined later.
	initialMembership raft.Membership
}

func (i *identity) encode() []byte {
	b := binary.AppendUvarint(nil, uint64(i.id))
	b = binary.AppendUvarint(b, uint64(len(i.groups)))
	for _, group := range i.groups {
		b = binary.AppendUvarint(b, uint64(group))
	}
	return raft.AppendMembership(b, &i.initialMembership)
}

func decodeIdentity(b []byte) (identity, error) {
	var i identity
	readUvarint := func() uint64 {
		v, n := binary.Uvarint(b)
		if n <= 0 {
			b = nil
			return 0
		}
		b = b[n:]
		return v
	}
	i.id = MemberID(readUvarint())
	for range readUvarint() {
		if len(b) == 0 {
			break
		}
		i.groups = append(i.groups, GroupID(readUvarint()))
	}
	var err error
	i.initialMembership, err = raft.DecodeMembership(b)
	return i, errors.Wrap(err, "decoding member identity")
}

// HasState reports whether a directory holds a member's state; any file in it
// counts. It creates the directory if it is missing.
func HasState(fs wal.FS, dir string) (bool, error) {
	if fs == nil {
		fs = wal.OS{}
	}
	if err := fs.MkdirAll(dir); err != nil {
		return false, errors.Wrap(err, "checking for member state")
	}
	names, err := fs.ReadDir(dir)
	return len(names) > 0, errors.Wrap(err, "checking for member state")
}

// loadIdentity reads the identity from the log and checks the options against
// it. For a new member it creates the identity.
func loadIdentity(l *wal.Log, o *Options) (identity, error) {
	groups := slices.Sorted(maps.Keys(o.Groups))
	stored := l.Identity()
	if len(stored) == 0 {
		return createIdentity(l, o, groups)
	}
	if o.Start != StartExisting {
		return identity{}, ErrStateExists
	}
	i, err := decodeIdentity(stored)
	if err != nil {
		return identity{}, err
	}
	if o.ID != 0 && o.ID != i.id {
		return identity{}, errors.Wrapf(ErrIdentityMismatch, "member id is %d, the disk belongs to %d", o.ID, i.id)
	}
	if !slices.Equal(groups, i.groups) {
		return identity{}, errors.Wrapf(ErrIdentityMismatch, "groups are %v, the disk holds %v", groups, i.groups)
	}
	return i, nil
}

func createIdentity(l *wal.Log, o *Options, groups []GroupID) (identity, error) {
	i := identity{id: o.ID, groups: groups}
	switch o.Start {
	case StartBootstrap:
		i.initialMembership.Voters = slices.Sorted(slices.Values(o.Voters))
		if !i.initialMembership.IsVoter(i.id) {
			return identity{}, errors.Wrapf(ErrIdentityMismatch, "member %d is not among the bootstrap voters %v", i.id, o.Voters)
		}
	case StartJoin:
		if i.id == 0 {
			i.id = randomID()
		}
	default:
		return identity{}, ErrNoState
	}
	var batch wal.Batch
	batch.SetIdentity(i.encode())
	return i, errors.Wrap(l.Write(&batch), "storing member identity")
}

// randomID returns a random non-zero id. With 64 random bits a collision with
// another member is negligible.
func randomID() MemberID {
	var b [8]byte
	for {
		// crypto/rand.Read never returns an error.
		_, _ = rand.Read(b[:])
		if id := MemberID(binary.LittleEndian.Uint64(b[:])); id != 0 {
			return id
		}
	}
}
