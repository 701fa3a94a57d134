package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against streams at several weights that count as one run, and against refusals
// because the weights of some upstreams are not known.
func TestSoftwareTellsRunUnlessWeightsDiffer(t *testing.T) {
	v := func(software, model, weights string) RunVersions {
		return RunVersions{Service: "s", Software: software, Model: model, Weights: weights}
	}
	for _, c := range []struct {
		name  string
		inUse []RunVersions
		want  bool
	}{
		{"none", nil, true},
		{"one", []RunVersions{v("1", "m", "1")}, true},
		{"weights differ", []RunVersions{v("1", "m", "1"), v("1", "m", "2")}, false},
		{"of two models", []RunVersions{v("1", "m", "1"), v("1", "n", "2")}, true},
		{"of two software versions", []RunVersions{v("1", "m", "1"), v("2", "m", "2")}, true},
		{"not known", []RunVersions{v("1", "m", "1"), v("1", "m", ""), v("1", "", "")}, true},
	} {
		var history VersionHistory
		for _, v := range c.inUse {
			history.Seen(v, 0)
		}
		require.Equal(t, c.want, history.SoftwareTellsRun(time.Second), c.name)
	}
}

// Guards against a service that shares a route, or did of late, and counts as the only one.
func TestSharedServices(t *testing.T) {
	before := resumable(map[string]string{"/a/": "x", "/b/": "y z", "/c/": "w", "/d/": "v"})
	after := resumable(map[string]string{"/a/": "x", "/b/": "y z", "/c/": "u", "/d/": "v"})
	left := RouteServices{}
	left.Applied(before, after, 0)
	require.Equal(t, map[string]bool{"y": true, "z": true, "w": true, "u": true}, after.Shared(&left, time.Second))
	require.Equal(t, map[string]bool{"y": true, "z": true}, after.Shared(&left, 2*routeServiceTTL))
}
