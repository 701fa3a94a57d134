package control

import (
	"context"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/api/godwitward/v1/godwitwardv1connect"
	"godwitward.example/godwitward/internal/control/client"
)

const (
	historyDuration     = 8 * time.Second
	historyCheckTimeout = 30 * time.Second
	// neverReturned is the return time of an operation without a response, which
	// may take effect at any later time.
	neverReturned = int64(1) << 62
)

// history records the operations of concurrent clients.
type history struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
}

func newHistory() *history { return &history{start: time.Now()} }

func (h *history) now() int64 { return time.Since(h.start).Nanoseconds() }

func (h *history) add(id int, call, ret int64, in, out any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: id, Input: in, Output: out, Call: call, Return: ret})
}

func (h *history) check(t *testing.T, m porcupine.Model) {
	t.Helper()
	result := porcupine.CheckOperationsTimeout(m, h.ops, historyCheckTimeout)
	require.Equal(t, porcupine.Ok, result, "%d operations", len(h.ops))
}

// runWithFaults runs workers for historyDuration while faults are injected.
func runWithFaults(st *testStore, workers int, work func(worker int, ctx context.Context)) {
	ctx, cancel := context.WithTimeout(context.Background(), historyDuration)
	defer cancel()
	stop := make(chan struct{})
	faults := make(chan struct{})
	go func() {
		defer close(faults)
		st.injectFaults(stop)
	}()
	var wg sync.WaitGroup
	for w := range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ctx.Err() == nil {
				work(w, ctx)
			}
		}()
	}
	wg.Wait()
	close(stop)
	<-faults
}

// configOp is a read when value is empty, else a change with that value and base
// version.
type configOp struct {
	base  uint64
	value string
}

type configState struct {
	version uint64
	value   string
}

// configModel is a register with compare-and-set on its version. A nil output
// means that the outcome is unknown.
func configModel() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Init: func() []any { return []any{configState{}} },
		Step: func(state, input, output any) []any {
			s, in := state.(configState), input.(configOp)
			next := configState{version: s.version + 1, value: in.value}
			out, known := output.(configState)
			switch {
			case in.value == "":
				if s == out {
					return []any{s}
				}
				return nil
			case !known && in.base == s.version:
				return []any{s, next}
			case !known:
				return []any{s}
			case out.value == in.value:
				if in.base == s.version && out.version == next.version {
					return []any{next}
				}
				return nil
			}
			// A conflict returns the current version.
			if in.base != s.version && out.version == s.version {
				return []any{s}
			}
			return nil
		},
	}
	return m.ToModel()
}

// Guards against two accepted changes with the same base version, a change that
// is lost or applied twice when it is retried after a lost response, a stale
// read, a change reported as in force while a daemon serves an older version, and
// a daemon that goes back to an older version.
func TestConfigurationHistory(t *testing.T) {
	st := startTestStore(t, 3, nil)
	var daemons []*client.Client
	for i := range 3 {
		c, _ := startDaemon(t, st.addrs(), fmt.Sprint("entry-", i))
		var last uint64
		c.OnConfig(func(cfg *pb.Config) {
			if cfg.Version <= last && last > 0 {
				t.Errorf("version went from %d to %d", last, cfg.Version)
			}
			last = cfg.Version
		})
		daemons = append(daemons, c)
	}
	h := newHistory()
	var accepted, confirmed atomic.Int64
	runWithFaults(st, 3, func(w int, ctx context.Context) {
		call := h.now()
		cfg := readViaAnyMember(ctx, st)
		if cfg == nil {
			return
		}
		h.add(w, call, h.now(), configOp{}, configState{cfg.Version, pathOf(cfg)})
		op := configOp{base: cfg.Version, value: fmt.Sprintf("/%d-%d", w, h.now())}
		call = h.now()
		resp := changeViaAnyMember(ctx, st, op)
		if resp == nil {
			h.add(w, call, neverReturned, op, nil)
			return
		}
		out := configState{version: resp.Outcome.Version}
		if resp.Outcome.Code == pb.ChangeOutcome_ACCEPTED {
			out.value = op.value
			accepted.Add(1)
		}
		h.add(w, call, h.now(), op, out)
		if !resp.InForce {
			return
		}
		confirmed.Add(1)
		for i, c := range daemons {
			if serving := c.Serving(); serving && c.Config().GetVersion() < resp.Outcome.Version {
				t.Errorf("version %d is reported as in force, but daemon %d serves version %d", resp.Outcome.Version, i, c.Config().GetVersion())
			}
		}
	})
	h.check(t, configModel())
	require.Greater(t, confirmed.Load(), int64(2))
	t.Logf("%d operations, %d changes accepted, %d confirmed", len(h.ops), accepted.Load(), confirmed.Load())
}

