package forward

import (
	"context"
	"errors"
	"strings"
	"syscall"
	"time"
)

// crashCheckTimeout limits the connection that tells a crashed engine from one that
// only closed a connection.
const crashCheckTimeout = 300 * time.Millisecond

// detectCrash checks, in the background, whether the engine of a failed attempt has
// crashed before the request's first event.
func (x *exchange) detectCrash(t *target, st *streamState) {
	if x.service.Engine == nil || len(x.info.PromptParts) == 0 || x.begun(st) || !x.connectionBroke() {
		return
	}
	id, parts := x.info.ID, strings.Join(x.info.PromptParts, ",")
	go func() {
		if !t.refusesConnections() {
			return
		}
		x.s.opts.Logger.Warn().Str("event", "upstream.crashed").Str("upstream", t.id).Str("id", id).Str("parts", parts).Msg("")
	}()
}

// begun reports whether the caller has received an event of the stream, now or before
// it resumed it.
func (x *exchange) begun(st *streamState) bool { return st.events > 0 || x.info.LastEventID != "" }

// connectionBroke reports whether the latest attempt ended with its connection.
func (x *exchange) connectionBroke() bool {
	return x.reason == "connection_lost" || x.reason == "stream_broke"
}

// refusesConnections reports whether no process listens at the target's address.
func (t *target) refusesConnections() bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	c, err := dial(ctx, t.address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	t.putIdle(c)
	return false
}
