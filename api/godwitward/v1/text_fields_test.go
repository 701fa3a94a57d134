package godwitwardv1

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// textFields lists every text in messages between daemons by where it enters, and so where
// bytes that are not valid UTF-8 are dealt with.
var textFields = map[string]string{
	"made by daemons, or valid in their settings files": `Status.message Status.redirect Hello.daemon_id Hello.vm Hello.place Hello.process Hello.build WatchRequest.daemon_id
		PoolLease.name PoolLease.holder PoolLease.address RenewServingRequest.daemon_id AcquireLeaseRequest.name AcquireLeaseRequest.holder AcquireLeaseRequest.address
		RenewLeaseRequest.name RenewLeaseRequest.holder ReleaseLeaseRequest.name ReleaseLeaseRequest.holder SubmitRequest.entry_id Grant.hold_id Refusal.message
		ProgressRequest.hold_id ReleaseRequest.hold_id Hold.hold_id RestateRequest.entry_id WatchUpstreamsRequest.entry_id FeedUpdate.core FeedUpdate.leader
		JoinReply.leader JoinReply.core TenantUsageRequest.entry_id Event.vm Event.process Event.kind Event.lease Attribute.key`,
	"operators: refused by the decoder of their calls": `TenantUsage.name TenantGrant.name EventNumbering.service VersionsInUseRequest.service RouteService.host RouteService.prefix RouteService.service StreamVersion.service InFlight.route InFlight.service ClaimRequest.organisation RecordRequest.organisation SubmitRequest.organisation SubmitRequest.pool
		RestateRequest.pool WatchUpstreamsRequest.pool WatchUpstreamsUpdate.pool SchedulerStateRequest.pool SchedulerState.pool EngineOrder.upstream_id EngineOrder.load_model
		EngineOrder.unload_model EngineOrder.load_adapter EngineOrder.request_id EventsRequest.request_id EventsRequest.upstream EventsRequest.lease`,
	"callers: ids get a text form in platform (textID); internal/entry makes its own": `ClaimRequest.request_id RecordRequest.request_id SubmitRequest.request_id SubmitRequest.model
		Hold.request_id Hold.model StreamVersion.id StreamVersion.first_id StreamVersion.model StreamVersionRequest.id Event.request_id`,
	"callers: idempotency keys are refused by internal/entry": `ClaimRequest.key RecordRequest.key`,
	"upstreams and other writers: reports are refused by platform (checkReportedTexts), announcements by their decoder": `SubmitRequest.exclude SubmitRequest.software_version SubmitRequest.weights_version
		UpstreamAddress.id UpstreamAddress.url Hold.prefill_id Hold.decode_id UpstreamState.id UpstreamState.url UpstreamState.place UpstreamState.region UpstreamState.service
		UpstreamState.models UpstreamState.software_version UpstreamRecord.id UpstreamRecord.service UpstreamRecord.address UpstreamRecord.place UpstreamRecord.models
		UpstreamRecord.software_version StreamVersionResponse.software_version UpstreamStatement.id SendPermitResponse.id ErrorShare.id StreamVersion.version ServiceVersion.service ServiceVersion.version ServiceVersion.model ServiceVersion.weights
		EventNumbering.version RelayRequest.address StreamVersion.earlier_weights StreamVersion.weights UpstreamState.weights UpstreamRecord.weights CrashedPrompt.engine_id
		UpstreamOutcomes.id Event.upstream StreamVersionRequest.upstream_id`,
	"upstreams: ids of events that are not valid UTF-8 are left out by internal/forward": `StreamVersion.changed_after`,
	"upstreams: a response header that cannot be encoded is left out by transport":       `Attribute.value`,
}

// Guards against a new text from outside that cannot be encoded and ends the streams
// between daemons.
func TestEveryTextFieldHasAnOrigin(t *testing.T) {
	var listed, found []string
	for _, names := range textFields {
		listed = append(listed, strings.Fields(names)...)
	}
	var visit func(protoreflect.MessageDescriptors)
	visit = func(messages protoreflect.MessageDescriptors) {
		for i := range messages.Len() {
			m := messages.Get(i)
			for j := range m.Fields().Len() {
				f := m.Fields().Get(j)
				require.False(t, f.IsMap(), "%s: transport does not look for invalid text in maps", f.FullName())
				if f.Kind() == protoreflect.StringKind {
					found = append(found, strings.TrimPrefix(string(f.FullName()), "godwitward.v1."))
				}
			}
			visit(m.Messages())
		}
	}
	for _, file := range []protoreflect.FileDescriptor{File_godwitward_v1_internal_proto, File_godwitward_v1_fleet_proto, File_godwitward_v1_event_proto} {
		visit(file.Messages())
	}
	require.ElementsMatch(t, found, listed)
}
