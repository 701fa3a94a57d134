package entry

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an error code or a metric that is not documented in
// OPERATIONS.md.
func TestCodesAndMetricsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	file, err := parser.ParseFile(token.NewFileSet(), "codes.go", nil, 0)
	require.NoError(t, err)
	found := 0
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || !strings.HasPrefix(spec.Names[0].Name, "Code") {
			return true
		}
		code := strings.Trim(spec.Values[0].(*ast.BasicLit).Value, `"`)
		require.Contains(t, string(page), "`"+code+"`", spec.Names[0].Name)
		found++
		return true
	})
	require.NotZero(t, found)
	for _, name := range []string{
		"accepted", "failures", "tokens", "attempts_after_first", "requests_in_flight", "body_bytes", "answer_bytes", "releases_pending",
	} {
		require.Contains(t, string(page), "`"+name+"`")
	}
}
