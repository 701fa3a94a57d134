package operator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/control/changeset"
)

// diffConfigs returns the differences of two configurations as text, empty when
// there are none. Added lines begin with "+", removed ones with "-".
func diffConfigs(from, to *pb.Config) string {
	var out strings.Builder
	for _, r := range from.GetRoutes() {
		if changeset.FindRoute(to, r.Name) == nil {
			writeRouteDiff(&out, "route "+r.Name, r, nil)
		}
	}
	for _, r := range to.GetRoutes() {
		if old := changeset.FindRoute(from, r.Name); old == nil {
			writeRouteDiff(&out, "route "+r.Name, nil, r)
		} else if !proto.Equal(old, r) {
			writeRouteDiff(&out, "route "+r.Name, old, r)
		}
	}
	diffDrains(&out, "-", from.GetDrains(), to.GetDrains())
	diffDrains(&out, "+", to.GetDrains(), from.GetDrains())
	return out.String()
}

// diffDrains writes the drains of list that are not in other.
func diffDrains(out *strings.Builder, sign string, list, other []*pb.Drain) {
	for _, d := range list {
		if !containsDrain(other, d) {
			fmt.Fprintf(out, "%s drain %s\n", sign, drainName(d))
		}
	}
}

func containsDrain(list []*pb.Drain, d *pb.Drain) bool {
	for _, o := range list {
		if proto.Equal(o, d) {
			return true
		}
	}
	return false
}

func drainName(d *pb.Drain) string {
	if d.GetPlace() != "" {
		return "place " + d.Place
	}
	return "upstream " + d.GetUpstreamId()
}

func writeRouteDiff(out *strings.Builder, title string, from, to *pb.Route) {
	fmt.Fprintln(out, title)
	for _, line := range diffLines(jsonLines(from), jsonLines(to)) {
		fmt.Fprintln(out, line)
	}
}

// jsonLines returns a route as lines of indented JSON, nil for no route.
func jsonLines(r *pb.Route) []string {
	if r == nil {
		return nil
	}
	raw, err := stableJSON(r)
	if err != nil {
		return []string{"(cannot be printed: " + err.Error() + ")"}
	}
	return strings.Split(string(raw), "\n")
}

// stableJSON returns m as JSON with stable white space, which protojson varies
// on purpose.
func stableJSON(m proto.Message) ([]byte, error) {
	raw, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(m)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	if err := json.Indent(&out, raw, "", "  "); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// maxDiffCells bounds the memory of one comparison, in entries of the table that
// diffLines builds. Larger texts, such as routes with thousands of callers, are
// shown as removed and added whole.
const maxDiffCells = 4 << 20

// diffLines returns a line diff of a and b. The lines of a longest common
// subsequence (LCS) begin with two spaces, the other lines of a with "- " and
// those of b with "+ ".
func diffLines(a, b []string) []string {
	if len(a)*len(b) > maxDiffCells {
		return append(prefixLines("- ", a), prefixLines("+ ", b)...)
	}
	// lcsLen[i][j] is the length of an LCS of a[i:] and b[j:].
	lcsLen := make([][]int, len(a)+1)
	for i := range lcsLen {
		lcsLen[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			lcsLen[i][j] = max(lcsLen[i+1][j], lcsLen[i][j+1])
			if a[i] == b[j] {
				lcsLen[i][j] = lcsLen[i+1][j+1] + 1
			}
		}
	}
	var out []string
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			out = append(out, "  "+a[i])
			i++
			j++
		case j == len(b) || i < len(a) && lcsLen[i+1][j] >= lcsLen[i][j+1]:
			out = append(out, "- "+a[i])
			i++
		default:
			out = append(out, "+ "+b[j])
			j++
		}
	}
	return out
}

func prefixLines(prefix string, lines []string) []string {
	out := make([]string, len(lines))
	for i, line := range lines {
		out[i] = prefix + line
	}
	return out
}
