package forward

import (
	"slices"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/fleet"
	"godwitward.example/godwitward/policy"
	"google.golang.org/protobuf/proto"
)

// setRecord replaces the record of the process. The caller holds mu.
func (t *target) setRecord(r *pb.UpstreamRecord) { t.record, t.recordAt = r, time.Now() }

// observeWeights applies the version of the weights that the process states in a response,
// which is newer than its report.
func (t *target) observeWeights(model, weights string) {
	if weights == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	i := slices.Index(t.record.Models, model)
	if i < 0 || i >= len(t.record.Weights) || t.record.Weights[i] == weights {
		return
	}
	r := proto.CloneOf(t.record)
	r.Weights[i] = weights
	t.setRecord(r)
}

// decodeWeights returns the version of the weights that a prefill result for a decode engine
// must have; empty if it is not known.
func (x *exchange) decodeWeights(decode *target) string {
	if x.run != nil && x.run.Weights != "" {
		return x.run.Weights
	}
	return fleet.RunVersions(decode.currentRecord(), x.info.Model).Weights
}

// prefillOptions returns the options of a prefill call. What a stream goes on with must be
// of its own weights.
func (x *exchange) prefillOptions(lastEventID string) *SendOptions {
	opts := &SendOptions{Priority: -1, Prefill: true, LastEventID: lastEventID}
	if x.run != nil {
		opts.Weights = x.run.Weights
	}
	return opts
}

// promptFor returns a prefill result if a decode engine may use it. Otherwise it frees the
// result and returns nil. prompt may be nil.
func (x *exchange) promptFor(decode *target, prompt *prefilledPrompt) *prefilledPrompt {
	if prompt == nil || policy.SameWeights(prompt.handle.Weights, x.decodeWeights(decode)) {
		return prompt
	}
	x.reason = "prefill_of_other_weights"
	x.freeHandle(prompt)
	return nil
}

// hasOtherWeights reports whether an upstream rejects a request because of its weights and
// not because it is another process than the intended one.
func (x *exchange) hasOtherWeights(res *upstreamResponse) bool {
	if res.expectedWeights == "" {
		return false
	}
	if res.info.Weights != "" {
		return res.info.Weights != res.expectedWeights
	}
	return fleet.RunVersions(res.target.currentRecord(), x.info.Model).Weights != res.expectedWeights
}

// logRun writes the log line of a run of which the first event has arrived.
func (x *exchange) logRun(res *upstreamResponse, v policy.RunVersions, st *streamState) {
	t := res.target
	t.mu.Lock()
	recordAge := time.Since(t.recordAt)
	t.mu.Unlock()
	x.s.opts.Logger.Info().Str("event", "stream.run").Str("id", x.info.ID).Str("stream", x.info.StreamID).Str("after", st.lastEventID).Str("versions_from", x.versionsFrom).
		Str("upstream", t.id).Int64("born_ms", t.bornMs).Str("service", v.Service).Str("software", v.Software).Str("model", v.Model).Str("weights", v.Weights).
		Str("stated_weights", res.info.Weights).Int64("record_age_ms", recordAge.Milliseconds()).Str("placed_by", x.placedBy).Int("record", x.recordNumber).Msg("")
}
