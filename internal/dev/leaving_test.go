package dev

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitward.example/godwitward/internal/standin"
)

// leaveNoticeTime is the time after which a leaving upstream gets no new requests.
const leaveNoticeTime = 3 * time.Second

func engineStats(t *testing.T, u standin.Instance) (stats standin.EngineStats) {
	t.Helper()
	resp, err := http.Get(u.URL() + "/stats")
	require.NoError(t, err)
	defer resp.Body.Close()
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&stats))
	return stats
}

// Guards against new requests being placed on an engine that has announced its
// leave, and against its running requests being cut off.
func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	s := startSystem(t, Config{Upstreams: DefaultUpstreams(1, 2, 1)})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	completeAndCheck := func(prompt string, tokens int) error {
		text, err := complete(ctx, s, "/draft", completion{Prompt: prompt, MaxTokens: tokens})
		if err == nil && text != standin.ExpectedText(prompt, tokens) {
			return fmt.Errorf("the response to %q is incomplete or wrong", prompt)
		}
		return err
	}
	running := make(chan error, 8)
	for i := range cap(running) {
		go func() { running <- completeAndCheck(fmt.Sprintf("running %d", i), 300) }()
	}
	leaving := s.Upstreams[1]
	require.Eventually(t, func() bool { return enginePieces(leaving) > 0 }, 5*time.Second, 10*time.Millisecond)
	status, _, err := post(ctx, leaving.URL()+"/fault", standin.Fault{Kind: standin.FaultLeave}, nil)
	require.NoError(t, err)
	require.Less(t, status, 300)
	time.Sleep(leaveNoticeTime)
	before := engineStats(t, leaving)
	for i := range 10 {
		require.NoError(t, completeAndCheck(fmt.Sprintf("new %d", i), 5))
	}
	after := engineStats(t, leaving)
	require.Equal(t, before.Imports, after.Imports)
	for range cap(running) {
		require.NoError(t, <-running)
	}
}
