package godwitwardv1

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// addition is what a landing has added to the messages between daemons and on disk, and how a
// reader takes its absence: from a daemon of a build before it, or of a later one whose record
// such a daemon has passed on.
type addition struct {
	landing string
	// names are fields, values of enumerations and methods.
	names string
	// absence is what readers take it for, and for how long.
	absence string
}

const (
	thisBuild = "this build"
	// notMixed marks what is only read in one build, or comes with another addition.
	notMixed = "comes only with the message or field that carries it"
)

// additions lists what has been added since the first landing. A name that is not listed
// fails TestEveryAdditionSaysWhatItsAbsenceMeans.
var additions = []addition{
	{"cad4224", `FeedUpdate.version FeedUpdate.newest_version Gossip.version`,
		"The hub has no document: an entry that knows of a newer one leaves it after 0.5 s. No system is upgraded from builds before."},
	{"cad4224", `FeedRequest.quarantined FeedUpdate.evidence Gossip.evidence OutcomeReport.crashes OutcomeReport.sound_parts`,
		"No news about prompts that crash engines. What an entry knows stays, and it restates it to each hub that it attaches to."},
	{"cad4224", `PromptEvidence.crashes PromptEvidence.suspects PromptEvidence.quarantined PromptEvidence.sound
		CrashedPrompt.engine_id CrashedPrompt.engine_born_ms CrashedPrompt.parts CrashedPrompt.age_ms
		QuarantinedPart.part QuarantinedPart.trial_ms QuarantinedPart.end_ms SoundPart.part SoundPart.end_ms`, notMixed},
	{"cad4224", `SubmitRequest.retry_sends`, "0 in an attempt after the first counts as 1."},
	{"cad4224", `SubmitRequest.content_hash`, "Not known: a caller that returns after a refusal is not recognised."},

	{"e048159", `CrashedPrompt.whole_request`,
		"The key counts as a part of a prompt. As its crashes come from equal requests, the same key is quarantined."},
	{"e048159", `FeedUpdate.statements Gossip.statements OutcomeReport.statements`,
		"Nothing is known of limits and leaving from others. An entry keeps to what upstreams state in its own responses."},
	{"e048159", `UpstreamStatement.id UpstreamStatement.born_ms UpstreamStatement.limit UpstreamStatement.age_ms UpstreamStatement.leaving`, notMixed},
	{"e048159", `SendPermit`,
		"UNIMPLEMENTED, at once. The entry keeps to its share of a quarter of the limit, and asks again after 0.7 s."},
	{"e048159", `SendPermitRequest.upstreams SendPermitRequest.max_wait_ms SendPermitResponse.id SendPermitResponse.wait_ms`, notMixed},
	{"e048159", `RestateRequest.retry_budget_use RetryBudgetUse.age_ms RetryBudgetUse.requests RetryBudgetUse.retries`,
		"The entry has spent nothing at earlier schedulers: the budget of the pool begins anew with a change of the leader."},

	{"f24dbb7", `UpstreamRecord.software_version`,
		"fleet.Table: with UpstreamRecord.level or a list of weights, the upstream reports none. Otherwise the version of the same process in an earlier record, or one that no other process has."},
	{"f24dbb7", `UpstreamState.software_version`, "The upstream announces none. Daemons of the platform make it of an UpstreamRecord."},
	{"f24dbb7", `SubmitRequest.software_version`, "Any software version may serve: a first run, or an entry that records none."},
	{"f24dbb7", `FeedRequest.stream_versions Gossip.stream_versions OutcomeReport.stream_versions`, "The streams are unknown, and refused unless they have one possibility."},
	{"f24dbb7", `StreamVersion.id StreamVersion.version StreamVersion.attempt StreamVersion.age_ms`, notMixed},
	{"f24dbb7", `StreamVersion`, "UNIMPLEMENTED, at once: the hub knows no stream."},
	{"f24dbb7", `StreamVersionRequest.id`, notMixed},
	{"f24dbb7", `StreamVersionResponse.software_known StreamVersionResponse.software_version`,
		"The hub knows no stream, or tells more than the software, in the field stream. 5e4e59b and 88d5563 don't answer or read them."},

	{"e38435b", `FeedUpdate.observed_ms Gossip.observed_ms StreamVersionBatch.observed_ms`, "Not all versions in use are known: unknown streams are refused."},
	{"e38435b", `FeedUpdate.reports_ms Gossip.reports_ms`,
		"Not all upstreams are known. An entry doesn't wait for its records to be sent, and treats a broken connection as a possible restart."},
	{"e38435b", `FeedUpdate.service_versions Gossip.service_versions StreamVersionBatch.service_versions`, "No news about versions; observed_ms tells whether these are all."},
	{"e38435b", `ServiceVersion.service ServiceVersion.version ServiceVersion.age_ms StreamVersionBatch.written_ms StreamVersionBatch.stream_versions`, notMixed},
	{"e38435b", `Leave`, "UNIMPLEMENTED, at once: the leader replaces no voter before it ends, so the daemon stops without waiting."},
	{"e38435b", `LeaveRequest.member LeaveReply.pending`, notMixed},

	{"5e4e59b", `StreamVersion.service`, "The stream is unknown (fleet.DecodeStreamVersion), for as long as records are kept: a minute. Hubs of builds before get a wrapped record too, which they keep whole."},
	{"5e4e59b", `StreamVersion.model StreamVersion.weights StreamVersion.first_id StreamVersion.changed_after StreamVersion.earlier_weights`,
		"Empty in records without a service only, which are unknown; otherwise as stated."},
	{"5e4e59b", `StreamVersionResponse.stream`, "The hub knows no stream, or of a stream its software only: fields 1 and 2, and the wrapped record."},
	{"5e4e59b", `ServiceVersion.model ServiceVersion.weights`,
		"One more version in use, with weights that are not known: unknown streams are refused while another one is seen, and where reports lack weights."},
	{"5e4e59b", `UpstreamRecord.weights`,
		"fleet.LacksWeights: with UpstreamRecord.level, the upstream reports none. Otherwise they are not known: responses tell them, and the service has no only version for a minute after such a record."},
	{"5e4e59b", `UpstreamState.weights`, "Not known: the engine is asked."},
	{"5e4e59b", `SubmitRequest.weights_version`, "Any weights may serve: a first run, or an entry that records none."},
	{"5e4e59b", `FeedUpdate.route_services FeedRequest.route_services Gossip.route_services OutcomeReport.route_services StreamVersionBatch.route_services`,
		"No news about routes; routes_version tells whether these are all."},
	{"5e4e59b", `FeedUpdate.routes_version Gossip.routes_version StreamVersionBatch.routes_version`,
		"The sender knows no routes: its observed_ms is not taken over."},
	{"5e4e59b", `RouteService.host RouteService.prefix RouteService.service RouteService.age_ms`, notMixed},
	{"5e4e59b", `FeedUpdate.event_numberings FeedRequest.event_numberings Gossip.event_numberings OutcomeReport.event_numberings`,
		"Nothing is known: each entry learns the numbering by itself, and relays gaps until then."},
	{"5e4e59b", `EventNumbering.service EventNumbering.version EventNumbering.steps EventNumbering.starts EventNumbering.steps_alone EventNumbering.starts_alone`, notMixed},

	{"88d5563", `Relay`, "UNIMPLEMENTED, at once: the daemon relays nothing."},
	{"88d5563", `RelayRequest.address RelayRequest.timeout_ms RelayResponse.result RelayResponse.open RelayResponse.max_open RelayData.data RelayData.end RelayData.reset
		RelayResponse.Result.RESULT_UNSPECIFIED RelayResponse.Result.OPEN RelayResponse.Result.REFUSED RelayResponse.Result.RESET
		RelayResponse.Result.UNREACHABLE RelayResponse.Result.UNKNOWN_ADDRESS RelayResponse.Result.NO_ROOM`, notMixed},

	{"74693a0", `Hello.level`, "protocol.Unstated: the daemon may lack all that later levels have."},
	{"74693a0", `Hello.build`, "Not known; for logs only."},
	{"74693a0", `UpstreamRecord.level`, "protocol.Unstated: software_version and weights may have been left out, by the daemon that received the report or by one that passed it on."},
	{"74693a0", `StreamVersionRequest.record StreamVersionRequest.all_hubs`, "A question to one hub about its own records, as entries of builds before ask."},
	{"74693a0", `StreamVersionResponse.answered StreamVersionResponse.hubs`, "The hub asks no others, and tells its own records only."},
	{"74693a0", `UpstreamState.weights_dropped`, "Not read from others: a core daemon fills it in for its own scheduler."},

	{thisBuild, `Document.deflated_body`, "The body is in the field body: a hub of an earlier build, or an entry that does not state FeedRequest.reads_deflated."},
	{thisBuild, `FeedRequest.reads_deflated`, "Documents are sent to the entry as they are."},
	{thisBuild, `TenantUsage`, "UNIMPLEMENTED, at once: the entry has no grantor. It keeps to its standby rates, and in strict mode refuses requests with keys once its confirmation has ended."},
	{thisBuild, `TenantUsageRequest.entry_id TenantUsageRequest.born_ms TenantUsageRequest.sequence TenantUsageRequest.applied TenantUsageRequest.have_version
		TenantUsageRequest.forwarded TenantUsageRequest.term TenantUsageRequest.entries TenantUsageRequest.tenants
		TenantUsage.name TenantUsage.held TenantUsage.returned TenantUsage.per_second TenantUsage.asked TenantUsage.asked_first TenantUsage.recent TenantUsage.wanted
		TenantUsageResponse.term TenantUsageResponse.newest_version TenantUsageResponse.version_age_ms TenantUsageResponse.restate TenantUsageResponse.tenants
		TenantGrant.name TenantGrant.granted TenantGrant.standby_per_second TenantGrant.standby_grace_ms TenantGrant.retry_after_ms TenantGrant.undecided`, notMixed},
	{thisBuild, `SubmitRequest.priority`, "None is stated: the request is queued with the priority that engines assume without the header, 5. While no request states one, all are in one queue."},
	{thisBuild, `ProgressRequest.prefill_rejected`, "No rejection is known: the scheduler goes on using the engine."},
	{thisBuild, `StreamVersionRequest.upstream_id`, "No report is asked for."},
	{thisBuild, `StreamVersionResponse.report`, "No report is known: a process that tells no start is not known to have reported since."},
	{thisBuild, `FeedUpdate.leave_notices Gossip.leave_notices`, "No notice of a process that the sender doesn't know. One of a process that the reader knows comes as the record of its end."},
	{thisBuild, `StoreLeaving`, "UNIMPLEMENTED, at once, and not asked: the hub doesn't count for the majority (protocol.Majorities)."},
	{thisBuild, `VersionsInUse`, "UNIMPLEMENTED, at once, and not asked: the hub doesn't count for the majority. An entry whose hubs are all of earlier builds takes versions for noted, and relies on what its updates list."},
	{thisBuild, `VersionsInUseRequest.noted VersionsInUseRequest.service VersionsInUseRequest.all_hubs
		VersionsInUseResponse.versions VersionsInUseResponse.answered VersionsInUseResponse.hubs`, notMixed},
	{thisBuild, `StoreLeavingRequest.record`, notMixed},
	{thisBuild, `StreamVersionBatch.leaving`, "No process is known to have left before the daemon started: a late report lists it again."},
	{thisBuild, `SubmitRequest.held_ms`, "No result of a prefill is held: the attempt is queued as one that needs a prefill."},
}

