package control

import (
	"crypto/sha256"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/control/changeset"
	"godwitward.example/godwitward/lease"
)

const (
	// maxHistory and maxHistoryBytes bound the changes that are kept: about a
	// day of changes, and a few large routes.
	maxHistory      = 4096
	maxHistoryBytes = 8 << 20
	// maxOutcomes is the number of request ids that are remembered for
	// resends. A later resend conflicts on its base version, so it is never
	// executed twice.
	maxOutcomes = 10000
)

// store is the state machine of group 0.
type store struct {
	mu     sync.Mutex
	config *pb.Config
	size   int
	// history holds the changes that led to the most recent versions; the
	// last one led to config.Version.
	history      []historyItem
	historyBytes int
	outcomes     map[string]*outcome
	// outcomeOrder lists the request ids from oldest to newest.
	outcomeOrder []string
	leases       *lease.Grantor
	addresses    map[uint64]*pb.Hello
	leader       leaderRecord
	// joined holds the internal addresses of members that were added.
	joined map[uint64]string
	// onMember is told each of them; it must not block.
	onMember func(id uint64, address string)

	// leaseGen counts changes of lease records.
	leaseGen uint64
	// changed is closed and replaced after each change.
	changed chan struct{}
}

// leaderRecord names the latest leader that began to serve.
type leaderRecord struct {
	term uint64
	id   uint64
}

type historyItem struct {
	change *pb.ConfigChange
	size   int
	// at is the local time of the application.
	at time.Time
}

// outcome is the recorded result of one request id.
type outcome struct {
	digest [sha256.Size]byte
	base   uint64
	result *pb.ChangeOutcome
}

// changeResult is what applying a change returns.
type changeResult struct {
	outcome *pb.ChangeOutcome
	// reused: the request id belongs to a different change.
	reused bool
}

// leaseResult is what applying a lease command returns.
type leaseResult struct {
	record lease.Record
	ok     bool
}

func newStore(leaseTTL time.Duration) *store {
	return &store{
		config:    &pb.Config{},
		outcomes:  map[string]*outcome{},
		leases:    lease.NewGrantor(leaseTTL),
		addresses: map[uint64]*pb.Hello{},
		changed:   make(chan struct{}),
		joined:    map[uint64]string{},
		onMember:  func(uint64, string) {},
	}
}

