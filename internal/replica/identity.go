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

// identity is written once per disk, before anything else.
type identity struct {
	id     MemberID
	groups []GroupID
	// founding is the first membership of every group; empty at a member
	// that joined.
	founding raft.Membership
}

func (i *identity) encode() []byte {
	b := binary.AppendUvarint(nil, uint64(i.id))
	b = binary.AppendUvarint(b, uint64(len(i.groups)))
	for _, group := range i.groups {
		b = binary.AppendUvarint(b, uint64(group))
	}
	return raft.AppendMembership(b, &i.founding)
}

func decodeIdentity(b []byte) (identity, error) {
	var i identity
	read := func() uint64 {
		v, n := binary.Uvarint(b)
		if n <= 0 {
			b = nil
			return 0
		}
		b = b[n:]
		return v
	}
	i.id = MemberID(read())
	for range read() {
		if len(b) == 0 {
			break
		}
		i.groups = append(i.groups, GroupID(read()))
	}
	var err error
	i.founding, err = raft.DecodeMembership(b)
	return i, errors.Wrap(err, "decoding identity")
}

// HasState reports whether a directory holds a member's state.
func HasState(fs wal.FS, dir string) (bool, error) {
	if fs == nil {
		fs = wal.OS{}
	}
	if err := fs.MkdirAll(dir); err != nil {
		return false, errors.Wrap(err, "looking for state")
	}
	names, err := fs.ReadDir(dir)
	return len(names) > 0, errors.Wrap(err, "looking for state")
}

// loadIdentity checks the options against the log and creates the identity of
// a new member.
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
		return identity{}, errors.Wrapf(ErrIdentity, "member id is %d, the disk belongs to %d", o.ID, i.id)
	}
	if !slices.Equal(groups, i.groups) {
		return identity{}, errors.Wrapf(ErrIdentity, "groups are %v, the disk holds %v", groups, i.groups)
	}
	return i, nil
}

func createIdentity(l *wal.Log, o *Options, groups []GroupID) (identity, error) {
	i := identity{id: o.ID, groups: groups}
	switch o.Start {
	case StartBootstrap:
		i.founding.Voters = slices.Sorted(slices.Values(o.Voters))
		if !i.founding.IsVoter(i.id) {
			return identity{}, errors.Wrapf(ErrIdentity, "member %d is not among the founding voters %v", i.id, o.Voters)
		}
	case StartJoining:
		if i.id == 0 {
			i.id = randomID()
		}
	default:
		return identity{}, ErrNoState
	}
	var batch wal.Batch
	batch.SetIdentity(i.encode())
	return i, errors.Wrap(l.Write(&batch), "storing identity")
}

// randomID returns an id that no other member has, for all practical purposes.
func randomID() MemberID {
	var b [8]byte
	for {
		// Read never fails; see its documentation.
		_, _ = rand.Read(b[:])
		if id := MemberID(binary.LittleEndian.Uint64(b[:])); id != 0 {
			return id
		}
	}
}
