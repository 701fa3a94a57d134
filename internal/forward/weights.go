package forward

import (
	"maps"
	"slices"
	"strings"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/fleet"
	"godwitward.example/godwitward/policy"
	"google.golang.org/protobuf/proto"
)

// statedWeights is the version of a model's weights that a response stated.
type statedWeights struct {
	version string
	at      time.Duration
}

// statedWeightsTTL is the time for which a response counts more than the reports that arrive
// after it. They may have been made before it.
const statedWeightsTTL = 3 * time.Second

// setRecord replaces the record of the process. The caller holds mu.
func (t *target) setRecord(r *pb.UpstreamRecord, now time.Duration) {
	t.noteReportedWeights(t.record, now)
	if r.Stage != t.record.Stage {
		t.health.RoleChanged()
	}
	t.record, t.recordAt = r, time.Now()
	for model, stated := range t.statedWeights {
		if now-stated.at < statedWeightsTTL {
			t.applyWeights(model, stated.version)
		}
	}
}

// observeWeights applies the version of the weights that the process states in a response.
func (t *target) observeWeights(model, version string, now time.Duration) {
	if version == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noteWeights(model, version, now)
	if t.applyWeights(model, version) || t.statedWeights[model].version == version {
		if t.statedWeights == nil {
			t.statedWeights = map[string]statedWeights{}
		}
		t.statedWeights[model] = statedWeights{version, now}
	}
}

// applyWeights replaces the version of a model's weights in the record, and reports whether
// it was another one. The caller holds mu.
func (t *target) applyWeights(model, version string) bool {
	i := slices.Index(t.record.Models, model)
	if i < 0 || i >= len(t.record.Weights) || t.record.Weights[i] == version {
		return false
	}
	r := proto.CloneOf(t.record)
	r.Weights[i] = version
	t.record = r
	return true
}

// decodeWeights returns the version of the weights that a prefill result for a decode engine
// must have; empty if it is not known.
func (x *exchange) decodeWeights(decode *target) string {
	if x.run != nil && x.run.Weights != "" {
		return x.run.Weights
	}
	decode.mu.Lock()
	defer decode.mu.Unlock()
	return decode.likelyVersions(x.info.Model, x.s.now()).Weights
}

// likelyWeightsTTL is the time for which a process whose reports tell no weights is chosen by
// those that it has last stated. Hubs of builds before protocol.RunVersions pass none on.
const likelyWeightsTTL = 10 * time.Second

// maxLikelyWeights limits the models of a process whose weights are kept beside those that it
// reports: callers name the models, and a process may state its weights whatever they name.
const maxLikelyWeights = 64

// noteWeights stores the version of a model's weights as the last one that was stated. The
// caller holds mu.
func (t *target) noteWeights(model, version string, now time.Duration) {
	if t.likelyWeights == nil {
		t.likelyWeights = map[string]statedWeights{}
	}
	if _, known := t.likelyWeights[model]; !known && len(t.likelyWeights) >= maxLikelyWeights {
		maps.DeleteFunc(t.likelyWeights, func(m string, w statedWeights) bool {
			return now-w.at >= likelyWeightsTTL || !slices.Contains(t.record.GetModels(), m)
		})
	}
	t.likelyWeights[model] = statedWeights{version, now}
}

// noteStatedWeights notes the weights that a process has stated with a rejection or a prefill
// result.
func (t *target) noteStatedWeights(model, version string, now time.Duration) {
	if version == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noteWeights(model, version, now)
}

// noteReportedWeights notes the weights of a record that is being replaced. The caller holds mu.
func (t *target) noteReportedWeights(r *pb.UpstreamRecord, now time.Duration) {
	for i, model := range r.Models {
		if i < len(r.Weights) && r.Weights[i] != "" {
			t.noteWeights(model, r.Weights[i], now)
		}
	}
}

// likelyVersions returns the versions of the process to choose it by: where its report tells
// no weights, those that it has last stated. They may have changed, so nothing is relayed and
// nobody is refused because of them. The caller holds mu.
func (t *target) likelyVersions(model string, now time.Duration) policy.RunVersions {
	v := fleet.RunVersions(t.record, model)
	if stated := t.likelyWeights[model]; v.Weights == "" && now-stated.at < likelyWeightsTTL {
		v.Weights = stated.version
	}
	return v
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
	x.wastePrefill(policy.PrefillFacts{OtherWeights: true})
	x.freeHandle(prompt)
	return nil
}

// reasonOtherWeights is the reason of an attempt that an upstream rejected because of its
// weights.
const reasonOtherWeights = "other_weights"

// hasOtherWeights reports whether an upstream may have rejected a request because of its
// weights, and not because it is another process than the intended one.
func (x *exchange) hasOtherWeights(res *upstreamResponse) bool {
	return res.expectedWeights != "" && res.info.Weights != res.expectedWeights
}

// logRun writes the log line of a run of which the first event has arrived.
func (x *exchange) logRun(res *upstreamResponse, v policy.RunVersions, st *streamState) {
	t := res.target
	t.mu.Lock()
	recordAge := time.Since(t.recordAt)
	t.mu.Unlock()
	x.s.opts.Logger.Info().Str("event", "stream.run").Str("id", x.info.ID).Str("stream", x.info.StreamID).Str("first", x.firstID).Str("after", st.lastEventID).Str("versions_from", x.versionsFrom).
		Str("upstream", t.id).Int64("born_ms", t.bornMs).Int64("process_born_ms", res.conn.process.bornMs).Str("service", v.Service).Str("software", v.Software).Str("model", v.Model).Str("weights", v.Weights).
		Str("stated_weights", res.info.Weights).Int64("record_age_ms", recordAge.Milliseconds()).Str("placed_by", x.placedBy).Int("record", x.recordNumber).Msg("")
}

// runText returns the versions of the stream for the log; empty for requests without any.
func (x *exchange) runText() string {
	if x.run == nil {
		return ""
	}
	return strings.Join([]string{x.run.Service, x.run.Software, x.run.Model, x.run.Weights}, "/")
}
