package forward

import (
	"time"

	"github.com/phuslu/log"
)

// logCutOff logs an answer that is cut off: the upstream that worked on it, the one whose run
// was given up before, and what was planned then.
func (x *exchange) logCutOff() {
	l := x.s.opts.Logger.Warn().Str("event", "answer.cut_off").Str("id", x.info.ID).Str("reason", x.reason).
		Str("at_work", idOf(x.working)).Str("given_up", idOf(x.givenUp)).Int64("given_up_ms", millisSince(x.givenUpAt))
	x.addPlanned(l).Msg("")
}

// endRun records that the run at an upstream has ended. givenUp is set if the entry has ended
// it although the upstream may still work on it, which is logged.
func (x *exchange) endRun(t *target, givenUp bool) {
	if x.working != t {
		return
	}
	x.working = nil
	if !givenUp {
		return
	}
	x.givenUp, x.givenUpAt = t, time.Now()
	l := x.s.opts.Logger.Info().Str("event", "run.given_up").Str("id", x.info.ID).Str("upstream", t.id).Str("reason", x.reason).
		Int64("silent_ms", millisSince(x.heardAt))
	x.addPlanned(l).Msg("")
}

// logKept logs that a silent run was not moved. refused is why.
func (x *exchange) logKept(t *target, reason, refused string) {
	l := x.s.opts.Logger.Info().Str("event", "run.kept").Str("id", x.info.ID).Str("upstream", t.id).Str("reason", reason).
		Str("refused", refused).Int64("silent_ms", millisSince(x.heardAt))
	x.addPlanned(l).Msg("")
}

// addPlanned adds the time since the start of a stop and since the last change of the
// configuration, -1 if there was none.
func (x *exchange) addPlanned(l *log.Entry) *log.Entry {
	return l.Int64("stop_ms", x.s.millisSince(x.s.drainAt.Load())).Int64("config_ms", x.s.millisSince(x.s.configAt.Load()))
}

// millisSince returns the time since one that is stated since the start of the server, -1
// for 0.
func (s *Server) millisSince(at int64) int64 {
	if at == 0 {
		return -1
	}
	return (s.now() - time.Duration(at)).Milliseconds()
}

func millisSince(at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return time.Since(at).Milliseconds()
}

func idOf(t *target) string {
	if t == nil {
		return ""
	}
	return t.id
}