func pathOf(cfg *pb.Config) string {
	if len(cfg.Routes) == 0 {
		return ""
	}
	return cfg.Routes[0].Path
}

// anyMember returns a random running member, nil when none is running.
func (s *testStore) anyMember() *member {
	s.mu.Lock()
	defer s.mu.Unlock()
	var running []*member
	for _, m := range s.members {
		if m.srv != nil {
			running = append(running, m)
		}
	}
	if len(running) == 0 {
		return nil
	}
	return running[rand.IntN(len(running))]
}

// retryAnyMember retries a call on random members until it succeeds. It returns
// nil when ctx ends first.
func retryAnyMember[T any](ctx context.Context, st *testStore, call func(context.Context, godwitwardv1connect.OperatorServiceClient) (*connect.Response[T], error)) *T {
	for ctx.Err() == nil {
		if m := st.anyMember(); m != nil {
			attemptCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
			resp, err := call(attemptCtx, st.operatorClient(m))
			cancel()
			if err == nil {
				return resp.Msg
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	return nil
}

func readViaAnyMember(ctx context.Context, st *testStore) *pb.Config {
	return retryAnyMember(ctx, st, func(ctx context.Context, o godwitwardv1connect.OperatorServiceClient) (*connect.Response[pb.GetConfigResponse], error) {
		return o.GetConfig(ctx, connect.NewRequest(&pb.GetConfigRequest{}))
	}).GetConfig()
}

// changeViaAnyMember sends one change and retries it under the same request id.
func changeViaAnyMember(ctx context.Context, st *testStore, op configOp) *pb.ChangeConfigResponse {
	return retryAnyMember(ctx, st, func(ctx context.Context, o godwitwardv1connect.OperatorServiceClient) (*connect.Response[pb.ChangeConfigResponse], error) {
		return o.ChangeConfig(ctx, putRoute(op.value, op.base, op.value))
	})
}

type leaseOp struct {
	holder int
	token  uint64
	isLoss bool
}

// leaseModel is a mutex whose fencing token increases with each acquisition.
func leaseModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return leaseOp{holder: -1} },
		Step: func(state, input, _ any) (bool, any) {
			s, in := state.(leaseOp), input.(leaseOp)
			if in.isLoss {
				return s.holder == in.holder && s.token == in.token, leaseOp{holder: -1, token: s.token}
			}
			return s.holder == -1 && in.token > s.token, in
		},
	}
}

// Guards against two concurrent holders of one pool lease, and against a fencing
// token that decreases or is issued twice, while leaders are killed, isolated and
// restarted.
func TestLeaseHistory(t *testing.T) {
	st := startTestStore(t, 3, nil)
	h := newHistory()
	var holders atomic.Int32
	var acquired atomic.Int64
	clients := make([]*client.Client, 3)
	for i := range clients {
		clients[i], _ = startDaemon(t, st.addrs(), fmt.Sprint("scheduler-", i))
	}
	runWithFaults(st, len(clients), func(w int, ctx context.Context) {
		// Leases held for a short time end by release, others may end by faults.
		holdCtx, cancel := context.WithTimeout(ctx, time.Duration(rand.IntN(1500))*time.Millisecond)
		defer cancel()
		var token uint64
		start := h.now()
		_ = clients[w].HoldLease(holdCtx, "draftwell/dohoku", uint32(w), func(tok uint64) {
			if n := holders.Add(1); n != 1 {
				t.Errorf("%d concurrent holders", n)
			}
			acquired.Add(1)
			token = tok
			h.add(w, start, h.now(), leaseOp{holder: w, token: tok}, nil)
		}, func() {
			call := h.now()
			holders.Add(-1)
			h.add(w, call, h.now(), leaseOp{holder: w, token: token, isLoss: true}, nil)
			start = h.now()
		})
	})
	h.check(t, leaseModel())
	require.Greater(t, acquired.Load(), int64(2))
	t.Logf("%d acquisitions", acquired.Load())
}

