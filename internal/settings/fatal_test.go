package settings_test

import (
	"bytes"
	"os"
	"os/exec"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"godwitward.example/godwitward/internal/settings"
)

const fatalHelper = "GODWITWARD_TEST_FATAL"

// Guards against a process that fails without a line in its log, because the line
// was still queued.
func TestFatalWritesItsLine(t *testing.T) {
	if os.Getenv(fatalHelper) != "" {
		settings.Fatal(settings.NewAsyncLogger(os.Stdout), "listening", errors.New("address in use"))
	}
	cmd := exec.Command(os.Args[0], "-test.run=^TestFatalWritesItsLine$")
	cmd.Env = append(os.Environ(), fatalHelper+"=1")
	var out bytes.Buffer
	cmd.Stdout = &out
	var exit *exec.ExitError
	require.ErrorAs(t, cmd.Run(), &exit)
	require.Equal(t, settings.ExitFailed, exit.ExitCode())
	require.Contains(t, out.String(), `event=process.failed action=listening error="address in use"`)
}
