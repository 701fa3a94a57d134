package settings

import (
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strconv"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/phuslu/log"

	"godwitward.example/godwitward/internal/finding"
)

// EnvPrefix is the prefix of every environment variable: the flag
// --control-addrs can also be set as GODWITWARD_CONTROL_ADDRS.
const EnvPrefix = "GODWITWARD"

// Version is set at link time with -ldflags "-X ...settings.Version=v1.2.3".
var Version = ""

// Exit codes of every program.
const (
	// ExitUsage: the command line could not be parsed.
	ExitUsage = 1
	// ExitInvalid: one or more settings are invalid.
	ExitInvalid = 2
	// ExitFailed: the program stopped because of a failure.
	ExitFailed = 3
)

// NewApp returns a command line with the flags --help, --version and
// --log-level. Parse lets environment variables set its flags, except --help and
// --version.
func NewApp(name, help string) *kingpin.Application {
	app := kingpin.New(name, help)
	app.Version(VersionLine(name))
	app.HelpFlag.Short('h')
	app.Flag("log-level", "Lowest level that is logged: debug, info, warn or error.").
		Default("info").EnumVar(&logLevel, "debug", "info", "warn", "error")
	return app
}

// logLevel is the value of --log-level; programs without the flag log at info.
var logLevel = "info"

// VersionLine returns what --version prints for a program.
func VersionLine(name string) string {
	return name + " " + BuildVersion()
}

// BuildVersion returns the version of the program: the one set at link time, else the
// commit from which it was built.
func BuildVersion() string {
	if Version != "" {
		return Version
	}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "devel"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return "devel " + s.Value
		}
	}
	return "devel"
}

// Parse parses the command line and the environment and returns the selected
// command. It exits with ExitUsage when they cannot be parsed. When check adds
// findings, it prints all of them and exits with ExitInvalid. check may be nil.
func Parse(app *kingpin.Application, args []string, check func(*finding.List)) string {
	bindEnvironment(app)
	command, err := app.Parse(args)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v; try --help\n", app.Name, err)
		os.Exit(ExitUsage)
	}
	findings := &finding.List{}
	if check != nil {
		check(findings)
	}
	if len(findings.Items()) > 0 {
		PrintFindings(os.Stderr, app.Name, findings)
		os.Exit(ExitInvalid)
	}
	return command
}

// PrintFindings writes one line for each finding.
func PrintFindings(w io.Writer, program string, l *finding.List) {
	for _, f := range l.Items() {
		fmt.Fprintf(w, "%s: invalid setting: %s\n", program, f)
	}
}

func bindEnvironment(app *kingpin.Application) {
	for _, f := range app.Model().Flags {
		if f.Name == "help" || f.Name == "version" || strings.HasPrefix(f.Name, "help-") || strings.HasPrefix(f.Name, "completion-") {
			continue
		}
		name := EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(f.Name, "-", "_"))
		app.GetFlag(f.Name).Envar(name)
	}
}

// NewLogger returns a logger that writes one key=value line for each event.
func NewLogger(w io.Writer) *log.Logger {
	return &log.Logger{
		Level:      log.ParseLevel(logLevel),
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Writer:     &log.ConsoleWriter{Writer: w, Formatter: formatLine},
	}
}

// formatLine writes an entry as key=value pairs. The library's own formatter
// appends the message without a key.
func formatLine(w io.Writer, args *log.FormatterArgs) (int, error) {
	line := make([]byte, 0, 256)
	line = append(line, "time="...)
	line = append(line, args.Time...)
	line = append(line, " level="...)
	line = append(line, args.Level...)
	for _, kv := range args.KeyValues {
		line = append(line, ' ')
		line = append(line, kv.Key...)
		line = append(line, '=')
		line = appendValue(line, shortened(kv.Key, kv.Value))
	}
	if args.Message != "" {
		line = append(line, " message="...)
		line = appendValue(line, args.Message)
	}
	return w.Write(append(line, '\n'))
}

const (
	// maxValueBytes limits the values of a line, some of which are what a caller has sent: up
	// to logQueueLines lines wait in memory. A stack trace may be longer.
	maxValueBytes = 2 << 10
	maxStackBytes = 16 << 10
)

// shortened returns a value that fits into a line.
func shortened(key, value string) string {
	limit := maxValueBytes
	if key == "stack" {
		limit = maxStackBytes
	}
	if len(value) <= limit {
		return value
	}
	return fmt.Sprintf("%s... (%d bytes)", strings.ToValidUTF8(value[:limit], ""), len(value))
}

func appendValue(line []byte, value string) []byte {
	if value == "" || strings.ContainsAny(value, " \"=\n\r\t") {
		return strconv.AppendQuote(line, value)
	}
	return append(line, value...)
}

// Fatal logs err, writes the queued log lines and exits with ExitFailed.
func Fatal(logger *log.Logger, action string, err error) {
	logger.Error().Str("event", "process.failed").Str("action", action).Err(err).Msg("")
	CloseLogger(logger)
	os.Exit(ExitFailed)
}
