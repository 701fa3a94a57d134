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
	// maxHistory and maxHistoryBytes bound the history: maxHistory allows about
	// a day of changes, maxHistoryBytes a few changes of large routes.
	maxHistory      = 4096
	maxHistoryBytes = 8 << 20
	// maxOutcomes bounds the recorded outcomes by request id. A retry whose
	// outcome was evicted conflicts on its base version, so it is never
	// executed twice.
	maxOutcomes = 10000
)

// store is the state machine of group 0: configuration and pool leases.
type store struct {
	mu          sync.Mutex
	config      *pb.Config
	configBytes int
	// history holds the most recent changes in order; the last one produced
	// config.Version.
	history      []historyItem
	historyBytes int
	outcomes     map[string]*outcome
	// outcomeOrder lists the request ids from oldest to newest.
	outcomeOrder    []string
	leases          *lease.Grantor
	leaderAddresses map[uint64]*pb.Hello
	leader          leaderRecord
	// addedMembers maps members added after the bootstrap to their internal
	// addresses.
	addedMembers map[uint64]string
	// onMemberAdded is called for each entry of addedMembers; it must not block.
	onMemberAdded func(id uint64, address string)

	// leaseGen counts changes of lease records.
	leaseGen uint64
	// changed is closed and replaced after each change.
	changed chan struct{}
}

// leaderRecord identifies the latest leader that began to serve.
type leaderRecord struct {
	term uint64
	id   uint64
}

type historyItem struct {
	change *pb.ConfigChange
	bytes  int
	// appliedAt is the local time at which this member applied the change.
	appliedAt time.Time
}

// outcome is the recorded result of one request id.
type outcome struct {
	digest      [sha256.Size]byte
	baseVersion uint64
	result      *pb.ChangeOutcome
}

// changeResult is what applying a change returns.
type changeResult struct {
	outcome *pb.ChangeOutcome
	// idReused reports that the request id was used for a different change.
	idReused bool
}

// leaseResult is what applying a lease command returns.
type leaseResult struct {
	record lease.Record
	ok     bool
}

func newStore(leaseTTL time.Duration) *store {
	return &store{
		config:          &pb.Config{},
		outcomes:        map[string]*outcome{},
		leases:          lease.NewGrantor(leaseTTL),
		leaderAddresses: map[uint64]*pb.Hello{},
		changed:         make(chan struct{}),
		addedMembers:    map[uint64]string{},
		onMemberAdded:   func(uint64, string) {},
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
	case commandConfigChange:
		return s.applyChange(body)
	case commandAcquireLease:
		return s.applyAcquireLease(body)
	case commandReleaseLease:
		return s.applyReleaseLease(body)
	case commandLeaderAddresses:
		return s.applyLeaderAddresses(body)
	case commandMemberAddress:
		return s.applyMemberAddress(body)
	}
	return errors.Errorf("unknown command kind %d", data[0])
}

func (s *store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) applyChange(body []byte) any {
	change := &pb.ConfigChange{}
	if err := proto.Unmarshal(body, change); err != nil {
		return errors.Wrap(err, "decoding change")
	}
	if recorded, idReused := s.lookupOutcome(change); recorded != nil || idReused {
		return changeResult{outcome: recorded, idReused: idReused}
	}
	if change.BaseVersion != s.config.Version {
		return s.recordOutcome(change, &pb.ChangeOutcome{Code: pb.ChangeOutcome_VERSION_CONFLICT, Version: s.config.Version})
	}
	res := changeset.Apply(s.config, change)
	if res.Code != pb.ChangeOutcome_ACCEPTED {
		return s.recordOutcome(change, &pb.ChangeOutcome{Code: res.Code, Version: s.config.Version, Findings: res.Findings})
	}
	s.setConfig(res.Config)
	s.appendHistory(change, len(body))
	s.notifyWatchers()
	return s.recordOutcome(change, &pb.ChangeOutcome{Code: pb.ChangeOutcome_ACCEPTED, Version: s.config.Version})
}

func (s *store) setConfig(cfg *pb.Config) {
	s.config = cfg
	s.configBytes = proto.Size(cfg)
}

func (s *store) appendHistory(change *pb.ConfigChange, bytes int) {
	s.history = append(s.history, historyItem{change: change, bytes: bytes, appliedAt: time.Now()})
	s.historyBytes += bytes
	for len(s.history) > maxHistory || (s.historyBytes > maxHistoryBytes && len(s.history) > 1) {
		s.historyBytes -= s.history[0].bytes
		s.history[0] = historyItem{}
		s.history = s.history[1:]
	}
}

