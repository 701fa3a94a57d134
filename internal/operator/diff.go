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

// diffConfigs returns the differences of two configurations as lines that
// begin with "+" or "-", empty when there are none.
func diffConfigs(a, b *pb.Config) string {
	var out strings.Builder
	for _, r := range a.GetRoutes() {
		if changeset.Find(b, r.Name) == nil {
			writeDiff(&out, "route "+r.Name, r, nil)
		}
	}
	for _, r := range b.GetRoutes() {
		if old := changeset.Find(a, r.Name); old == nil {
			writeDiff(&out, "route "+r.Name, nil, r)
		} else if !proto.Equal(old, r) {
			writeDiff(&out, "route "+r.Name, old, r)
		}
	}
	diffDrains(&out, "-", a.GetDrains(), b.GetDrains())
	diffDrains(&out, "+", b.GetDrains(), a.GetDrains())
	return out.String()
}

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

func writeDiff(out *strings.Builder, title string, a, b *pb.Route) {
	fmt.Fprintln(out, title)
	for _, line := range diffLines(lines(a), lines(b)) {
		fmt.Fprintln(out, line)
	}
}

// lines returns a message as indented JSON in a stable form: protojson varies
// its white space on purpose.
func lines(r *pb.Route) []string {
	if r == nil {
		return nil
	}
	raw, err := stableJSON(r)
	if err != nil {
		return []string{"(cannot be printed: " + err.Error() + ")"}
	}
	return strings.Split(string(raw), "\n")
}

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

// maxDiffCells bounds the memory of one comparison. Larger texts, such as
// routes with thousands of callers, are shown as removed and added whole.
const maxDiffCells = 4 << 20

// diffLines marks the lines outside a longest common subsequence.
func diffLines(a, b []string) []string {
	if len(a)*len(b) > maxDiffCells {
		return append(marked("- ", a), marked("+ ", b)...)
	}
	common := make([][]int, len(a)+1)
	for i := range common {
		common[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			common[i][j] = max(common[i+1][j], common[i][j+1])
			if a[i] == b[j] {
				common[i][j] = common[i+1][j+1] + 1
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
		case j == len(b) || i < len(a) && common[i+1][j] >= common[i][j+1]:
			out = append(out, "- "+a[i])
			i++
		default:
			out = append(out, "+ "+b[j])
			j++
		}
	}
	return out
}

func marked(sign string, in []string) []string {
	out := make([]string, len(in))
	for i, line := range in {
		out[i] = sign + line
	}
	return out
}
