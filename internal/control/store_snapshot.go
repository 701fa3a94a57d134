package control

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/lease"
)

// storeFormat is the format version, the first byte of a snapshot of group 0.
const storeFormat = 1

// Snapshot implements StateMachine. The order of the parts is: configuration,
// history, outcomes, last fencing token, leases, leader addresses, leader, added
// members. Each list is preceded by its length.
func (s *store) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	buf, err := appendMessage([]byte{storeFormat}, s.config)
	if err != nil {
		return nil, errors.Wrap(err, "encoding configuration")
	}
	buf = binary.AppendUvarint(buf, uint64(len(s.history)))
	for _, item := range s.history {
		if buf, err = appendMessage(buf, item.change); err != nil {
			return nil, errors.Wrap(err, "encoding history")
		}
	}
	if buf, err = s.appendOutcomes(buf); err != nil {
		return nil, errors.Wrap(err, "encoding outcomes")
	}
	if buf, err = s.appendLeases(buf); err != nil {
		return nil, errors.Wrap(err, "encoding leases")
	}
	buf = binary.AppendUvarint(buf, uint64(len(s.leaderAddresses)))
	for _, id := range slices.Sorted(maps.Keys(s.leaderAddresses)) {
		buf = binary.AppendUvarint(buf, id)
		if buf, err = appendMessage(buf, s.leaderAddresses[id]); err != nil {
			return nil, errors.Wrap(err, "encoding addresses")
		}
	}
	buf = binary.AppendUvarint(buf, s.leader.term)
	buf = binary.AppendUvarint(buf, s.leader.id)
	buf = binary.AppendUvarint(buf, uint64(len(s.addedMembers)))
	for _, id := range slices.Sorted(maps.Keys(s.addedMembers)) {
		buf = binary.AppendUvarint(buf, id)
		if buf, err = appendMessage(buf, &pb.Hello{Vm: s.addedMembers[id]}); err != nil {
			return nil, errors.Wrap(err, "encoding members")
		}
	}
	return buf, nil
}

func (s *store) appendOutcomes(buf []byte) (_ []byte, err error) {
	buf = binary.AppendUvarint(buf, uint64(len(s.outcomeOrder)))
	for _, id := range s.outcomeOrder {
		o := s.outcomes[id]
		buf = binary.AppendUvarint(buf, uint64(len(id)))
		buf = append(buf, id...)
		buf = append(buf, o.digest[:]...)
		buf = binary.AppendUvarint(buf, o.baseVersion)
		if buf, err = appendMessage(buf, o.result); err != nil {
			return nil, err
		}
	}
	return buf, nil
}

func (s *store) appendLeases(buf []byte) (_ []byte, err error) {
	records := s.leases.Records()
	buf = binary.AppendUvarint(buf, s.leases.LastToken())
	buf = binary.AppendUvarint(buf, uint64(len(records)))
	for _, rec := range records {
		if buf, err = appendMessage(buf, leaseMessage(rec)); err != nil {
			return nil, err
		}
	}
	return buf, nil
}

// Restore implements StateMachine.
func (s *store) Restore(data []byte) error {
	if len(data) == 0 || data[0] != storeFormat {
		return errors.New("store snapshot: unknown format version")
	}
	r := &snapshotReader{remaining: data[1:]}
	restored := newStore(s.leases.TTL())
	cfg := &pb.Config{}
	r.message(cfg)
	restored.setConfig(cfg)
	now := time.Now()
	for n := r.uint(); n > 0 && r.err == nil; n-- {
		lenBefore := len(r.remaining)
		change := &pb.ConfigChange{}
		r.message(change)
		bytes := lenBefore - len(r.remaining)
		restored.history = append(restored.history, historyItem{change: change, bytes: bytes, appliedAt: now})
		restored.historyBytes += bytes
	}
	restored.restoreOutcomes(r)
	records, lastToken := restoreLeases(r)
	for n := r.uint(); n > 0 && r.err == nil; n-- {
		id := r.uint()
		h := &pb.Hello{}
		r.message(h)
		restored.leaderAddresses[id] = h
	}
	restored.leader = leaderRecord{term: r.uint(), id: r.uint()}
	for n := r.uint(); n > 0 && r.err == nil; n-- {
		id := r.uint()
		h := &pb.Hello{}
		r.message(h)
		restored.addedMembers[id] = h.Vm
	}
	if r.err != nil {
		return r.err
	}
	s.install(restored, records, lastToken)
	return nil
}

func (s *store) restoreOutcomes(r *snapshotReader) {
	for n := r.uint(); n > 0 && r.err == nil; n-- {
		id := string(r.bytes(r.uint()))
		o := &outcome{result: &pb.ChangeOutcome{}}
		copy(o.digest[:], r.bytes(uint64(len(o.digest))))
		o.baseVersion = r.uint()
		r.message(o.result)
		s.storeOutcome(id, o)
	}
}

func restoreLeases(r *snapshotReader) (records []lease.Record, lastToken uint64) {
	lastToken = r.uint()
	for n := r.uint(); n > 0 && r.err == nil; n-- {
		l := &pb.PoolLease{}
		r.message(l)
		records = append(records, lease.Record{Name: l.Name, Holder: l.Holder, Address: l.Address, Token: l.FencingToken})
	}
	return records, lastToken
}

func (s *store) install(restored *store, records []lease.Record, lastToken uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config, s.configBytes = restored.config, restored.configBytes
	s.history, s.historyBytes = restored.history, restored.historyBytes
	s.outcomes, s.outcomeOrder = restored.outcomes, restored.outcomeOrder
	s.leaderAddresses, s.leader = restored.leaderAddresses, restored.leader
	s.addedMembers = restored.addedMembers
	for id, address := range s.addedMembers {
		s.onMemberAdded(id, address)
	}
	s.leases.Restore(records, lastToken)
	s.leaseGen++
	s.notifyWatchers()
}

func leaseMessage(rec lease.Record) *pb.PoolLease {
	return &pb.PoolLease{Name: rec.Name, Holder: rec.Holder, Address: rec.Address, FencingToken: rec.Token}
}
