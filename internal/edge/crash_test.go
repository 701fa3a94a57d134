package edge

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/platform/standin"
)

// crashTest is a system with engines. Engines crash under prompts with the part "dead" and are back after engineRestart.
type crashTest struct {
	*testSystem

	// late holds the ids of the prompts that must not reach an engine any more, and
	// lateStarts counts those that did.
	late       sync.Map
	lateStarts atomic.Int64

	mu      sync.Mutex
	crashes []time.Time
}

const (
	engineRestart = 500 * time.Millisecond
	// contactTime is the time after the fifth crash from which at most
	// lateArrivals more prompts with the part may reach engines.
	contactTime  = 3 * time.Second
	lateArrivals = 3
)

func newCrashTest(t *testing.T, hubs, entries, engines int) *crashTest {
	c := &crashTest{testSystem: newTestSystem(t, hubs, entries)}
	for i := range engines {
		c.startEngine(i, 0)
	}
	time.Sleep(200 * time.Millisecond)
	return c
}

// startEngine starts the nth engine, again with another id after each crash.
func (c *crashTest) startEngine(n, start int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(c.t, err)
	r := &standin.Runner{ID: fmt.Sprint("i-", n, "-", start), Service: "llm", Stage: standin.StageDecode, ServiceTime: 5 * time.Millisecond, Events: 3, CrashPart: "dead"}
	r.OnArrival = func(standin.Run) {}
	r.OnStart = func(run standin.Run) {
		if _, late := c.late.Load(run.ID); late {
			c.lateStarts.Add(1)
		}
	}
	r.OnCrash = func() {
		c.mu.Lock()
		c.crashes = append(c.crashes, time.Now())
		c.mu.Unlock()
		time.AfterFunc(engineRestart, func() {
			c.hubs[n%len(c.hubs)].Leave(r.ID, r.StartMs)
			c.startEngine(n, start+1)
		})
	}
	r.Start(l)
	c.t.Cleanup(r.Stop)
	c.hubs[n%len(c.hubs)].Report(&pb.UpstreamRecord{Id: r.ID, Service: "llm", Address: l.Addr().String(), Phase: pb.UpstreamPhase_UPSTREAM_READY, Stage: pb.EngineStage_ENGINE_STAGE_DECODE, BornMs: r.StartMs, Sequence: 1, Slots: 8})
}

// send sends a draft to a random entry and returns its status, 0 if the answer broke
// off.
func (c *crashTest) send(id, parts string) int {
	req, err := standin.NewRequest(context.Background(), c.entries[rand.N(len(c.entries))].Listener.Addr().String(), "/draft/x", id, 3*time.Second)
	require.NoError(c.t, err)
	standin.SetPromptParts(req, parts)
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

func (c *crashTest) fifthCrash() (time.Time, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashes) < 5 {
		return time.Time{}, len(c.crashes)
	}
	return c.crashes[4], len(c.crashes)
}

// Guards against prompts with one part in common that crash one engine after the other,
// sent through any entry, and against refusing sound prompts that share another part
// with them.
func TestPromptsThatCrashEnginesAreQuarantined(t *testing.T) {
	c := newCrashTest(t, 3, 6, 12)
	var wg sync.WaitGroup
	var sound, soundServed atomic.Int64
	for i := range 80 {
		time.Sleep(100 * time.Millisecond)
		fifth, n := c.fifthCrash()
		settled := n >= 5 && time.Since(fifth) > contactTime || i >= 50
		crashing := fmt.Sprint("d-", i)
		if settled {
			c.late.Store(crashing, true)
		}
		wg.Go(func() { c.send(crashing, fmt.Sprintf("shared:200,dead:100,own%d:700", i)) })
		wg.Go(func() {
			status := c.send(fmt.Sprint("s-", i), fmt.Sprintf("shared:200,fine%d:100,good%d:700", i%3, i))
			if settled {
				sound.Add(1)
				if status == http.StatusOK {
					soundServed.Add(1)
				}
			}
		})
	}
	wg.Wait()
	_, n := c.fifthCrash()
	t.Logf("%d engines crashed; late prompts reached an engine %d times; %d of %d sound ones were served", n, c.lateStarts.Load(), soundServed.Load(), sound.Load())
	require.LessOrEqual(t, c.lateStarts.Load(), int64(lateArrivals))
	require.GreaterOrEqual(t, soundServed.Load()*2, sound.Load())
}