// Guards against a field, value or method that daemons of older builds don't send, pass on
// or serve, and whose absence nobody has thought of.
func TestEveryAdditionSaysWhatItsAbsenceMeans(t *testing.T) {
	before := readNumbers(t, "testdata/first_landing.txt")
	var added []string
	for _, file := range []protoreflect.FileDescriptor{File_godwitward_v1_internal_proto, File_godwitward_v1_fleet_proto, File_godwitward_v1_config_proto, File_godwitward_v1_event_proto} {
		added = append(added, newEnums(before, file.Enums())...)
		added = append(added, newFields(before, file.Messages())...)
	}
	for name, number := range methods(t) {
		if !before["Methods"][number] {
			added = append(added, name)
		}
	}
	var listed []string
	for _, a := range additions {
		require.NotEmpty(t, a.absence, a.names)
		listed = append(listed, strings.Fields(a.names)...)
	}
	require.ElementsMatch(t, added, listed, "say in additions what the absence of a new name means")
}

// readNumbers returns the numbers that messages, enumerations and methods had.
func readNumbers(t *testing.T, path string) map[string]map[int]bool {
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	all := map[string]map[int]bool{}
	for line := range strings.Lines(string(text)) {
		words := strings.Fields(line)
		if words[0] == "#" {
			continue
		}
		all[words[0]] = map[int]bool{}
		for _, word := range words[1:] {
			first, last, isRange := strings.Cut(word, "-")
			if !isRange {
				last = first
			}
			from, err := strconv.Atoi(first)
			require.NoError(t, err, line)
			to, err := strconv.Atoi(last)
			require.NoError(t, err, line)
			for n := from; n <= to; n++ {
				all[words[0]][n] = true
			}
		}
	}
	return all
}

