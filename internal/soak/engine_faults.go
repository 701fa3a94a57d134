package soak

import (
	"context"
	"slices"

	"godwitward.example/godwitward/platform/standin"
)

// The kinds of faults of engines that go on with the streams that they run. They are injected
// only when they are named.
const (
	// preemptStreams makes all engines preempt streams.
	preemptStreams faultKind = "preempt"
	// changeRole gives an engine the other role for a while.
	changeRole faultKind = "change-role"
)

// roleSwitchShare is the part of a fault's duration that a change of roles takes, each way.
const roleSwitchShare = 8

func (s *system) injectEngineFault(ctx context.Context, f fault) {
	s.mu.Lock()
	engines := slices.DeleteFunc(slices.Clone(s.runners), func(r *proxiedRunner) bool { return r.Stage == standin.StagePlain })
	s.mu.Unlock()
	if f.kind == preemptStreams {
		for _, r := range engines {
			r.SetPreempts(true)
		}
		sleep(ctx, f.duration)
		for _, r := range engines {
			r.SetPreempts(false)
		}
		return
	}
	engine := engines[f.target%len(engines)]
	other := standin.StagePrefill
	if engine.Stage == standin.StagePrefill {
		other = standin.StageDecode
	}
	for _, stage := range []string{other, engine.Stage} {
		engine.SetStage(standin.StageChanging)
		sleep(ctx, f.duration/roleSwitchShare)
		engine.SetStage(stage)
		sleep(ctx, f.duration)
	}
}

// SetPreempts makes the runner preempt some of its streams.
func (r *proxiedRunner) SetPreempts(on bool) {
	r.Runner.SetPreempts(on)
	if r.process != nil {
		r.process.command("%s %t", standin.CommandPreempt, on)
	}
}

// SetStage changes the stage of the runner.
func (r *proxiedRunner) SetStage(stage string) {
	r.Runner.SetStage(stage)
	if r.process != nil {
		r.process.command("%s %s", standin.CommandStage, stage)
	}
}
