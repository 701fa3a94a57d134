package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

// Guards against a stream that goes on at the software of a process that did not begin it.
func TestProcessTextsResolveToTheirProcessOnly(t *testing.T) {
	v := policy.RunVersions{Service: "llm", Software: ProcessText("i 1", 7), Model: "m"}
	report := &pb.UpstreamRecord{Id: "i 1", BornMs: 7, Service: "llm", SoftwareVersion: "v2", Models: []string{"m"}, Weights: []string{"3"}}
	resolved, ok := ResolveProcess(v, report)
	require.True(t, ok)
	require.Equal(t, policy.RunVersions{Service: "llm", Software: "v2", Model: "m", Weights: "3"}, resolved)
	v.Weights = "2"
	resolved, ok = ResolveProcess(v, report)
	require.True(t, ok)
	require.Equal(t, "2", resolved.Weights, "a response has stated them")
	for name, other := range map[string]*pb.UpstreamRecord{
		"none":                            nil,
		"another start":                   {Id: "i 1", BornMs: 8, Service: "llm", SoftwareVersion: "v2"},
		"another id":                      {Id: "i", BornMs: 7, Service: "llm", SoftwareVersion: "v2"},
		"another service, address reused": {Id: "i 1", BornMs: 7, Service: "orders", SoftwareVersion: "v2"},
	} {
		_, ok = ResolveProcess(v, other)
		require.False(t, ok, name)
	}
	unknownStart := policy.RunVersions{Service: "llm", Software: ProcessText("i-1", 0)}
	_, ok = ResolveProcess(unknownStart, &pb.UpstreamRecord{Id: "i-1", Service: "llm", SoftwareVersion: "v2"})
	require.False(t, ok, "reports without a start do not tell which process it was")
	_, _, ok = ParseProcessText("v1")
	require.False(t, ok)
}