// claimOp is a claim, or the report of its outcome when record is "answer" or
// "not run".
type claimOp struct {
	key       string
	requestID string
	record    string
}

type claimState struct {
	owner    string
	recorded bool
}

// claimModel is one key of the ledger. A nil output means that the outcome is
// unknown.
func claimModel() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
			byKey := map[string][]porcupine.Operation{}
			for _, op := range ops {
				k := op.Input.(claimOp).key
				byKey[k] = append(byKey[k], op)
			}
			var out [][]porcupine.Operation
			for _, part := range byKey {
				out = append(out, part)
			}
			return out
		},
		Init: func() []any { return []any{claimState{}} },
		Step: func(state, input, output any) []any {
			s, in := state.(claimState), input.(claimOp)
			next, result := s, pb.ClaimResponse_IN_PROGRESS
			switch {
			case in.record != "" && s.owner == in.requestID && !s.recorded:
				next = claimState{}
				if in.record == "answer" {
					next = claimState{owner: s.owner, recorded: true}
				}
			case in.record != "":
			case s.recorded:
				result = pb.ClaimResponse_RECORDED
			case s.owner == "" || s.owner == in.requestID:
				next.owner, result = in.requestID, pb.ClaimResponse_CLAIMED
			}
			if output == nil {
				return []any{s, next}
			}
			if in.record == "" && output.(pb.ClaimResponse_Result) != result {
				return nil
			}
			return []any{next}
		},
	}
	return m.ToModel()
}

// Guards against a call that runs twice, a recorded outcome that is lost, and a
// key that is reported as in progress although no request owns its claim, while
// leaders are killed, isolated and restarted and claims are retried after lost
// responses.
func TestLedgerHistory(t *testing.T) {
	st := startTestStore(t, 5, nil)
	c, _ := startDaemon(t, st.addrs(), "entry")
	h := newHistory()
	digest := sha256.Sum256(nil)
	var claimed atomic.Int64
	runWithFaults(st, 6, func(w int, ctx context.Context) {
		key := fmt.Sprint("k", time.Since(h.start)/(200*time.Millisecond))
		op := claimOp{key: key, requestID: fmt.Sprintf("%d-%d", w, h.now())}
		call := h.now()
		attemptCtx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
		defer cancel()
		resp, err := c.Claim(attemptCtx, &pb.ClaimRequest{Organisation: "o", Key: key, RequestId: op.requestID, Digest: digest[:], DeadlineMs: 600_000})
		if err != nil {
			h.add(w, call, neverReturned, op, nil)
			return
		}
		h.add(w, call, h.now(), op, resp.Result)
		time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
		if resp.Result != pb.ClaimResponse_CLAIMED {
			return
		}
		claimed.Add(1)
		op.record = []string{"answer", "not run"}[rand.IntN(2)]
		req := &pb.RecordRequest{Organisation: "o", Key: key, RequestId: op.requestID, NotRun: op.record == "not run"}
		if !req.NotRun {
			req.Answer = &pb.RecordedAnswer{Status: 201}
		}
		call = h.now()
		attemptCtx, cancel = context.WithTimeout(ctx, 1500*time.Millisecond)
		defer cancel()
		if c.RecordOutcome(attemptCtx, req) != nil {
			h.add(w, call, neverReturned, op, nil)
			return
		}
		h.add(w, call, h.now(), op, op.record)
	})
	h.check(t, claimModel())
	require.Greater(t, claimed.Load(), int64(10))
	t.Logf("%d operations, %d claimed", len(h.ops), claimed.Load())
}
