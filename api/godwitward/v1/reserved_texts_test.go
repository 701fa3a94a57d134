package godwitwardv1

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// reservedText is a text that daemons put into a field that holds other texts, and how those of
// builds before it take it.
type reservedText struct {
	landing string
	// text is its beginning, and fields are those that hold it.
	text, fields string
	// before says what earlier builds make of it, and for how long.
	before string
}

var reservedTexts = []reservedText{
	{"74693a0", "\x01", "StreamVersion.id StreamVersionRequest.id",
		"The id of a stream that no caller names: kept, stored and passed on for a minute, whole."},
	{"74693a0", "\x01other", "StreamVersion.version StreamVersionResponse.software_version ServiceVersion.version",
		"A software version that no upstream has: the stream is refused, and the service has no only version."},
	{"74693a0", "\x01none", "ServiceVersion.model",
		"A model that no request names: counted for requests without a model."},
	{"74693a0", "\x01run-1 ", "UpstreamRecord.software_version StreamVersion.version SubmitRequest.software_version StreamVersionResponse.software_version",
		"Told only to entries that compare software versions: one more version. Schedulers of earlier builds find no engine with it."},
	{thisBuild, "\x01process-1 ", "StreamVersion.version ServiceVersion.version StreamVersionResponse.software_version StreamVersion.id StreamVersionRequest.id",
		"A software version that no upstream has: an entry refuses the stream, until it asks a present hub that has the report; of the service it takes up no unnamed stream for a minute. Hubs keep, store and pass it on, wrapped or not. With a negative number no report is of the process, and the stream is refused. As an id, that of a stream that no caller names: kept, stored and passed on for a minute, with the software of the process."},
}

// Guards against a text in a field of another meaning of which nobody has thought what earlier
// builds make of it.
func TestEveryReservedTextSaysWhatEarlierBuildsMakeOfIt(t *testing.T) {
	var listed, used []string
	for _, r := range reservedTexts {
		require.NotEmpty(t, r.before, r.text)
		listed = append(listed, r.text)
		for _, field := range strings.Fields(r.fields) {
			message, name, _ := strings.Cut(field, ".")
			found := File_godwitward_v1_internal_proto.Messages().ByName(protoreflect.Name(message))
			if found == nil {
				found = File_godwitward_v1_fleet_proto.Messages().ByName(protoreflect.Name(message))
			}
			require.NotNil(t, found, field)
			require.NotNil(t, found.Fields().ByName(protoreflect.Name(name)), field)
		}
	}
	for _, dir := range []string{"fleet", "feed", "forward", "scheduler"} {
		files, err := filepath.Glob("../../../internal/" + dir + "/*.go")
		require.NoError(t, err)
		require.NotEmpty(t, files, dir)
		for _, path := range files {
			if strings.HasSuffix(path, "_test.go") {
				continue
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			require.NoError(t, err)
			ast.Inspect(file, func(n ast.Node) bool {
				literal, ok := n.(*ast.BasicLit)
				if !ok || literal.Kind != token.STRING {
					return true
				}
				if text, err := strconv.Unquote(literal.Value); err == nil && strings.HasPrefix(text, "\x01") {
					used = append(used, text)
				}
				return true
			})
		}
	}
	require.ElementsMatch(t, used, listed, "say in reservedTexts what earlier builds make of a new text")
}
