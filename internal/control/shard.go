package control

import (
	"crypto/sha256"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/ledger"
)

// shard is the state machine of one ledger shard.
type shard struct {
	maxBytes int64

	mu     sync.Mutex
	ledger *ledger.Ledger
}

func newShard(limits ledger.Limits) *shard {
	return &shard{maxBytes: maxLedgerBytes(limits), ledger: ledger.New(limits)}
}

// Apply implements StateMachine. For a claim it returns a *pb.ClaimResponse, for
// an outcome a bool that is true if it was recorded, and for an invalid command
// an error.
func (s *shard) Apply(_ uint64, data []byte) any {
	if len(data) == 0 {
		return errors.New("empty command")
	}
	switch body := data[1:]; commandKind(data[0]) {
	case commandClaim:
		return s.applyClaim(body)
	case commandRecordOutcome:
		return s.applyRecord(body)
	}
	return errors.Errorf("unknown command kind %d", data[0])
}

func (s *shard) applyClaim(body []byte) any {
	req := &pb.ClaimRequest{}
	nowMS, err := decodeWithPrefix(body, req)
	if err != nil {
		return err
	}
	claim := ledger.Claim{
		Organisation: req.Organisation,
		Key:          req.Key,
		RequestID:    req.RequestId,
		Deadline:     time.Duration(req.DeadlineMs) * time.Millisecond,
	}
	if len(req.Digest) != sha256.Size {
		return errors.Errorf("digest has %d bytes, want %d", len(req.Digest), sha256.Size)
	}
	copy(claim.Digest[:], req.Digest)
	s.mu.Lock()
	result, raw := s.ledger.Claim(claim, int64(nowMS))
	s.mu.Unlock()
	return claimResponse(result, raw)
}

func claimResponse(result ledger.Result, raw []byte) any {
	resp := &pb.ClaimResponse{Result: resultCodes[result]}
	if result != ledger.Recorded {
		return resp
	}
	resp.Answer = &pb.RecordedAnswer{}
	if err := proto.Unmarshal(raw, resp.Answer); err != nil {
		return errors.Wrap(err, "decoding recorded answer")
	}
	return resp
}

var resultCodes = map[ledger.Result]pb.ClaimResponse_Result{
	ledger.Claimed:        pb.ClaimResponse_CLAIMED,
	ledger.Recorded:       pb.ClaimResponse_RECORDED,
	ledger.InProgress:     pb.ClaimResponse_IN_PROGRESS,
	ledger.OutcomeUnknown: pb.ClaimResponse_OUTCOME_UNKNOWN,
	ledger.OtherBody:      pb.ClaimResponse_OTHER_BODY,
	ledger.Expired:        pb.ClaimResponse_EXPIRED,
	ledger.Full:           pb.ClaimResponse_FULL,
}

func (s *shard) applyRecord(body []byte) any {
	req := &pb.RecordRequest{}
	nowMS, err := decodeWithPrefix(body, req)
	if err != nil {
		return err
	}
	o := ledger.Outcome{
		Organisation: req.Organisation,
		Key:          req.Key,
		RequestID:    req.RequestId,
		NotRun:       req.NotRun,
		Unknown:      req.Answer == nil && !req.NotRun,
	}
	if req.Answer != nil {
		if o.Answer, o.ShortAnswer, err = encodeAnswer(req.Answer); err != nil {
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Record(o, int64(nowMS))
}

// encodeAnswer encodes an answer in full and with its status only. The ledger
// stores the second form when the first exceeds a limit.
func encodeAnswer(a *pb.RecordedAnswer) (full, statusOnly []byte, err error) {
	opts := proto.MarshalOptions{Deterministic: true}
	if full, err = opts.Marshal(a); err != nil {
		return nil, nil, errors.Wrap(err, "encoding answer")
	}
	statusOnly, err = opts.Marshal(&pb.RecordedAnswer{Status: a.Status, BodyOmitted: true})
	return full, statusOnly, errors.Wrap(err, "encoding answer")
}

// Snapshot implements StateMachine.
func (s *shard) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Snapshot(), nil
}

// Restore implements StateMachine.
func (s *shard) Restore(data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Restore(data)
}