// lookupOutcome returns the outcome recorded under the change's request id.
// idReused reports that the id was used for a change with other content.
func (s *store) lookupOutcome(change *pb.ConfigChange) (recorded *pb.ChangeOutcome, idReused bool) {
	o, ok := s.outcomes[change.RequestId]
	if !ok {
		return nil, false
	}
	if o.digest != changeDigest(change) {
		return nil, true
	}
	return s.withMissedChanges(o.baseVersion, o.result), false
}

// withMissedChanges adds to a conflict the changes after baseVersion up to the
// conflicting version that the history still has. Other outcomes are returned as
// they are.
func (s *store) withMissedChanges(baseVersion uint64, o *pb.ChangeOutcome) *pb.ChangeOutcome {
	if o.Code != pb.ChangeOutcome_VERSION_CONFLICT {
		return o
	}
	o = proto.Clone(o).(*pb.ChangeOutcome)
	for i, item := range s.history {
		version := s.firstVersion() + uint64(i)
		if version > baseVersion && version <= o.Version {
			o.Missed = append(o.Missed, item.change)
		}
	}
	return o
}

func (s *store) recordOutcome(change *pb.ConfigChange, result *pb.ChangeOutcome) changeResult {
	if change.RequestId != "" {
		s.storeOutcome(change.RequestId, &outcome{digest: changeDigest(change), baseVersion: change.BaseVersion, result: result})
	}
	return changeResult{outcome: s.withMissedChanges(change.BaseVersion, result)}
}

func (s *store) storeOutcome(id string, o *outcome) {
	s.outcomes[id] = o
	s.outcomeOrder = append(s.outcomeOrder, id)
	if len(s.outcomeOrder) > maxOutcomes {
		delete(s.outcomes, s.outcomeOrder[0])
		s.outcomeOrder = s.outcomeOrder[1:]
	}
}

// changeDigest hashes the requested change without the fields that the server
// sets. The base version is left out, because an operator that retries after a
// lost response may have read a newer version in between.
func changeDigest(change *pb.ConfigChange) [sha256.Size]byte {
	c := proto.Clone(change).(*pb.ConfigChange)
	c.Operator = ""
	c.TimeMs = 0
	c.BaseVersion = 0
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(c)
	if err != nil {
		// A message that was decoded before fails to marshal only on invalid
		// UTF-8, which decoding has already rejected.
		return [sha256.Size]byte{}
	}
	return sha256.Sum256(raw)
}

// firstVersion returns the version of the oldest change in the history.
func (s *store) firstVersion() uint64 {
	return s.config.Version - uint64(len(s.history)) + 1
}

// applyAcquireLease rejects a decision made in an earlier term: it was based on
// deadlines that lack the renewals granted by later leaders.
func (s *store) applyAcquireLease(body []byte) any {
	l := &pb.PoolLease{}
	term, err := decodeWithPrefix(body, l)
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

func (s *store) applyReleaseLease(body []byte) any {
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
		s.notifyWatchers()
	}
	return leaseResult{record: rec, ok: ok}
}

func (s *store) applyLeaderAddresses(body []byte) any {
	h := &pb.Hello{}
	term, err := decodeWithPrefix(body, h)
	if err != nil {
		return err
	}
	id, err := strconv.ParseUint(h.DaemonId, 10, 64)
	if err != nil {
		return errors.Wrap(err, "decoding member id")
	}
	s.leaderAddresses[id] = h
	if term > s.leader.term {
		s.leader = leaderRecord{term: term, id: id}
	}
	return s.leader
}

func (s *store) applyMemberAddress(body []byte) any {
	h := &pb.Hello{}
	if err := proto.Unmarshal(body, h); err != nil {
		return errors.Wrap(err, "decoding member")
	}
	id, err := strconv.ParseUint(h.DaemonId, 10, 64)
	if err != nil {
		return errors.Wrap(err, "decoding member id")
	}
	s.addedMembers[id] = h.Vm
	s.onMemberAdded(id, h.Vm)
	return nil
}

// leaderAddress returns the internal and operator addresses that a member
// advertised when it became leader, empty when unknown.
func (s *store) leaderAddress(id uint64) *pb.Hello {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h, ok := s.leaderAddresses[id]; ok {
		return h
	}
	return &pb.Hello{}
}

// currentConfig returns the configuration, which must not be modified, and a
// channel that is closed on the next change.
func (s *store) currentConfig() (*pb.Config, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config, s.changed
}

func (s *store) version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config.Version
}

// appliedAt returns the local time at which the given version was applied;
// ok is false when it is no longer in the history.
func (s *store) appliedAt(version uint64) (appliedAt time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.history) == 0 || version < s.firstVersion() || version > s.config.Version {
		return time.Time{}, false
	}
	return s.history[version-s.firstVersion()].appliedAt, true
}

// recentChanges lists up to limit changes, newest first; a non-empty route
// selects the changes of that route.
func (s *store) recentChanges(limit int, route string) []*pb.HistoryEntry {
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
