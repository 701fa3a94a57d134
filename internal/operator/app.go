package operator

import (
	"context"
	"fmt"
	"io"
	"os/user"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"godwitward.example/godwitward/internal/settings"
)

// Exit codes of Main; see the package documentation.
const (
	ExitOK          = 0
	ExitUsage       = 1
	ExitInvalid     = 2
	ExitConflict    = 3
	ExitUnavailable = 4
	ExitUnconfirmed = 5
)

const (
	defaultAddress = "127.0.0.1:7301"
	// defaultTimeout allows for the 7 s within which a change comes into force
	// after any single failure, and for one leader election.
	defaultTimeout = 15 * time.Second
)

const (
	formatTable = "table"
	formatJSON  = "json"
)

// cli holds the flags and the standard streams of one invocation of gwctl.
type cli struct {
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer

	addresses []string
	output    string
	timeout   time.Duration
	requestID string
	operator  string
	tls       tlsFlags
	// local is set by a command that does not call the control members.
	local bool

	control *controlClient
}

// action runs one command and returns its exit code. For an error that is
// returned with ExitOK, cli.run takes the exit code from exitCode.
type action func(ctx context.Context) (code int, err error)

// Main runs gwctl with the given arguments (without the program name) and
// returns the exit code.
func Main(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	c := &cli{stdin: stdin, stdout: stdout, stderr: stderr}
	app := kingpin.New("gwctl", "Operate a godwitward installation. Exit codes: 0 ok, 1 usage, 2 invalid, 3 version conflict, 4 unavailable, 5 accepted but not confirmed. For config check: 0 clean, 1 findings, 2 not readable.")
	app.Version(settings.VersionLine("gwctl"))
	app.DefaultEnvars()
	app.UsageWriter(stderr)
	app.ErrorWriter(stderr)
	terminated := false
	app.Terminate(func(int) {
		terminated = true
		// Kingpin continues to parse and would print the usage after the help or
		// version.
		app.UsageWriter(io.Discard)
		app.ErrorWriter(io.Discard)
	})
	c.addFlags(app)
	actions := map[string]action{}
	c.addRouteCommands(app, actions)
	c.addConfigCommands(app, actions)
	c.addDrainCommands(app, actions)
	c.addRuntimeCommands(app, actions)
	c.addMemberCommands(app, actions)
	command, err := app.Parse(args)
	if terminated {
		return ExitOK
	}
	if err != nil {
		fmt.Fprintf(stderr, "gwctl: %v; see gwctl --help\n", err)
		if isConfigCheck(app, args) {
			return ExitCheckFailed
		}
		return ExitUsage
	}
	return c.run(actions[command])
}

func (c *cli) addFlags(app *kingpin.Application) {
	app.Flag("address", "Operator address of a control member (host:port); repeat for several.").
		Short('a').Default(defaultAddress).StringsVar(&c.addresses)
	app.Flag("output", "Format of the output.").Short('o').Default(formatTable).EnumVar(&c.output, formatTable, formatJSON)
	app.Flag("timeout", "Longest time for the whole command.").Default(defaultTimeout.String()).DurationVar(&c.timeout)
	app.Flag("request-id", "Request id of a change; to repeat a command whose outcome is not known, give the same id.").StringVar(&c.requestID)
	app.Flag("operator", "Name recorded with changes when no client certificate is used.").Default(userName()).StringVar(&c.operator)
	c.tls.add(app)
}

func userName() string {
	u, err := user.Current()
	if err != nil {
		return ""
	}
	return u.Username
}

func (c *cli) run(a action) int {
	if !c.local {
		if err := c.initControl(); err != nil {
			c.printError(err)
			return ExitUsage
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	code, err := a(ctx)
	if err != nil {
		c.printError(err)
		if code == ExitOK {
			code = exitCode(err)
		}
	}
	return code
}

func (c *cli) printError(err error) {
	fmt.Fprintf(c.stderr, "gwctl: %v\n", err)
}

// initControl checks the addresses and TLS files and creates the client for the
// control members. It does not dial yet.
func (c *cli) initControl() error {
	cfg, err := c.tls.config()
	if err != nil {
		return err
	}
	var addresses []string
	for _, a := range c.addresses {
		// The environment variable may list several addresses in one value.
		for _, part := range strings.FieldsFunc(a, func(r rune) bool { return r == ',' || r == '\n' || r == ' ' }) {
			if cfg == nil && !c.tls.plaintext && !isLoopback(part) {
				return errors.Errorf("address %s: plaintext is accepted on loopback only; set the TLS flags or --allow-plaintext", part)
			}
			addresses = append(addresses, part)
		}
	}
	if len(addresses) == 0 {
		return errors.New("no --address is given")
	}
	c.control = newControlClient(addresses, cfg, c.operator)
	return nil
}
