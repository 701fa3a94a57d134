package settings_test

import (
	"os"
	"os/exec"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitward.example/godwitward/internal/settings"
)

const closedOutputHelper = "GODWITWARD_TEST_CLOSED_OUTPUT"

// Guards against a log reader that ends and takes the daemon with it: the connections of
// all callers were closed without responses.
func TestClosedLogOutputDoesNotEndTheProcess(t *testing.T) {
	if os.Getenv(closedOutputHelper) != "" {
		settings.IgnoreSignals()
		logger := settings.NewAsyncLogger(os.Stdout)
		logger.Info().Str("event", "process.started").Msg("")
		settings.CloseLogger(logger)
		os.Exit(0)
	}
	rd, w, err := os.Pipe()
	require.NoError(t, err)
	require.NoError(t, rd.Close())
	cmd := exec.Command(os.Args[0], "-test.run=^TestClosedLogOutputDoesNotEndTheProcess$")
	cmd.Env = append(os.Environ(), closedOutputHelper+"=1")
	cmd.Stdout = w
	require.NoError(t, cmd.Run())
}