func localName(name protoreflect.FullName) string {
	return strings.TrimPrefix(string(name), "godwitward.v1.")
}

func newFields(before map[string]map[int]bool, messages protoreflect.MessageDescriptors) (added []string) {
	for i := range messages.Len() {
		m := messages.Get(i)
		for j := range m.Fields().Len() {
			if f := m.Fields().Get(j); !before[localName(m.FullName())][int(f.Number())] {
				added = append(added, localName(f.FullName()))
			}
		}
		added = append(added, newEnums(before, m.Enums())...)
		added = append(added, newFields(before, m.Messages())...)
	}
	return added
}

func newEnums(before map[string]map[int]bool, enums protoreflect.EnumDescriptors) (added []string) {
	for i := range enums.Len() {
		e := enums.Get(i)
		for j := range e.Values().Len() {
			if v := e.Values().Get(j); !before[localName(e.FullName())][int(v.Number())] {
				added = append(added, fmt.Sprintf("%s.%s", localName(e.FullName()), v.Name()))
			}
		}
	}
	return added
}

// methods returns the numbers of all methods by name.
func methods(t *testing.T) map[string]int {
	file, err := parser.ParseFile(token.NewFileSet(), "../../../internal/transport/method.go", nil, 0)
	require.NoError(t, err)
	all := map[string]int{}
	for _, d := range file.Decls {
		group, ok := d.(*ast.GenDecl)
		if !ok || group.Tok != token.CONST {
			continue
		}
		var first int
		for i, spec := range group.Specs {
			v := spec.(*ast.ValueSpec)
			if i == 0 {
				sum := v.Values[0].(*ast.BinaryExpr)
				require.Equal(t, "iota", sum.X.(*ast.Ident).Name)
				first, err = strconv.Atoi(sum.Y.(*ast.BasicLit).Value)
				require.NoError(t, err)
			}
			require.Len(t, v.Names, 1)
			all[strings.TrimPrefix(v.Names[0].Name, "Method")] = first + i
		}
	}
	require.NotEmpty(t, all)
	return all
}