// Apply implements StateMachine.
func (s *store) Apply(_ uint64, data []byte) any {
	if len(data) == 0 {
		return errors.New("empty command")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch body := data[1:]; commandKind(data[0]) {
	case commandChange:
		return s.applyChange(body)
	case commandAcquire:
		return s.applyAcquire(body)
	case commandRelease:
		return s.applyRelease(body)
	case commandLeader:
		return s.applyLeader(body)
	case commandMember:
		return s.applyMember(body)
	}
	return errors.Errorf("unknown command kind %d", data[0])
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) applyChange(body []byte) any {
	change := &pb.ConfigChange{}
	if err := proto.Unmarshal(body, change); err != nil {
		return errors.Wrap(err, "decoding change")
	}
	if first, reused := s.lookup(change); first != nil || reused {
		return changeResult{outcome: first, reused: reused}
	}
	if change.BaseVersion != s.config.Version {
		return s.remember(change, &pb.ChangeOutcome{Code: pb.ChangeOutcome_VERSION_CONFLICT, Version: s.config.Version})
	}
	res := changeset.Apply(s.config, change)
	if res.Code != pb.ChangeOutcome_ACCEPTED {
		return s.remember(change, &pb.ChangeOutcome{Code: res.Code, Version: s.config.Version, Findings: res.Findings})
	}
	s.setConfig(res.Config)
	s.appendHistory(change, len(body))
	s.notify()
	return s.remember(change, &pb.ChangeOutcome{Code: pb.ChangeOutcome_ACCEPTED, Version: s.config.Version})
}

func (s *store) setConfig(cfg *pb.Config) {
	s.config = cfg
	s.size = proto.Size(cfg)
}

func (s *store) appendHistory(change *pb.ConfigChange, size int) {
	s.history = append(s.history, historyItem{change: change, size: size, at: time.Now()})
	s.historyBytes += size
	for len(s.history) > maxHistory || (s.historyBytes > maxHistoryBytes && len(s.history) > 1) {
		s.historyBytes -= s.history[0].size
		s.history[0] = historyItem{}
		s.history = s.history[1:]
	}
}

// lookup returns the outcome recorded under the change's request id. reused
// reports that the id belongs to a change with other content.
func (s *store) lookup(change *pb.ConfigChange) (first *pb.ChangeOutcome, reused bool) {
	o, ok := s.outcomes[change.RequestId]
	if !ok {
		return nil, false
	}
	if o.digest != changeDigest(change) {
		return nil, true
	}
	return s.withMissed(o.base, o.result), false
}

// withMissed adds the changes between base and the version of a conflict.
func (s *store) withMissed(base uint64, o *pb.ChangeOutcome) *pb.ChangeOutcome {
	if o.Code != pb.ChangeOutcome_VERSION_CONFLICT {
		return o
	}
	o = proto.Clone(o).(*pb.ChangeOutcome)
	for i, item := range s.history {
		version := s.firstVersion() + uint64(i)
		if version > base && version <= o.Version {
			o.Missed = append(o.Missed, item.change)
		}
	}
	return o
}

func (s *store) remember(change *pb.ConfigChange, result *pb.ChangeOutcome) changeResult {
	if change.RequestId != "" {
		s.record(change.RequestId, &outcome{digest: changeDigest(change), base: change.BaseVersion, result: result})
	}
	return changeResult{outcome: s.withMissed(change.BaseVersion, result)}
}

func (s *store) record(id string, o *outcome) {
	s.outcomes[id] = o
	s.outcomeOrder = append(s.outcomeOrder, id)
	if len(s.outcomeOrder) > maxOutcomes {
		delete(s.outcomes, s.outcomeOrder[0])
		s.outcomeOrder = s.outcomeOrder[1:]
	}
}

// changeDigest covers what the operator wants, without the fields that the
// server sets. The base version is left out: whoever repeats a command after a
// lost answer may have read a newer version in between.
func changeDigest(change *pb.ConfigChange) [sha256.Size]byte {
	c := proto.Clone(change).(*pb.ConfigChange)
	c.Operator = ""
	c.TimeMs = 0
	c.BaseVersion = 0
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(c)
	if err != nil {
		// Marshalling a message that was decoded before fails only on invalid
		// UTF-8, which decoding has already refused.
		return [sha256.Size]byte{}
	}
	return sha256.Sum256(raw)
}

// firstVersion returns the version of the oldest change in the history.
func (s *store) firstVersion() uint64 {
	return s.config.Version - uint64(len(s.history)) + 1
}

// applyAcquire rejects a decision of an earlier term: the deadlines on which it
// was based do not contain what a later leader renewed.
func (s *store) applyAcquire(body []byte) any {
	l := &pb.PoolLease{}
	term, err := decodeNumbered(body, l)
	if err != nil {
		return err
	}
	if term != s.leader.term {
		rec, _ := s.leases.Get(l.Name)
		return leaseResult{record: rec}
	}
	return s.applyLease(lease.Command{
		Op: lease.OpAcquire, Name: l.Name, Holder: l.Holder, Address: l.Address, Replaces: l.FencingToken,
	})
}

func (s *store) applyRelease(body []byte) any {
	r := &pb.ReleaseLeaseRequest{}
	if err := proto.Unmarshal(body, r); err != nil {
		return errors.Wrap(err, "decoding release")
	}
	return s.applyLease(lease.Command{Op: lease.OpRelease, Name: r.Name, Holder: r.Holder, Replaces: r.FencingToken})
}

func (s *store) applyLease(c lease.Command) leaseResult {
	rec, ok := s.leases.Apply(c)
	if ok {
		s.leaseGen++
		s.notify()
	}
	return leaseResult{record: rec, ok: ok}
}

func (s *store) applyLeader(body []byte) any {
	h := &pb.Hello{}
	term, err := decodeNumbered(body, h)
	if err != nil {
		return err
	}
	id, err := strconv.ParseUint(h.DaemonId, 10, 64)
	if err != nil {
		return errors.Wrap(err, "decoding member id")
	}
	s.addresses[id] = h
	if term > s.leader.term {
		s.leader = leaderRecord{term: term, id: id}
	}
	return s.leader
}

func (s *store) applyMember(body []byte) any {
	h := &pb.Hello{}
	if err := proto.Unmarshal(body, h); err != nil {
		return errors.Wrap(err, "decoding member")
	}
	id, err := strconv.ParseUint(h.DaemonId, 10, 64)
	if err != nil {
		return errors.Wrap(err, "decoding member id")
	}
	s.joined[id] = h.Vm
	s.onMember(id, h.Vm)
	return nil
}

// address returns the advertised addresses of a member, empty when unknown.
func (s *store) address(id uint64) *pb.Hello {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h, ok := s.addresses[id]; ok {
		return h
	}
	return &pb.Hello{}
}

// current returns the configuration, which must not be modified, and a channel
// that is closed at the next change.
func (s *store) current() (*pb.Config, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config, s.changed
}

func (s *store) version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config.Version
}

// committedAt returns the local time at which the given version was applied;
// ok is false when it is no longer in the history.
func (s *store) committedAt(version uint64) (at time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.history) == 0 || version < s.firstVersion() || version > s.config.Version {
		return time.Time{}, false
	}
	return s.history[version-s.firstVersion()].at, true
}

// newest lists changes, newest first.
func (s *store) newest(limit int, route string) []*pb.HistoryEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*pb.HistoryEntry
	for i := len(s.history) - 1; i >= 0 && len(out) < limit; i-- {
		change := s.history[i].change
		if route != "" && changedRoute(change) != route {
			continue
		}
		out = append(out, &pb.HistoryEntry{Version: s.firstVersion() + uint64(i), Change: change})
	}
	return out
}

func changedRoute(c *pb.ConfigChange) string {
	if r := c.GetPutRoute(); r != nil {
		return r.Name
	}
	if r := c.GetCutover(); r != nil {
		return r.Route
	}
	return c.GetDeleteRoute()
}
