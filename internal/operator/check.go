package operator

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"godwitward.example/godwitward/internal/configcheck"
	"godwitward.example/godwitward/internal/finding"
	"godwitward.example/godwitward/internal/forward"
	"godwitward.example/godwitward/platform"
)

// Exit codes of "config check". They differ from those of the other commands.
const (
	ExitCheckClean    = 0
	ExitCheckFindings = 1
	ExitCheckFailed   = 2
)

const (
	configCheckName = "config check"
	// stdinFile is the file name that means standard input.
	stdinFile = "-"
)

// configCheck holds the flags of "config check".
type configCheck struct {
	file             string
	against          string
	againstGiven     bool
	againstAddresses []string
	promptTokens     float64
}

func (c *cli) addConfigCheck(config *kingpin.CmdClause, actions map[string]action) {
	f := &configCheck{}
	check := config.Command("check", "Check a configuration of forwarding daemons, as it is sent to the core, without a running system. Exit codes: 0 clean, 1 findings, 2 not readable.")
	check.Arg("file", "File with the configuration (JSON); - for standard input.").Required().StringVar(&f.file)
	check.Flag("against", "File with another configuration; what changes against it is listed; - for standard input.").IsSetByUser(&f.againstGiven).StringVar(&f.against)
	check.Flag("against-address", "Operator address of a core daemon (host:port); what changes against the version in force is listed. Repeat for several, which are asked in turn.").StringsVar(&f.againstAddresses)
	check.Flag("prompt-tokens", "Tokens of a usual prompt with its output; lower caps and bursts of tenants are reported.").Float64Var(&f.promptTokens)
	check.PreAction(func(*kingpin.ParseContext) error {
		c.local = true
		return nil
	})
	actions[check.FullCommand()] = func(ctx context.Context) (int, error) { return c.configCheck(ctx, f) }
}

// isConfigCheck reports whether a command line that could not be parsed is one of
// "config check".
func isConfigCheck(app *kingpin.Application, args []string) bool {
	parsed, _ := app.ParseContext(args)
	return parsed != nil && parsed.SelectedCommand != nil && parsed.SelectedCommand.FullCommand() == configCheckName
}

func (c *cli) configCheck(ctx context.Context, f *configCheck) (int, error) {
	// kingpin passes a lone "-" as an empty value.
	if f.file == "" {
		f.file = stdinFile
	}
	if f.againstGiven && f.against == "" {
		f.against = stdinFile
	}
	if f.against != "" && len(f.againstAddresses) > 0 {
		return ExitCheckFailed, errors.New("--against and --against-address exclude each other")
	}
	if f.promptTokens < 0 {
		return ExitCheckFailed, errors.New("--prompt-tokens must not be negative")
	}
	if f.file == stdinFile && f.against == stdinFile {
		return ExitCheckFailed, errors.New("only one configuration can be read from standard input")
	}
	data, err := c.readConfigFile(f.file)
	if err != nil {
		return ExitCheckFailed, err
	}
	doc := platform.InspectConfig(data)
	report := checkReport{findings: configcheck.Check(doc, configcheck.Options{PromptTokens: f.promptTokens})}
	if doc.Config != nil {
		report.version = doc.Config.Version
	}
	compareErr := c.compareConfig(ctx, f, doc, &report)
	if err := c.printReport(&report, f.file); err != nil {
		return ExitCheckFailed, err
	}
	if compareErr != nil {
		return ExitCheckFailed, compareErr
	}
	if len(report.findings) > 0 {
		return ExitCheckFindings, nil
	}
	return ExitCheckClean, nil
}

// compareConfig adds the differences from the version in force to the report, if one is
// named.
func (c *cli) compareConfig(ctx context.Context, f *configCheck, doc *configcheck.Document, report *checkReport) error {
	inForce, err := c.readInForce(ctx, f)
	if err != nil || inForce == nil {
		return err
	}
	if doc.Config == nil {
		return errors.New("the configuration could not be decoded, so it was not compared")
	}
	report.compared, report.inForceVersion = true, inForce.Version
	report.differences = configcheck.Compare(inForce, doc.Config)
	report.findings = append(report.findings, configcheck.CompareVersions(inForce, doc, report.differences)...)
	return nil
}

// readInForce returns the configuration to compare with, nil if none is named.
func (c *cli) readInForce(ctx context.Context, f *configCheck) (*forward.Config, error) {
	var data []byte
	var err error
	switch {
	case f.against != "":
		data, err = c.readConfigFile(f.against)
	case len(f.againstAddresses) > 0:
		data, err = c.fetchConfig(ctx, f.againstAddresses)
	default:
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	config, err := platform.DecodeConfig(data)
	var invalid *finding.Error
	if err == nil || errors.As(err, &invalid) {
		// A build with fewer rules may have accepted it.
		return config, nil
	}
	reason := err.Error()
	if rejections := platform.InspectConfig(data).Rejections; len(rejections) > 0 {
		// These show no values of the text.
		reason = rejections[0].Message
		if place := rejections[0].Place; place != "" {
			reason = place + " " + reason
		}
	}
	return nil, errors.Errorf("the configuration to compare with cannot be decoded: %s", reason)
}

func (c *cli) readConfigFile(file string) ([]byte, error) {
	in := c.stdin
	if file != stdinFile {
		opened, err := os.Open(file)
		if err != nil {
			return nil, errors.Wrap(err, "reading the configuration")
		}
		defer opened.Close()
		in = opened
	}
	// One byte more than the limit shows that the file is too large.
	data, err := io.ReadAll(io.LimitReader(in, platform.MaxConfigBytes+1))
	return data, errors.Wrap(err, "reading the configuration")
}

// fetchConfig asks the core daemons in turn for the configuration in force.
func (c *cli) fetchConfig(ctx context.Context, addresses []string) ([]byte, error) {
	cfg, err := c.tls.config()
	if err != nil {
		return nil, err
	}
	scheme := "http://"
	if cfg != nil {
		scheme = "https://"
	}
	transport := &http.Transport{TLSClientConfig: cfg, DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, DisableKeepAlives: true}
	var failures []string
	for _, address := range addresses {
		if cfg == nil && !c.tls.plaintext && !isLoopback(address) {
			return nil, errors.Errorf("address %s: plaintext is accepted on loopback only; set the TLS flags or --allow-plaintext", address)
		}
		data, err := platform.FetchConfig(ctx, transport, scheme+address)
		if err == nil {
			return data, nil
		}
		failures = append(failures, address+": "+err.Error())
	}
	return nil, errors.Errorf("no core daemon returned the configuration in force: %s", strings.Join(failures, "; "))
}
