package soak

import (
	"context"
	"slices"
	"time"

	"godwitward.example/godwitward/platform/standin"
)

// silenceTime is added to the duration of faults that make runners keep others waiting.
const silenceTime = 2 * time.Second

// rareChanges is the factor of changeInterval with these kinds: answers that are cut off beside a
// change are compared with those at other times.
const rareChanges = 3

// silenceKinds are faults in which runners keep others waiting and stay sound. They are injected
// only when they are named.
func silenceKinds() []faultKind {
	var kinds []faultKind
	for _, s := range standin.Silences {
		kinds = append(kinds, faultKind(s))
	}
	return kinds
}

// injectSilence makes one engine mute, or half of the engines or plain runners slow.
func (s *system) injectSilence(ctx context.Context, f fault) {
	kind := standin.Silence(f.kind)
	s.mu.Lock()
	runners := slices.DeleteFunc(slices.Clone(s.runners), func(r *proxiedRunner) bool {
		return (r.Stage == standin.StagePlain) != (kind == standin.SlowAnswers)
	})
	s.mu.Unlock()
	var chosen []*proxiedRunner
	for i, r := range runners {
		if kind == standin.MuteEngine && i == f.target%len(runners) || kind != standin.MuteEngine && (i+f.target)%2 == 0 {
			chosen = append(chosen, r)
			r.SetSilence(kind, true)
		}
	}
	sleep(ctx, f.duration+silenceTime)
	for _, r := range chosen {
		r.SetSilence(kind, false)
	}
}

// SetSilence sets or ends a silence of the runner.
func (r *proxiedRunner) SetSilence(kind standin.Silence, on bool) {
	r.Runner.SetSilence(kind, on)
	if r.process != nil {
		r.process.command("%s %s %t", standin.CommandSilence, kind, on)
	}
}
