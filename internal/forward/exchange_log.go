package forward

import (
	"strings"
	"time"
)

// finish settles the charge to the tenant, updates the metrics and logs the request.
func (x *exchange) finish() {
	x.settleUsage()
	x.updateMetrics()
	x.log()
}

// log writes the log line of a finished request.
func (x *exchange) log() {
	l := x.s.opts.Logger.Info()
	if x.status >= 500 || x.outcome != "answered" && x.outcome != "cancelled" {
		l = x.s.opts.Logger.Warn()
	}
	upstream, upstreamVersion, route, service := "", "", "", ""
	if x.lastTarget != nil {
		upstream, upstreamVersion = x.lastTarget.id, x.lastTarget.softwareVersion()
	}
	if x.route != nil {
		route = x.route.Name
	}
	if x.service != nil {
		service = x.service.Name
	}
	var version uint64
	if x.config != nil {
		version = x.config.Version
	}
	l.Str("event", "request.ended").Str("id", x.info.ID)
	if x.tenant != nil {
		l.Str("tenant", x.tenant.Name).Float64("cost", x.tenant.Cost(&x.info))
	}
	l.Str("route", route).Str("service", service).Str("upstream", upstream).Str("upstream_version", upstreamVersion).
		Int("status", x.status).Str("outcome", x.outcome).Str("reason", x.reason).Int("sends", x.sends).
		Int64("first_ms", x.firstEventTime.Milliseconds()).Int64("gap_ms", x.maxGap.Milliseconds()).
		Int("prompt", x.info.PromptTokens).Int("likely", x.info.ExpectedOutputTokens).Str("resumed_after", x.info.LastEventID).Str("stream", x.info.StreamID).Str("first", x.firstID).Str("versions_from", x.versionsFrom).Str("versions", x.runText()).Int64("queued_ms", x.queueTime.Milliseconds()).Str("placed_by", x.placedBy).Str("charged", x.payers.String()).Str("trail", strings.Join(x.trail, ",")).Str("wasted_prefills", strings.Join(x.wasted, ",")).
		Int64("ms", time.Since(x.receivedAt).Milliseconds()).Uint64("config", version).Msg("")
}
