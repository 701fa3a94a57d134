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

// storeFormat is the first byte of a snapshot of group 0.
const storeFormat = 1

// Snapshot implements StateMachine. The order of the parts is: configuration,
// history, outcomes, leases, addresses, leader, joined members; each list after its length.
func (s *store) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	buf, err := appendRecord([]byte{storeFormat}, s.config)
	if err != nil {
		return nil, errors.Wrap(err, "encoding configuration")
	}
	buf = binary.AppendUvarint(buf, uint64(len(s.history)))
	for _, item := range s.history {
		if buf, err = appendRecord(buf, item.change); err != nil {
			return nil, errors.Wrap(err, "encoding history")
		}
	}
	if buf, err = s.appendOutcomes(buf); err != nil {
		return nil, errors.Wrap(err, "encoding outcomes")
	}
	if buf, err = s.appendLeases(buf); err != nil {
		return nil, errors.Wrap(err, "encoding leases")
	}
	buf = binary.AppendUvarint(buf, uint64(len(s.addresses)))
	for _, id := range slices.Sorted(maps.Keys(s.addresses)) {
		buf = binary.AppendUvarint(buf, id)
		if buf, err = appendRecord(buf, s.addresses[id]); err != nil {
			return nil, errors.Wrap(err, "encoding addresses")
		}
	}
	buf = binary.AppendUvarint(buf, s.leader.term)
	buf = binary.AppendUvarint(buf, s.leader.id)
	buf = binary.AppendUvarint(buf, uint64(len(s.joined)))
	for _, id := range slices.Sorted(maps.Keys(s.joined)) {
		buf = binary.AppendUvarint(buf, id)
		if buf, err = appendRecord(buf, &pb.Hello{Vm: s.joined[id]}); err != nil {
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
		buf = binary.AppendUvarint(buf, o.base)
		if buf, err = appendRecord(buf, o.result); err != nil {
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
		if buf, err = appendRecord(buf, leaseMessage(rec)); err != nil {
			return nil, err
		}
	}
	return buf, nil
}

// Restore implements StateMachine.
func (s *store) Restore(data []byte) error {
	if len(data) == 0 || data[0] != storeFormat {
		return errors.New("store snapshot: unknown format")
	}
	r := &recordReader{rest: data[1:]}
	next := newStore(s.leases.TTL())
	cfg := &pb.Config{}
	r.message(cfg)
	next.setConfig(cfg)
	now := time.Now()
	for n := r.uint(); n > 0 && r.err == nil; n-- {
		before := len(r.rest)
		change := &pb.ConfigChange{}
		r.message(change)
		size := before - len(r.rest)
		next.history = append(next.history, historyItem{change: change, size: size, at: now})
		next.historyBytes += size
	}
	next.restoreOutcomes(r)
	records, lastToken := restoreLeases(r)
	for n := r.uint(); n > 0 && r.err == nil; n-- {
		id := r.uint()
		h := &pb.Hello{}
		r.message(h)
		next.addresses[id] = h
	}
	next.leader = leaderRecord{term: r.uint(), id: r.uint()}
	for n := r.uint(); n > 0 && r.err == nil; n-- {
		id := r.uint()
		h := &pb.Hello{}
		r.message(h)
		next.joined[id] = h.Vm
	}
	if r.err != nil {
		return r.err
	}
	s.adopt(next, records, lastToken)
	return nil
}

func (s *store) restoreOutcomes(r *recordReader) {
	for n := r.uint(); n > 0 && r.err == nil; n-- {
		id := string(r.bytes(r.uint()))
		o := &outcome{result: &pb.ChangeOutcome{}}
		copy(o.digest[:], r.bytes(uint64(len(o.digest))))
		o.base = r.uint()
		r.message(o.result)
		s.record(id, o)
	}
}

func restoreLeases(r *recordReader) (records []lease.Record, lastToken uint64) {
	lastToken = r.uint()
	for n := r.uint(); n > 0 && r.err == nil; n-- {
		l := &pb.PoolLease{}
		r.message(l)
		records = append(records, lease.Record{Name: l.Name, Holder: l.Holder, Address: l.Address, Token: l.FencingToken})
	}
	return records, lastToken
}

func (s *store) adopt(next *store, records []lease.Record, lastToken uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config, s.size = next.config, next.size
	s.history, s.historyBytes = next.history, next.historyBytes
	s.outcomes, s.outcomeOrder = next.outcomes, next.outcomeOrder
	s.addresses, s.leader = next.addresses, next.leader
	s.joined = next.joined
	for id, address := range s.joined {
		s.onMember(id, address)
	}
	s.leases.Restore(records, lastToken)
	s.leaseGen++
	s.notify()
}

func leaseMessage(rec lease.Record) *pb.PoolLease {
	return &pb.PoolLease{Name: rec.Name, Holder: rec.Holder, Address: rec.Address, FencingToken: rec.Token}
}
